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

// Scenarios returns all scenarios that are explored with every action allowed.
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

// newJob returns an array of one task that takes two CPUs.
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

// OneTask is a task that either of two machines can run and that its user may cancel.
func OneTask() *Scenario {
	return &Scenario{
		Name: "one task", Zones: []string{zoneA, zoneA}, Capacity: 2, Jobs: []wire.Job{newJob(firstJob)},
		CancellableJobs: 1, MaxFailovers: 2,
	}
}

// OneMachine is a task with one machine only.
func OneMachine() *Scenario {
	sc := OneTask()
	sc.Name = "one machine"
	sc.Zones = sc.Zones[:1]
	return sc
}

// JobArray is an array of two tasks, of which each machine can run one.
func JobArray() *Scenario {
	job := newJob(firstJob)
	job.Tasks = 2
	return &Scenario{
		Name: "array of two", Zones: []string{zoneA, zoneA}, Capacity: 2, Jobs: []wire.Job{job},
		CancellableJobs: 1, MaxFailovers: 1,
	}
}

// Quota is two jobs of a team that may run one at a time.
func Quota() *Scenario {
	return &Scenario{
		Name: "quota", Zones: []string{zoneA, zoneA}, Capacity: 2, TeamLimit: 2, Jobs: []wire.Job{newJob(firstJob), newJob(secondJob)},
		CancellableJobs: 1, MaxFailovers: 1,
	}
}

// SharedPage is the two jobs of Quota with their records on one page.
func SharedPage() *Scenario {
	sc := Quota()
	sc.Name = "shared page"
	sc.SharedPage = true
	sc.CancellableJobs = 2
	return sc
}

// Gang is a gang of two in one zone, with a machine for both in each of two zones.
func Gang() *Scenario {
	return &Scenario{
		Name: "gang in one zone", Zones: []string{zoneA, zoneB}, Capacity: 4, Jobs: []wire.Job{newGang(firstJob)},
		CancellableJobs: 1, MaxFailovers: 1,
	}
}

// GangOnTwoMachines is a gang of two in one zone whose tasks need a machine each; there are
// two machines in each of two zones.
func GangOnTwoMachines() *Scenario {
	return &Scenario{
		Name: "gang on two machines", Zones: []string{zoneA, zoneA, zoneB, zoneB}, Capacity: 2, Jobs: []wire.Job{newGang(firstJob)},
		MaxFailovers: 1,
	}
}

// GangWithRefusedStart is a gang of two on one machine that may refuse a start. The attempt
// that replaces a refused one has the same number, on the same machine.
func GangWithRefusedStart() *Scenario {
	sc := Gang()
	sc.Name = "gang with a refused start"
	sc.Zones = sc.Zones[:1]
	sc.CancellableJobs, sc.MaxFailovers, sc.MaxRefusedStarts = 1, 1, 1
	return sc
}

// AsymmetricPartition is one task with two machines, which may stop receiving, twice in all.
func AsymmetricPartition() *Scenario {
	sc := OneTask()
	sc.Name = "asymmetric partition"
	sc.MaxPartitions = 2
	return sc
}

// DuplicatedHeartbeat is the gang in one zone with a heartbeat that is duplicated.
func DuplicatedHeartbeat() *Scenario {
	sc := Gang()
	sc.Name = "duplicated heartbeat"
	sc.MaxDuplicates = 1
	return sc
}

// DuplicateAfterFailover is a task and a duplicated heartbeat, which the next leader may
// receive first.
func DuplicateAfterFailover() *Scenario {
	sc := OneTask()
	sc.Name = "duplicate after a failover"
	sc.MaxDuplicates, sc.CancellableJobs, sc.MaxFailovers = 1, 0, 1
	return sc
}

// PlanChange is two jobs of two classes and one machine, which can run one of them at a time,
// and plans that turn the order of the classes round.
func PlanChange() *Scenario {
	first, second := newJob(firstJob), newJob(secondJob)
	first.Class, second.Class = classCraft, classClinic
	return &Scenario{
		Name: "plan change", Zones: []string{zoneA}, Capacity: 2, Jobs: []wire.Job{first, second},
		MaxFailovers: 1, MaxPlans: 2,
	}
}

// PreemptionUnderPlanChange is a running job and an urgent one that is accepted later and
// needs its room, while plans turn the order of their classes round.
func PreemptionUnderPlanChange() *Scenario {
	sc := PlanChange()
	sc.Name = "preemption under a plan change"
	sc.Jobs[1].Priority = wire.PriorityHigh
	sc.DeferredJobs = 1
	return sc
}

// DelayedTransactions is an array of two whose leader's commits may be executed late, and
// whose user may cancel it at any time.
func DelayedTransactions() *Scenario {
	sc := JobArray()
	sc.Name = "delayed transactions"
	sc.MaxDelayedCommits, sc.AsyncCancellations, sc.CancellableJobs = 1, 1, 0
	return sc
}

// DelayedTransactionsOfOneTask is the same for a task with one machine; searches of it go
// deeper.
func DelayedTransactionsOfOneTask() *Scenario {
	sc := OneMachine()
	sc.Name = "delayed transactions of one task"
	sc.MaxDelayedCommits, sc.AsyncCancellations, sc.CancellableJobs, sc.MaxFailovers = 2, 1, 0, 1
	return sc
}

// LeaderRefusedByStore is a task whose leader the key-value store refuses for a while.
func LeaderRefusedByStore() *Scenario {
	sc := OneTask()
	sc.Name = "leader refused by the store"
	sc.MaxStoreRefusals, sc.MaxFailovers = 1, 1
	return sc
}
