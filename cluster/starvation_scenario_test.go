package cluster

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// simulatedCluster is a model and a few machines. These send a heartbeat every second and run
// each task for as long as its owner estimates.
type simulatedCluster struct {
	t        *testing.T
	m        *Model
	machines []*simulatedMachine
	started  map[string]float64 // by job, when its first task started
	stops    []string           // tasks that were ordered to stop
	arrivals func(now float64)  // submits the jobs that arrive in this second
}

type simulatedMachine struct {
	heartbeat *wire.Heartbeat
	tasks     map[string]*wire.TaskStatus
	startedAt map[string]float64
}

// newSimulatedCluster makes a cluster with machines of 8 CPUs in zones a and b, in turn.
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

// submit submits a job of class "c" with so many tasks, changed by with.
func (s *simulatedCluster) submit(id string, now float64, tasks int, with func(j *wire.Job)) {
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs = at(now).UnixMilli()
	rec.Job.CPUs, rec.Job.ImageGB = 4, 0
	if with != nil {
		with(&rec.Job)
	}
	s.m.ApplyJobRecord(id, rec, 1, at(now))
}

// run runs the cluster from one second to another.
func (s *simulatedCluster) run(from, to float64) {
	for now := from; now < to; now++ {
		if s.arrivals != nil {
			s.arrivals(now)
		}
		for _, h := range s.machines {
			s.heartbeat(h, now)
		}
		s.m.Tick(at(now))
		s.m.Schedule(at(now), 1000)
		commitAll(s.t, s.m, at(now))
	}
}

// heartbeat sends a machine's heartbeat and carries out the commands in the answer.
func (s *simulatedCluster) heartbeat(h *simulatedMachine, now float64) {
	h.heartbeat.Seq++
	h.heartbeat.Token = s.m.FencingToken
	h.heartbeat.Tasks = nil
	for _, name := range slices.Sorted(maps.Keys(h.tasks)) {
		r := h.tasks[name]
		id, _, _ := wire.ParseTaskName(name)
		if j := s.m.Job(id); j != nil && r.State == wire.TaskRunning && now >= h.startedAt[name]+j.Spec.EstimateS {
			r.State, r.Why = wire.TaskExited, wire.ExitDone
		}
		h.heartbeat.Tasks = append(h.heartbeat.Tasks, *r)
	}
	for _, c := range answer(s.t, s.m, h.heartbeat, at(now)) {
		switch c.Op {
		case wire.OpStart:
			h.tasks[c.Task] = &wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
			h.startedAt[c.Task] = now
			if id, _, _ := wire.ParseTaskName(c.Task); s.started[id] == 0 {
				s.started[id] = now
			}
		case wire.OpStop:
			s.stops = append(s.stops, c.Task)
			if r := h.tasks[c.Task]; r != nil {
				r.State, r.Why = wire.TaskExited, wire.ExitStopped
			}
		case wire.OpForget:
			delete(h.tasks, c.Task)
		}
	}
}

// bound is the starvation bound of the tests.
const bound = 240 * time.Second

// startsWithinBound runs a scenario without the bound and with it, and checks that the job
// starts in time with the bound only; otherwise the scenario would show nothing.
func startsWithinBound(t *testing.T, id string, scenario func(bound time.Duration) *simulatedCluster) *simulatedCluster {
	t.Helper()
	if s := scenario(0); s.started[id] > 0 && s.started[id] <= bound.Seconds() {
		t.Fatalf("without the bound the job started after %v s", s.started[id])
	}
	s := scenario(bound)
	if b := s.started[id]; b == 0 || b > bound.Seconds() {
		t.Errorf("the job started after %v s", b)
	}
	return s
}

// overload submits small jobs: at first as many as fill the machines, and then new ones a
// little faster than they can be completed.
func overload(s *simulatedCluster, every int, with func(j *wire.Job)) func(now float64) {
	return func(now float64) {
		n := 0
		if int(now)%every == 0 {
			n = 1
		}
		if now == 0 {
			n = 3 * len(s.machines)
		}
		for i := range n {
			s.submit(fmt.Sprintf("wk-%d%05d", 1+i, int(now)), now, 1, func(j *wire.Job) {
				d := 150.0
				j.DeadlineS, j.EstimateS = &d, 40
				if with != nil {
					with(j)
				}
			})
		}
	}
}
