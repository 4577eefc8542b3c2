package cluster

import (
	"maps"
	"time"
)

// Snapshot is the model in numbers, for metrics and for operators.
type Snapshot struct {
	Machines     map[string]int     // by state
	Tasks        map[string]int     // by state
	Jobs         int                // that are not over
	PastDeadline int                // of those, past their deadline
	LongestWait  map[string]float64 // seconds since acceptance of a job with waiting tasks, by class
	Starved      []StarvedJob       // jobs that can't start within the starvation bound, longest wait first; bounded
	StarvedTotal int                // how many such jobs there are, listed in Starved or not
	LeaseLeft    float64            // seconds left of the machine lease that expires first

	PriorityInversions map[string]uint64 // by the tier that had to wait and the cause, summed over all leaders
	Pools              []PoolSnapshot
}

// Snapshot computes the model's numbers. Its cost is proportional to the numbers of
// machines and open tasks.
func (m *Model) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Pools: m.poolSnapshots(), Machines: map[string]int{}, Tasks: map[string]int{}, LongestWait: map[string]float64{}, PriorityInversions: maps.Clone(m.tiers.inversions.Counts)}
	least := -1.0
	for _, mc := range m.Machines {
		switch {
		case mc.Gone:
			continue
		case mc.scalingIn:
			s.Machines["returning"]++
		case mc.alive && !mc.interruptionAt.IsZero():
			s.Machines["noticed"]++
		case mc.alive && m.Ready(mc, now):
			s.Machines["up"]++
		case mc.alive && mc.unreachable():
			s.Machines["mute"]++
		case mc.alive || len(mc.Tasks) > 0:
			s.Machines["silent"]++
		case mc.creationKnown:
			s.Machines["booting"]++
		default:
			s.Machines["not heard of"]++
		}
		if left := m.leaseEnd(mc).Sub(now).Seconds(); mc.alive && (least < 0 || left < least) {
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

// Observer receives measurements of the model, for metrics: how long the steps of a task's
// life take, and priority inversions.
type Observer interface {
	Placed(seconds float64)             // from a job's acceptance to a task's placement
	Launched(seconds float64)           // from the placement to the launch
	Running(seconds float64)            // from the launch until the task is seen running
	LeaseLeft(seconds float64)          // what was left of a machine's lease when it was answered
	PriorityInversion(tier, why string) // a task of that tier waits while a lower tier's is placed
	PreemptionHeld(seconds float64)     // how long a stop waited for the plan to be confirmed
}

// noObserver discards all measurements.
type noObserver struct{}

func (noObserver) Placed(float64)                {}
func (noObserver) Launched(float64)              {}
func (noObserver) Running(float64)               {}
func (noObserver) LeaseLeft(float64)             {}
func (noObserver) PriorityInversion(_, _ string) {}
func (noObserver) PreemptionHeld(float64)        {}
