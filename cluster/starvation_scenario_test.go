// Simulates a cluster for the tests of the starvation bound.

package cluster

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// simulatedCluster is a model and a few machines. The machines send a heartbeat every second and run
// each task for its estimated run time.
type simulatedCluster struct {
	t        *testing.T
	m        *Model
	machines []*simulatedMachine
	started  map[string]float64 // second in which the first task started, by job
	stops    []string           // tasks that were ordered to stop
	arrivals func(now float64)  // submits the jobs that arrive in a second; may be nil
}

type simulatedMachine struct {
	heartbeat *wire.Heartbeat
	tasks     map[string]*wire.TaskStatus
	startedAt map[string]float64
}

// newSimulatedCluster returns a cluster whose machines have 8 CPUs and alternate between zones a and
// b.
func newSimulatedCluster(t *testing.T, machines int, bound time.Duration) *simulatedCluster {
	t.Helper()
	s := &simulatedCluster{t: t, m: newModel(5), started: map[string]float64{}}
	s.m.StarvationBound = bound
	for i := range machines {
		r := newHeartbeat(0, 5)
		r.Machine, r.Addr, r.Zone = fmt.Sprintf("host-%d", i), fmt.Sprintf("h:%d", i), []string{"a", "b"}[i%2]
		s.machines = append(s.machines, &simulatedMachine{heartbeat: r, tasks: map[string]*wire.TaskStatus{}, startedAt: map[string]float64{}})
	}
	return s
}

// submit submits a job of class "c" with the given number of tasks, changed by change.
func (s *simulatedCluster) submit(id string, now float64, tasks int, change func(j *wire.Job)) {
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs = at(now).UnixMilli()
	rec.Job.CPUs, rec.Job.ImageGB = 4, 0
	if change != nil {
		change(&rec.Job)
	}
	s.m.ApplyJobRecord(id, rec, 1, at(now))
}

// run simulates the seconds from up to, but not including, to.
func (s *simulatedCluster) run(from, to float64) {
	for now := from; now < to; now++ {
		if s.arrivals != nil {
			s.arrivals(now)
		}
		for _, machine := range s.machines {
			s.heartbeat(machine, now)
		}
		s.m.Tick(at(now))
		s.m.Schedule(at(now), 1000)
		commitAll(s.t, s.m, at(now))
	}
}

// heartbeat sends a machine's heartbeat and carries out the commands in the answer.
func (s *simulatedCluster) heartbeat(machine *simulatedMachine, now float64) {
	machine.heartbeat.Seq++
	machine.heartbeat.Token = s.m.FencingToken
	machine.heartbeat.Tasks = nil
	for _, name := range slices.Sorted(maps.Keys(machine.tasks)) {
		r := machine.tasks[name]
		id, _, _ := wire.ParseTaskName(name)
		if j := s.m.Job(id); j != nil && r.State == wire.TaskRunning && now >= machine.startedAt[name]+j.Spec.EstimateS {
			r.State, r.Why = wire.TaskExited, wire.ExitDone
		}
		machine.heartbeat.Tasks = append(machine.heartbeat.Tasks, *r)
	}
	for _, c := range answer(s.t, s.m, machine.heartbeat, at(now)) {
		switch c.Op {
		case wire.OpStart:
			machine.tasks[c.Task] = &wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
			machine.startedAt[c.Task] = now
			if id, _, _ := wire.ParseTaskName(c.Task); s.started[id] == 0 {
				s.started[id] = now
			}
		case wire.OpStop:
			s.stops = append(s.stops, c.Task)
			if r := machine.tasks[c.Task]; r != nil {
				r.State, r.Why = wire.TaskExited, wire.ExitStopped
			}
		case wire.OpForget:
			delete(machine.tasks, c.Task)
		}
	}
}

// bound is the starvation bound of the tests.
const bound = 240 * time.Second

// startsWithinBound runs a scenario without and with the bound. It checks that the job starts in time
// only with the bound, since the scenario would prove nothing otherwise.
func startsWithinBound(t *testing.T, id string, scenario func(bound time.Duration) *simulatedCluster) *simulatedCluster {
	t.Helper()
	if s := scenario(0); s.started[id] > 0 && s.started[id] <= bound.Seconds() {
		t.Fatalf("without the bound the job started after %v s, want later than the bound", s.started[id])
	}
	s := scenario(bound)
	if b := s.started[id]; b == 0 || b > bound.Seconds() {
		t.Errorf("the job started after %v s (0: never), want within %v", b, bound)
	}
	return s
}

// overload returns a function that submits small jobs. At second 0 they exceed the capacity of the
// machines. Afterwards one arrives every periodSeconds, a little faster than jobs can be completed.
func overload(s *simulatedCluster, periodSeconds int, change func(j *wire.Job)) func(now float64) {
	return func(now float64) {
		n := 0
		if int(now)%periodSeconds == 0 {
			n = 1
		}
		if now == 0 {
			n = 3 * len(s.machines)
		}
		for i := range n {
			s.submit(fmt.Sprintf("wk-%d%05d", 1+i, int(now)), now, 1, func(j *wire.Job) {
				d := 150.0
				j.DeadlineS, j.EstimateS = &d, 40
				if change != nil {
					change(j)
				}
			})
		}
	}
}
