// Simulates a fleet for the tests of priority tiers.

package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/wire"
)

// clinicFirstPolicy returns a policy with the tiers clinic, school and craft, highest first. All
// other classes have the lowest tier.
func clinicFirstPolicy() *priority.Policy {
	return priority.New(&priority.Settings{Tiers: []priority.Tier{
		{Name: "clinic", Classes: []string{"slicing"}}, {Name: "school", Classes: []string{"lesson"}, Share: 0.1, LongestWaitS: 100},
		{Name: "craft", Classes: []string{"print"}, LongestWaitS: 150},
	}})
}

// fleetSimulation is a model and machines that execute its commands. It logs starts and stops of
// tasks.
type fleetSimulation struct {
	m              *Model
	now            float64
	revision, seq  uint64
	tasksByMachine []map[string]*simulatedTask // by machine and task name
	runSeconds     map[string]float64          // run time of each task, by job
	startWaits     map[string]float64          // seconds from acceptance to first start, by job
	acceptedAt     map[string]float64          // by job
	log            []string
}

type simulatedTask struct {
	wire.TaskStatus
	until float64
}

// newFleetSimulation returns a simulation of a number of machines, which alternate between zones a
// and b. policy may be nil.
func newFleetSimulation(machines int, policy *priority.Policy) *fleetSimulation {
	sim := &fleetSimulation{m: newModel(5), revision: 100, runSeconds: map[string]float64{}, startWaits: map[string]float64{}, acceptedAt: map[string]float64{}}
	sim.m.setPriorityPolicy(policy)
	for range machines {
		sim.tasksByMachine = append(sim.tasksByMachine, map[string]*simulatedTask{})
	}
	return sim
}

// submit submits array job number n, changed by change, which may be nil. Each task runs for
// runSeconds. It returns the job's id.
func (sim *fleetSimulation) submit(n int, class string, tasks int, runSeconds float64, change func(*wire.Job)) string {
	id := fmt.Sprintf("wk-%06d", n)
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs = at(sim.now).UnixMilli()
	rec.Job.Class, rec.Job.EstimateS = class, runSeconds
	if change != nil {
		change(&rec.Job)
	}
	sim.revision++
	sim.m.ApplyJobRecord(id, rec, sim.revision, at(sim.now))
	sim.runSeconds[id], sim.acceptedAt[id] = runSeconds, sim.now
	return id
}

// step advances the simulation by 1.5 s. Each machine sends a heartbeat, and then a scheduling pass
// runs.
func (sim *fleetSimulation) step() {
	sim.now += 1.5
	sim.seq++
	now := at(sim.now)
	for i, tasks := range sim.tasksByMachine {
		r := newHeartbeat(sim.seq, 5)
		r.Machine, r.Zone = fmt.Sprintf("host-%06d", i), []string{"a", "b"}[i%2]
		names := make([]string, 0, len(tasks))
		for name := range tasks {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			if t := tasks[name]; t.State == wire.TaskRunning && sim.now >= t.until {
				t.State, t.ExitReason = wire.TaskExited, wire.ExitDone
			}
			r.Tasks = append(r.Tasks, tasks[name].TaskStatus)
		}
		mc := sim.m.ApplyHeartbeat(r, now)
		cmds := sim.m.AnswerHeartbeat(mc, r, now)
		sortCommands(cmds)
		for _, c := range cmds {
			t := tasks[c.Task]
			switch {
			case c.Op == wire.OpStart && t == nil:
				id, _, _ := wire.ParseTaskName(c.Task)
				if _, ok := sim.startWaits[id]; !ok {
					sim.startWaits[id] = sim.now - sim.acceptedAt[id]
				}
				sim.log = append(sim.log, fmt.Sprint(sim.now, " ", c.Task, " on ", i))
				tasks[c.Task] = &simulatedTask{wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}, sim.now + sim.runSeconds[id]}
			case c.Op == wire.OpStop && t != nil && t.State == wire.TaskRunning:
				t.State, t.ExitReason = wire.TaskExited, wire.ExitStopped
				sim.log = append(sim.log, fmt.Sprint(sim.now, " ", c.Task, " stopped"))
			case c.Op == wire.OpForget:
				delete(tasks, c.Task)
			}
		}
	}
	sim.m.Schedule(now, 0)
	for b := sim.m.NextBatch(12); b != nil; b = sim.m.NextBatch(12) {
		sim.revision++
		b.OnCommit(sim.revision, now)
	}
	if b := sim.m.PlanCheckBatch(); b != nil {
		b.OnCommit(sim.revision, now)
	}
}

// sortCommands sorts commands by the names of their tasks. The model returns them in the iteration
// order of a map.
func sortCommands(cmds []wire.Command) {
	slices.SortStableFunc(cmds, func(a, b wire.Command) int { return strings.Compare(a.Task, b.Task) })
}

// runRandomLoad submits more random jobs than the fleet can complete, until the given second.
func (sim *fleetSimulation) runRandomLoad(seed uint64, seconds float64, class func(r *rand.Rand) string) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	for n := 1; sim.now < seconds; sim.step() {
		for rnd.IntN(2) == 0 {
			sim.submit(n, class(rnd), 1+rnd.IntN(6), float64(20+rnd.IntN(60)), func(j *wire.Job) {
				j.CPUs = float64(1 + rnd.IntN(6))
				j.OneZone = rnd.IntN(3) == 0
				j.Spread = !j.OneZone && rnd.IntN(4) == 0
				if rnd.IntN(5) == 0 {
					j.Kind = wire.KindGang
				}
				if rnd.IntN(6) == 0 {
					j.Priority = wire.PriorityHigh
				}
			})
			n++
		}
	}
}
