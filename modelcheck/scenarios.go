package modelcheck

import (
	"github.com/umberdeal/umberdeal/wire"
)

// GangWithRefusedStart is a gang of two on one machine, of which a start may be refused.
// What replaces it has the same attempt number, on the same machine.
func GangWithRefusedStart() *Scenario {
	sc := Gang()
	sc.Name, sc.Zones, sc.CancellableJobs, sc.MaxFailovers, sc.MaxRefusedStarts = "failed gang", sc.Zones[:1], 1, 1, 1
	return sc
}

// DelayedTransactions is an array of two whose leader's transactions may be carried out
// late, and whose user may cancel it at any time.
func DelayedTransactions() *Scenario {
	sc := JobArray()
	sc.Name, sc.MaxDelayedCommits, sc.AsyncCancellations, sc.CancellableJobs = "late transactions", 1, 1, 0
	return sc
}

// DelayedTransactionsOfOneTask is a task with one machine, on which the same happens; it goes deeper.
func DelayedTransactionsOfOneTask() *Scenario {
	sc := OneMachine()
	sc.Name, sc.MaxDelayedCommits, sc.AsyncCancellations, sc.CancellableJobs, sc.MaxFailovers = "late transactions of one task", 2, 1, 0, 1
	return sc
}

// LeaderRefusedByStore is a task whose leader the state service refuses for a while.
func LeaderRefusedByStore() *Scenario {
	sc := OneTask()
	sc.Name, sc.MaxStoreRefusals, sc.MaxFailovers = "refused alone", 1, 1
	return sc
}

// DuplicateAfterFailover is a task and a copy of a report that may be kept for the next leader.
func DuplicateAfterFailover() *Scenario {
	sc := OneTask()
	sc.Name, sc.MaxDuplicates, sc.CancellableJobs, sc.MaxFailovers = "copy for the next leader", 1, 0, 1
	return sc
}

// PlanChange is two jobs of two classes, one machine for one of them at a time, and
// an order between them that is turned round.
func PlanChange() *Scenario {
	return &Scenario{Name: "orders", Zones: []string{"a"}, Capacity: 2, MaxFailovers: 1, MaxPlans: 2,
		Jobs: []wire.Job{newJob("wk-000001", func(j *wire.Job) { j.Class = "craft" }), newJob("wk-000002", func(j *wire.Job) { j.Class = "clinic" })}}
}

// PreemptionUnderPlanChange is work that is running, and urgent work that comes for its place while
// the order is changed.
func PreemptionUnderPlanChange() *Scenario {
	return &Scenario{Name: "stops by orders", Zones: []string{"a"}, Capacity: 2, MaxFailovers: 1, MaxPlans: 2, DeferredJobs: 1,
		Jobs: []wire.Job{newJob("wk-000001", func(j *wire.Job) { j.Class = "craft" }),
			newJob("wk-000002", func(j *wire.Job) { j.Class, j.Priority = "clinic", wire.PriorityHigh })}}
}

func newJob(id string, change func(*wire.Job)) wire.Job {
	j := wire.Job{ID: id, Class: "c", Team: "core", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 2, MemoryGB: 1,
		Image: "i", ImageGB: 1, EstimateS: 60}
	change(&j)
	return j
}

// OneTask is a task that two machines could run and its user may cancel.
func OneTask() *Scenario {
	return &Scenario{Name: "one task", Zones: []string{"a", "a"}, Capacity: 2, CancellableJobs: 1, MaxFailovers: 2,
		Jobs: []wire.Job{newJob("wk-000001", func(*wire.Job) {})}}
}

// OneMachine is a task with one machine only.
func OneMachine() *Scenario {
	sc := OneTask()
	sc.Name, sc.Zones = "one machine", sc.Zones[:1]
	return sc
}

// JobArray is an array of two, of which each machine takes one.
func JobArray() *Scenario {
	return &Scenario{Name: "array of two", Zones: []string{"a", "a"}, Capacity: 2, CancellableJobs: 1, MaxFailovers: 1,
		Jobs: []wire.Job{newJob("wk-000001", func(j *wire.Job) { j.Tasks = 2 })}}
}

// Quota is two jobs of a team that may run one at a time.
func Quota() *Scenario {
	return &Scenario{Name: "quota", Zones: []string{"a", "a"}, Capacity: 2, TeamLimit: 2, CancellableJobs: 1, MaxFailovers: 1,
		Jobs: []wire.Job{newJob("wk-000001", func(*wire.Job) {}), newJob("wk-000002", func(*wire.Job) {})}}
}

// Gang is a gang of two in one zone, with a machine for both in each of two.
func Gang() *Scenario {
	return &Scenario{Name: "gang in one zone", Zones: []string{"a", "b"}, Capacity: 4, CancellableJobs: 1, MaxFailovers: 1,
		Jobs: []wire.Job{newJob("wk-000001", func(j *wire.Job) { j.Kind, j.Tasks, j.OneZone = wire.KindGang, 2, true })}}
}

// GangOnTwoMachines is a gang of two in one zone, whose two tasks need a machine each; there are
// two in each of two zones.
func GangOnTwoMachines() *Scenario {
	return &Scenario{Name: "gang on two machines", Zones: []string{"a", "a", "b", "b"}, Capacity: 2, MaxFailovers: 1,
		Jobs: []wire.Job{newJob("wk-000001", func(j *wire.Job) { j.Kind, j.Tasks, j.OneZone = wire.KindGang, 2, true })}}
}

// SharedPage is the same two jobs with their records on one page.
func SharedPage() *Scenario {
	sc := Quota()
	sc.Name, sc.SharedPage, sc.CancellableJobs = "shared page", true, 2
	return sc
}

// AsymmetricPartition is one task with two machines, of which one is mute for a while, twice.
func AsymmetricPartition() *Scenario {
	sc := OneTask()
	sc.Name, sc.MaxPartitions = "mute machine", 2
	return sc
}

// DuplicatedHeartbeat is the gang in one zone with a copy of a report that arrives late.
func DuplicatedHeartbeat() *Scenario {
	sc := Gang()
	sc.Name, sc.MaxDuplicates = "late copy", 1
	return sc
}

// Scenarios are all of them.
func Scenarios() []*Scenario {
	return []*Scenario{OneMachine(), OneTask(), JobArray(), Quota(), SharedPage(), Gang(), GangOnTwoMachines(), AsymmetricPartition(), DuplicatedHeartbeat(), PlanChange(), PreemptionUnderPlanChange(),
		DelayedTransactions(), DelayedTransactionsOfOneTask(), LeaderRefusedByStore(), DuplicateAfterFailover()}
}
