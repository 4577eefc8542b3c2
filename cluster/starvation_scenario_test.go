package cluster

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// shop is a few machines that report every second and run what they are told to
// for as long as its owner expects.
type shop struct {
	t     *testing.T
	m     *Model
	hosts []*host
	began map[string]float64
	stops []string
	comes func(now float64) // jobs that come in this second
}

type host struct {
	rep  *wire.Report
	runs map[string]*wire.TaskReport
	from map[string]float64
}

// newShop is a shop with machines of 8 CPUs in zones a and b, in turn.
func newShop(t *testing.T, machines int, bound time.Duration) *shop {
	t.Helper()
	s := &shop{t: t, m: newModel(5), began: map[string]float64{}}
	s.m.StarvationBound = bound
	for i := range machines {
		r := rep(0, 5)
		r.Machine, r.Addr, r.Zone = fmt.Sprintf("host-%d", i), fmt.Sprintf("h:%d", i), []string{"a", "b"}[i%2]
		s.hosts = append(s.hosts, &host{rep: r, runs: map[string]*wire.TaskReport{}, from: map[string]float64{}})
	}
	return s
}

// put submits a job of the test's class with so many tasks, changed by with.
func (s *shop) put(id string, now float64, tasks int, with func(j *wire.Job)) {
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs = at(now).UnixMilli()
	rec.Job.CPUs, rec.Job.ImageGB = 4, 0
	if with != nil {
		with(&rec.Job)
	}
	s.m.ApplyJobRecord(id, rec, 1, at(now))
}

// run lets time pass, second by second.
func (s *shop) run(from, to float64) {
	for now := from; now < to; now++ {
		if s.comes != nil {
			s.comes(now)
		}
		for _, h := range s.hosts {
			s.report(h, now)
		}
		s.m.Tick(at(now))
		s.m.Schedule(at(now), 1000)
		commit(s.t, s.m, at(now))
	}
}

func (s *shop) report(h *host, now float64) {
	h.rep.Seq++
	h.rep.Token = s.m.FencingToken
	h.rep.Tasks = nil
	for _, name := range slices.Sorted(maps.Keys(h.runs)) {
		r := h.runs[name]
		id, _, _ := wire.ParseTaskName(name)
		if j := s.m.Job(id); j != nil && r.State == wire.TaskRunning && now >= h.from[name]+j.Spec.EstimateS {
			r.State, r.Why = wire.TaskExited, wire.ExitDone
		}
		h.rep.Tasks = append(h.rep.Tasks, *r)
	}
	for _, c := range answer(s.t, s.m, h.rep, at(now)) {
		switch c.Op {
		case wire.OpStart:
			h.runs[c.Task] = &wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
			h.from[c.Task] = now
			if id, _, _ := wire.ParseTaskName(c.Task); s.began[id] == 0 {
				s.began[id] = now
			}
		case wire.OpStop:
			s.stops = append(s.stops, c.Task)
			if r := h.runs[c.Task]; r != nil {
				r.State, r.Why = wire.TaskExited, wire.ExitStopped
			}
		case wire.OpForget:
			delete(h.runs, c.Task)
		}
	}
}

const bound = 240 * time.Second

// beganBy plays a story without the bound and with it: without, the job must not
// have begun by then, or the story shows nothing.
func beganBy(t *testing.T, id string, story func(bound time.Duration) *shop) *shop {
	t.Helper()
	if s := story(0); s.began[id] > 0 && s.began[id] <= bound.Seconds() {
		t.Fatalf("without the bound the job has begun after %v s", s.began[id])
	}
	s := story(bound)
	if b := s.began[id]; b == 0 || b > bound.Seconds() {
		t.Errorf("the job began after %v s", b)
	}
	return s
}

// crowd is small jobs that fill the machines to begin with and keep coming, a
// little faster than they can be done.
func crowd(s *shop, every int, with func(j *wire.Job)) func(now float64) {
	return func(now float64) {
		n := 0
		if int(now)%every == 0 {
			n = 1
		}
		if now == 0 {
			n = 3 * len(s.hosts)
		}
		for i := range n {
			s.put(fmt.Sprintf("wk-%d%05d", 1+i, int(now)), now, 1, func(j *wire.Job) {
				d := 150.0
				j.DeadlineS, j.EstimateS = &d, 40
				if with != nil {
					with(j)
				}
			})
		}
	}
}
