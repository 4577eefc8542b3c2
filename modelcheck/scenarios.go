package modelcheck

import (
	"github.com/umberdeal/umberdeal/wire"
)

// FailedGang is a gang of two on one machine, of which a start may be refused.
// What replaces it has the same attempt number, on the same machine.
func FailedGang() *Scenario {
	sc := Gang()
	sc.Name, sc.Zones, sc.Cancels, sc.Takeovers, sc.Errors = "failed gang", sc.Zones[:1], 1, 1, 1
	return sc
}

// LateTransactions is an array of two whose leader's transactions may be carried out
// late, and whose user may cancel it at any time.
func LateTransactions() *Scenario {
	sc := Pair()
	sc.Name, sc.Lates, sc.Asks, sc.Cancels = "late transactions", 1, 1, 0
	return sc
}

// LateOfOne is a task with one machine, on which the same happens; it goes deeper.
func LateOfOne() *Scenario {
	sc := Alone()
	sc.Name, sc.Lates, sc.Asks, sc.Cancels, sc.Takeovers = "late transactions of one task", 2, 1, 0, 1
	return sc
}

// RefusedAlone is a task whose leader the state service refuses for a while.
func RefusedAlone() *Scenario {
	sc := OneTask()
	sc.Name, sc.Refusals, sc.Takeovers = "refused alone", 1, 1
	return sc
}

// NextLeader is a task and a copy of a report that may be kept for the next leader.
func NextLeader() *Scenario {
	sc := OneTask()
	sc.Name, sc.Copies, sc.Cancels, sc.Takeovers = "copy for the next leader", 1, 0, 1
	return sc
}

// Ordered is two jobs of two classes, one machine for one of them at a time, and
// an order between them that is turned round.
func Ordered() *Scenario {
	return &Scenario{Name: "orders", Zones: []string{"a"}, Capacity: 2, Takeovers: 1, Plans: 2,
		Jobs: []wire.Job{job("wk-000001", func(j *wire.Job) { j.Class = "craft" }), job("wk-000002", func(j *wire.Job) { j.Class = "clinic" })}}
}

// Preempted is work that is running, and urgent work that comes for its place while
// the order is changed.
func Preempted() *Scenario {
	return &Scenario{Name: "stops by orders", Zones: []string{"a"}, Capacity: 2, Takeovers: 1, Plans: 2, Later: 1,
		Jobs: []wire.Job{job("wk-000001", func(j *wire.Job) { j.Class = "craft" }),
			job("wk-000002", func(j *wire.Job) { j.Class, j.Priority = "clinic", wire.PriorityHigh })}}
}

func job(id string, change func(*wire.Job)) wire.Job {
	j := wire.Job{ID: id, Class: "c", Team: "core", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 2, MemoryGB: 1,
		Image: "i", ImageGB: 1, EstimateS: 60}
	change(&j)
	return j
}

// OneTask is a task that two machines could run and its user may cancel.
func OneTask() *Scenario {
	return &Scenario{Name: "one task", Zones: []string{"a", "a"}, Capacity: 2, Cancels: 1, Takeovers: 2,
		Jobs: []wire.Job{job("wk-000001", func(*wire.Job) {})}}
}

// Alone is a task with one machine only.
func Alone() *Scenario {
	sc := OneTask()
	sc.Name, sc.Zones = "one machine", sc.Zones[:1]
	return sc
}

// Pair is an array of two, of which each machine takes one.
func Pair() *Scenario {
	return &Scenario{Name: "array of two", Zones: []string{"a", "a"}, Capacity: 2, Cancels: 1, Takeovers: 1,
		Jobs: []wire.Job{job("wk-000001", func(j *wire.Job) { j.Tasks = 2 })}}
}

// Quota is two jobs of a team that may run one at a time.
func Quota() *Scenario {
	return &Scenario{Name: "quota", Zones: []string{"a", "a"}, Capacity: 2, Max: 2, Cancels: 1, Takeovers: 1,
		Jobs: []wire.Job{job("wk-000001", func(*wire.Job) {}), job("wk-000002", func(*wire.Job) {})}}
}

// Gang is a gang of two in one zone, with a machine for both in each of two.
func Gang() *Scenario {
	return &Scenario{Name: "gang in one zone", Zones: []string{"a", "b"}, Capacity: 4, Cancels: 1, Takeovers: 1,
		Jobs: []wire.Job{job("wk-000001", func(j *wire.Job) { j.Kind, j.Tasks, j.OneZone = wire.KindGang, 2, true })}}
}

// Split is a gang of two in one zone, whose two tasks need a machine each; there are
// two in each of two zones.
func Split() *Scenario {
	return &Scenario{Name: "gang on two machines", Zones: []string{"a", "a", "b", "b"}, Capacity: 2, Takeovers: 1,
		Jobs: []wire.Job{job("wk-000001", func(j *wire.Job) { j.Kind, j.Tasks, j.OneZone = wire.KindGang, 2, true })}}
}

// Page is the same two jobs with their records on one page.
func Page() *Scenario {
	sc := Quota()
	sc.Name, sc.Shared, sc.Cancels = "shared page", true, 2
	return sc
}

// Muted is one task with two machines, of which one is mute for a while, twice.
func Muted() *Scenario {
	sc := OneTask()
	sc.Name, sc.Mutes = "mute machine", 2
	return sc
}

// Copied is the gang in one zone with a copy of a report that arrives late.
func Copied() *Scenario {
	sc := Gang()
	sc.Name, sc.Copies = "late copy", 1
	return sc
}

// Scenarios are all of them.
func Scenarios() []*Scenario {
	return []*Scenario{Alone(), OneTask(), Pair(), Quota(), Page(), Gang(), Split(), Muted(), Copied(), Ordered(), Preempted(),
		LateTransactions(), LateOfOne(), RefusedAlone(), NextLeader()}
}
