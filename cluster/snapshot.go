package cluster

import (
	"maps"
	"time"
)

// Snapshot is the model in numbers, for metrics and for operators.
type Snapshot struct {
	Machines     map[string]int // by state
	Tasks        map[string]int // by state
	Jobs         int            // that are not over
	PastDeadline int            // of those, past their deadline
	LongestWait  map[string]float64
	Starved      []StarvedJob // can't begin within the bound: those that wait for longest, and how
	StarvedTotal int          // many there are
	LeaseLeft    float64      // seconds, of the machine whose lease is nearest its end

	PriorityInversions map[string]uint64 // from the order, by whose cost and why, of all leaders' time
	Pools              []PoolSnapshot
}

// Snapshot counts what is there; its cost grows with machines and open tasks.
func (m *Model) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Pools: m.poolSnapshots(), Machines: map[string]int{}, Tasks: map[string]int{}, LongestWait: map[string]float64{}, PriorityInversions: maps.Clone(m.tiers.inversions.Counts)}
	least := -1.0
	for _, mc := range m.Machines {
		switch {
		case mc.Gone:
			continue
		case mc.ScalingIn:
			s.Machines["returning"]++
		case mc.Up && !mc.InterruptionAt.IsZero():
			s.Machines["noticed"]++
		case mc.Up && m.ready(mc, now):
			s.Machines["up"]++
		case mc.Up && mc.unreachable():
			s.Machines["mute"]++
		case mc.Up || len(mc.Tasks) > 0:
			s.Machines["silent"]++
		case mc.CreationKnown:
			s.Machines["booting"]++
		default:
			s.Machines["not heard of"]++
		}
		if left := m.leaseEnd(mc).Sub(now).Seconds(); mc.Up && (least < 0 || left < least) {
			least = max(left, 0)
		}
	}
	s.LeaseLeft = max(least, 0)
	s.Starved, s.StarvedTotal = m.starvedJobs(now)
	for _, j := range m.Jobs {
		if j == nil || j.Finished {
			continue
		}
		if !j.Cancelled {
			s.Jobs++
			if d := j.Spec.DeadlineS; d != nil && now.Sub(j.AcceptedAt).Seconds() > *d {
				s.PastDeadline++
			}
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			switch p := t.Placement; {
			case t.Phase == TaskDone:
			case p == nil && j.Cancelled:
			case p == nil:
				s.Tasks["waiting"]++
				if wait := now.Sub(j.AcceptedAt).Seconds(); wait > s.LongestWait[j.Spec.Class] {
					s.LongestWait[j.Spec.Class] = wait
				}
			case p.Stop != nil:
				s.Tasks["stopping"]++
			case p.ReportedState >= reportedRunning:
				s.Tasks["running"]++
			case p.LaunchSent || p.Inherited:
				s.Tasks["starting"]++
			default:
				s.Tasks["placed"]++
			}
		}
	}
	return s
}

// Observer takes in how long the steps of tasks take, in seconds, and what departs
// from the order.
type Observer interface {
	Placed(seconds float64)             // since the job was accepted
	Launched(seconds float64)           // since the placement
	Running(seconds float64)            // since the launch
	LeaseLeft(seconds float64)          // of the machine that is answered
	PriorityInversion(tier, why string) // from the order, at that tier's cost
	PreemptionHeld(seconds float64)     // until the plan was compared
}

// noObserver is what a model has that nobody watches.
type noObserver struct{}

func (noObserver) Placed(float64)                {}
func (noObserver) Launched(float64)              {}
func (noObserver) Running(float64)               {}
func (noObserver) LeaseLeft(float64)             {}
func (noObserver) PriorityInversion(_, _ string) {}
func (noObserver) PreemptionHeld(float64)        {}
