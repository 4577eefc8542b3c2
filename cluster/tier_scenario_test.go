package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/wire"
)

// clinicFirstPolicy is clinics before schools before crafts before the rest.
func clinicFirstPolicy() *priority.Policy {
	return priority.New(&priority.Settings{Tiers: []priority.Tier{
		{Name: "clinic", Classes: []string{"slicing"}}, {Name: "school", Classes: []string{"lesson"}, Share: 0.1, LongestWaitS: 100},
		{Name: "craft", Classes: []string{"print"}, LongestWaitS: 150},
	}})
}

// fleetSimulation is a model and machines that carry out its commands. It logs starts and stops
// of tasks.
type fleetSimulation struct {
	m              *Model
	now            float64
	revision, seq  uint64
	tasksByMachine []map[string]*simulatedTask // by machine and task name
	runSeconds     map[string]float64          // by job, of each task
	startWaits     map[string]float64          // by job, seconds from its acceptance to its first start
	acceptedAt     map[string]float64          // by job
	log            []string
}

type simulatedTask struct {
	wire.TaskStatus
	until float64
}

func newFleetSimulation(machines int, o *priority.Policy) *fleetSimulation {
	p := &fleetSimulation{m: newModel(5), revision: 100, runSeconds: map[string]float64{}, startWaits: map[string]float64{}, acceptedAt: map[string]float64{}}
	p.m.setPriorityPolicy(o)
	for range machines {
		p.tasksByMachine = append(p.tasksByMachine, map[string]*simulatedTask{})
	}
	return p
}

func (p *fleetSimulation) submit(n int, class string, tasks int, took float64, change func(*wire.Job)) string {
	id := fmt.Sprintf("wk-%06d", n)
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs = at(p.now).UnixMilli()
	rec.Job.Class, rec.Job.EstimateS = class, took
	if change != nil {
		change(&rec.Job)
	}
	p.revision++
	p.m.ApplyJobRecord(id, rec, p.revision, at(p.now))
	p.runSeconds[id], p.acceptedAt[id] = took, p.now
	return id
}

// step lets 1.5 s pass, in which each machine sends a heartbeat, and runs a scheduling pass.
func (p *fleetSimulation) step() {
	p.now += 1.5
	p.seq++
	now := at(p.now)
	for i, on := range p.tasksByMachine {
		r := newHeartbeat(p.seq, 5)
		r.Machine, r.Zone = fmt.Sprintf("host-%06d", i), []string{"a", "b"}[i%2]
		names := make([]string, 0, len(on))
		for name := range on {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			if t := on[name]; t.State == wire.TaskRunning && p.now >= t.until {
				t.State, t.Why = wire.TaskExited, wire.ExitDone
			}
			r.Tasks = append(r.Tasks, on[name].TaskStatus)
		}
		mc := p.m.ApplyHeartbeat(r, now)
		cmds := p.m.AnswerHeartbeat(mc, r, now)
		sortCommands(cmds)
		for _, c := range cmds {
			t := on[c.Task]
			switch {
			case c.Op == wire.OpStart && t == nil:
				id, _, _ := wire.ParseTaskName(c.Task)
				if _, ok := p.startWaits[id]; !ok {
					p.startWaits[id] = p.now - p.acceptedAt[id]
				}
				p.log = append(p.log, fmt.Sprint(p.now, " ", c.Task, " on ", i))
				on[c.Task] = &simulatedTask{wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}, p.now + p.runSeconds[id]}
			case c.Op == wire.OpStop && t != nil && t.State == wire.TaskRunning:
				t.State, t.Why = wire.TaskExited, wire.ExitStopped
				p.log = append(p.log, fmt.Sprint(p.now, " ", c.Task, " stopped"))
			case c.Op == wire.OpForget:
				delete(on, c.Task)
			}
		}
	}
	p.m.Schedule(now, 0)
	for b := p.m.NextBatch(12); b != nil; b = p.m.NextBatch(12) {
		p.revision++
		b.OnCommit(p.revision, now)
	}
	if b := p.m.PlanCheckBatch(); b != nil {
		b.OnCommit(p.revision, now)
	}
}

func sortCommands(cmds []wire.Command) {
	slices.SortStableFunc(cmds, func(a, b wire.Command) int { return strings.Compare(a.Task, b.Task) })
}

// runRandomLoad submits random jobs, more than the fleet can complete.
func (p *fleetSimulation) runRandomLoad(seed uint64, seconds float64, class func(r *rand.Rand) string) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	for n := 1; p.now < seconds; p.step() {
		for rnd.IntN(2) == 0 {
			p.submit(n, class(rnd), 1+rnd.IntN(6), float64(20+rnd.IntN(60)), func(j *wire.Job) {
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
