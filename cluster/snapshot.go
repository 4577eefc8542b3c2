package cluster

import (
	"maps"
	"time"
)

// Snapshot holds statistics of the model at one time, for metrics and for operators.
type Snapshot struct {
	Machines     map[string]int     // by state
	Tasks        map[string]int     // by state
	Jobs         int                // jobs that are not over
	PastDeadline int                // jobs among them that are past their deadline
	LongestWait  map[string]float64 // by class, the most seconds since the acceptance of a job with waiting tasks
	Starved      []StarvedJob       // jobs that can't start within the starvation bound, longest wait first; bounded
	StarvedTotal int                // number of all such jobs, in Starved or not
	LeaseLeft    float64            // seconds left of the machine lease that expires first; 0 if there is none

	PriorityInversions map[string]uint64 // by waiting tier and cause, summed over all leaders
	Pools              []PoolSnapshot
}

// The states of machines in a Snapshot. Operators and metrics see these values.
const (
	machineScalingIn   = "returning"
	machineInterrupted = "noticed"
	machineReady       = "up"
	machineUnreachable = "mute"
	machineSilent      = "silent"
	machineBooting     = "booting"
	machineUnknown     = "not heard of"
)

// The states of tasks in a Snapshot. Operators and metrics see these values.
const (
	taskWaiting  = "waiting"
	taskStopping = "stopping"
	taskRunning  = "running"
	taskStarting = "starting"
	taskPlaced   = "placed"
)

// Snapshot computes the statistics. Its cost is proportional to the numbers of machines and open
// tasks.
func (m *Model) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Pools: m.poolSnapshots(), Machines: map[string]int{}, Tasks: map[string]int{}, LongestWait: map[string]float64{}, PriorityInversions: maps.Clone(m.tiers.inversions.Counts)}
	for _, mc := range m.Machines {
		if !mc.Gone {
			s.Machines[m.machineState(mc, now)]++
		}
	}
	s.LeaseLeft = m.shortestLease(now)
	s.Starved, s.StarvedTotal = m.starvedJobs(now)
	for _, j := range m.Jobs {
		if j != nil && !j.Finished {
			s.countJob(j, now)
		}
	}
	return s
}

// machineState returns the state of a machine that is not gone.
func (m *Model) machineState(mc *Machine, now time.Time) string {
	switch {
	case mc.scalingIn:
		return machineScalingIn
	case mc.alive && !mc.interruptionAt.IsZero():
		return machineInterrupted
	case mc.alive && m.Ready(mc, now):
		return machineReady
	case mc.alive && mc.unreachable():
		return machineUnreachable
	case mc.alive || len(mc.Tasks) > 0:
		return machineSilent
	case mc.creationKnown:
		return machineBooting
	}
	return machineUnknown
}

// shortestLease returns the seconds left of the machine lease that expires first. It returns 0 if
// a lease has expired or there is none.
func (m *Model) shortestLease(now time.Time) float64 {
	shortest := -1.0
	for _, mc := range m.Machines {
		if mc.Gone || !mc.alive {
			continue
		}
		if left := m.leaseEnd(mc).Sub(now).Seconds(); shortest < 0 || left < shortest {
			shortest = max(left, 0)
		}
	}
	return max(shortest, 0)
}

// countJob counts a job that is not over, and its tasks.
func (s *Snapshot) countJob(j *Job, now time.Time) {
	waited := now.Sub(j.AcceptedAt).Seconds()
	if !j.Cancelled {
		s.Jobs++
		if d := j.Spec.DeadlineS; d != nil && waited > *d {
			s.PastDeadline++
		}
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		if t.Phase == TaskDone || t.Placement == nil && j.Cancelled {
			continue
		}
		s.Tasks[t.state()]++
		if t.Placement == nil && waited > s.LongestWait[j.Spec.Class] {
			s.LongestWait[j.Spec.Class] = waited
		}
	}
}

// state returns the state of a task that is not done.
func (t *Task) state() string {
	switch p := t.Placement; {
	case p == nil:
		return taskWaiting
	case p.Stop != nil:
		return taskStopping
	case p.reportedState >= reportedRunning:
		return taskRunning
	case p.mayBeOnMachine():
		return taskStarting
	}
	return taskPlaced
}

// Observer receives measurements of the model for metrics. The model calls it from the goroutine
// that uses the model. All durations are in seconds.
type Observer interface {
	Placed(seconds float64)             // from a job's acceptance to a task's placement
	Launched(seconds float64)           // from the placement to the launch
	Running(seconds float64)            // from the launch until the task is seen running
	LeaseLeft(seconds float64)          // time left of a machine's lease when its heartbeat is answered
	PriorityInversion(tier, why string) // a task of the given tier waits while a task of a lower tier is placed; why is the cause
	PreemptionHeld(seconds float64)     // from the decision of a held stop until the plan is confirmed
}

// noObserver discards all measurements.
type noObserver struct{}

func (noObserver) Placed(float64)                {}
func (noObserver) Launched(float64)              {}
func (noObserver) Running(float64)               {}
func (noObserver) LeaseLeft(float64)             {}
func (noObserver) PriorityInversion(_, _ string) {}
func (noObserver) PreemptionHeld(float64)        {}
