// The scenarios that searches explore.

package modelcheck

import (
	"github.com/umberdeal/umberdeal/wire"
)

const (
	zoneA = "a"
	zoneB = "b"

	firstJob  = "wk-000001"
	secondJob = "wk-000002"
)

// Scenarios returns new copies of all scenarios that are explored with every action allowed.
func Scenarios() []*Scenario {
	return []*Scenario{
		OneMachine(),
		OneTask(),
		JobArray(),
		Quota(),
		SharedPage(),
		Gang(),
		GangOnTwoMachines(),
		AsymmetricPartition(),
		DuplicatedHeartbeat(),
		PlanChange(),
		PreemptionUnderPlanChange(),
		DelayedTransactions(),
		DelayedTransactionsOfOneTask(),
		LeaderRefusedByStore(),
		DuplicateAfterFailover(),
	}
}

// newJob returns an array job of one task that takes two CPUs.
func newJob(id string) wire.Job {
	return wire.Job{
		ID: id, Class: "c", Team: teamName, Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: 1, CPUs: 2, MemoryGB: 1, Image: "i", ImageGB: 1, EstimateS: 60,
	}
}

// newGang returns a gang of two tasks that must be in one zone.
func newGang(id string) wire.Job {
	job := newJob(id)
	job.Kind, job.Tasks, job.OneZone = wire.KindGang, 2, true
	return job
}

// OneTask returns a scenario with one task that either of two machines can run and that its user
// may cancel.
func OneTask() *Scenario {
	return &Scenario{
		Name: "one task", Zones: []string{zoneA, zoneA}, Capacity: 2, Jobs: []wire.Job{newJob(firstJob)},
		CancellableJobs: 1, MaxFailovers: 2,
	}
}

// OneMachine returns OneTask with only one machine.
func OneMachine() *Scenario {
	sc := OneTask()
	sc.Name = "one machine"
	sc.Zones = sc.Zones[:1]
	return sc
}

// JobArray returns a scenario with an array of two tasks and two machines that can run one task
// each.
func JobArray() *Scenario {
	job := newJob(firstJob)
	job.Tasks = 2
	return &Scenario{
		Name: "array of two", Zones: []string{zoneA, zoneA}, Capacity: 2, Jobs: []wire.Job{job},
		CancellableJobs: 1, MaxFailovers: 1,
	}
}

// Quota returns a scenario with two jobs of a team whose quota allows one at a time.
func Quota() *Scenario {
	return &Scenario{
		Name: "quota", Zones: []string{zoneA, zoneA}, Capacity: 2, TeamLimit: 2, Jobs: []wire.Job{newJob(firstJob), newJob(secondJob)},
		CancellableJobs: 1, MaxFailovers: 1,
	}
}

// SharedPage returns Quota with the records of both jobs on one page. Both may be cancelled.
func SharedPage() *Scenario {
	sc := Quota()
	sc.Name = "shared page"
	sc.SharedPage = true
	sc.CancellableJobs = 2
	return sc
}

// Gang returns a scenario with a gang of two tasks that must be in one zone. Each of two zones has
// a machine with room for both tasks.
func Gang() *Scenario {
	return &Scenario{
		Name: "gang in one zone", Zones: []string{zoneA, zoneB}, Capacity: 4, Jobs: []wire.Job{newGang(firstJob)},
		CancellableJobs: 1, MaxFailovers: 1,
	}
}

// GangOnTwoMachines returns a scenario with a gang of two tasks that must be in one zone and need
// one machine each. Each of two zones has two machines.
func GangOnTwoMachines() *Scenario {
	return &Scenario{
		Name: "gang on two machines", Zones: []string{zoneA, zoneA, zoneB, zoneB}, Capacity: 2, Jobs: []wire.Job{newGang(firstJob)},
		MaxFailovers: 1,
	}
}

// GangWithRefusedStart returns a scenario with a gang of two tasks on one machine that may refuse
// a start. The attempt that replaces a refused one has the same number and machine.
func GangWithRefusedStart() *Scenario {
	sc := Gang()
	sc.Name = "gang with a refused start"
	sc.Zones = sc.Zones[:1]
	sc.CancellableJobs, sc.MaxFailovers, sc.MaxRefusedStarts = 1, 1, 1
	return sc
}

// AsymmetricPartition returns OneTask with machines that may stop receiving messages, twice in
// total.
func AsymmetricPartition() *Scenario {
	sc := OneTask()
	sc.Name = "asymmetric partition"
	sc.MaxPartitions = 2
	return sc
}

// DuplicatedHeartbeat returns Gang with one duplicated heartbeat.
func DuplicatedHeartbeat() *Scenario {
	sc := Gang()
	sc.Name = "duplicated heartbeat"
	sc.MaxDuplicates = 1
	return sc
}

// DuplicateAfterFailover returns OneTask with a duplicated heartbeat, which the next leader may
// receive first, and without cancellation.
func DuplicateAfterFailover() *Scenario {
	sc := OneTask()
	sc.Name = "duplicate after a failover"
	sc.MaxDuplicates, sc.CancellableJobs, sc.MaxFailovers = 1, 0, 1
	return sc
}

// PlanChange returns a scenario with two jobs of different classes, one machine that can run one
// job at a time, and plans that reverse the order of the classes.
func PlanChange() *Scenario {
	first, second := newJob(firstJob), newJob(secondJob)
	first.Class, second.Class = classCraft, classClinic
	return &Scenario{
		Name: "plan change", Zones: []string{zoneA}, Capacity: 2, Jobs: []wire.Job{first, second},
		MaxFailovers: 1, MaxPlans: 2,
	}
}

// PreemptionUnderPlanChange returns PlanChange with a second job of high priority that is accepted
// later and needs the room of the first.
func PreemptionUnderPlanChange() *Scenario {
	sc := PlanChange()
	sc.Name = "preemption under a plan change"
	sc.Jobs[1].Priority = wire.PriorityHigh
	sc.DeferredJobs = 1
	return sc
}

// DelayedTransactions returns JobArray with a leader's commit that may be executed late and a
// user's cancellation in several steps.
func DelayedTransactions() *Scenario {
	sc := JobArray()
	sc.Name = "delayed transactions"
	sc.MaxDelayedCommits, sc.AsyncCancellations, sc.CancellableJobs = 1, 1, 0
	return sc
}

// DelayedTransactionsOfOneTask returns OneMachine with two delayed commits and a cancellation in
// several steps. It has fewer states than DelayedTransactions, so searches can go deeper.
func DelayedTransactionsOfOneTask() *Scenario {
	sc := OneMachine()
	sc.Name = "delayed transactions of one task"
	sc.MaxDelayedCommits, sc.AsyncCancellations, sc.CancellableJobs, sc.MaxFailovers = 2, 1, 0, 1
	return sc
}

// LeaderRefusedByStore returns OneTask with a key-value store that may refuse the leader for a
// while.
func LeaderRefusedByStore() *Scenario {
	sc := OneTask()
	sc.Name = "leader refused by the store"
	sc.MaxStoreRefusals, sc.MaxFailovers = 1, 1
	return sc
}
