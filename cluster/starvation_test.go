package cluster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
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

// A large array that is put off, a gang that needs room in one zone, and work of
// lower priority each begin by the bound amid a crowd, and stop nothing of others'.
func TestPostponedJobStartsWithinTheStarvationBoundUnderOverload(t *testing.T) {
	for _, c := range []struct {
		name                   string
		machines, every, tasks int
		with                   func(j *wire.Job)
		served                 int // tasks at most, before others' aims
		stopped                bool
	}{
		{"a large array", 2, 8, 30, func(j *wire.Job) { d := 100.0; j.DeadlineS = &d }, 10, false},
		{"a gang", 6, 3, 3, func(j *wire.Job) { j.Kind, j.CPUs, j.OneZone, j.Class = wire.KindGang, 8, true, "gangs" }, 3, false},
		{"of lower priority", 2, 5, 4, func(j *wire.Job) { j.Priority, j.Class = wire.PriorityLow, "low" }, 4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := beganBy(t, "wk-000001", func(bound time.Duration) *shop {
				s := newShop(t, c.machines, bound)
				s.m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}
				s.comes = crowd(s, c.every, nil)
				s.run(0, 1)
				s.put("wk-000001", 1, c.tasks, c.with)
				s.run(1, 400)
				return s
			})
			for _, name := range s.stops {
				if id, _, _ := wire.ParseTaskName(name); id != "wk-000001" || !c.stopped {
					t.Errorf("%s was stopped for it", name)
				}
			}
			// A start that is stopped within 30 s is none.
			if j := s.m.Job("wk-000001"); j != nil && (j.PlacedTasks+j.DoneTasks > c.served || j.firstRunAt.IsZero()) {
				t.Errorf("%d of its tasks were served, first at %v", j.PlacedTasks+j.DoneTasks, j.firstRunAt)
			}
		})
	}
}

// What the bound asks for depends on when a job was accepted and on where tasks
// are, which the next leader is told.
func TestStarvationBoundHoldsAcrossAFailover(t *testing.T) {
	beganBy(t, "wk-000001", func(bound time.Duration) *shop {
		s := newShop(t, 2, bound)
		aims := []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}
		s.m.settings.Cluster.Objectives = aims
		s.comes = crowd(s, 8, nil)
		s.run(0, 1)
		s.put("wk-000001", 1, 30, func(j *wire.Job) { d := 100.0; j.DeadlineS = &d })
		s.run(1, 100)
		old := s.m
		s.m = newModel(6)
		s.m.ElectedAt, s.m.StarvationBound, s.m.settings.Cluster.Objectives = at(100), bound, aims
		var page jobstore.PlacementPage
		for _, j := range old.Jobs {
			if j == nil || j.Finished || j.DoneTasks == len(j.Tasks) {
				continue
			}
			s.m.ApplyJobRecord(j.ID, jobstore.JobRecord{AcceptedAtMs: j.AcceptedAt.UnixMilli(), Job: j.Spec}, 1, at(100))
			c := jobstore.PlacementChunk{Job: j.ID, MaxAttempt: j.lastAttempt}
			for i := range j.Tasks {
				if p := j.Tasks[i].Placement; p != nil {
					c.Placements = append(c.Placements, jobstore.Placement{Task: i, Attempt: p.Attempt, Machine: p.machineName})
				}
			}
			page.Chunks = append(page.Chunks, c)
		}
		s.m.LoadPlacementPage(0, page, 2, at(100))
		s.m.FinishLoading(at(100))
		s.run(100, 103)
		for _, j := range s.m.Jobs {
			if j.PlacedTasks > 0 && !j.hasStarted() {
				t.Errorf("%s runs, and the next leader takes it for one that has not begun", j.ID)
			}
		}
		s.run(103, 400)
		return s
	})
}

// Jobs that can't begin are named, each with what stands in its way; those that
// can are not.
func TestStarvedJobsAreListedWithTheirCause(t *testing.T) {
	s := newShop(t, 1, bound) // of zone a
	s.m.teams[0].Max.CPU = 8
	offer := func() {
		for ti := range s.m.MachineTypes {
			for z := range s.m.Zones {
				for _, spot := range []bool{false, true} {
					s.m.refusedOffers.refuse(offerKey{ti, z, spot}, at(1000))
				}
			}
		}
	}
	offer()
	s.put("wk-000001", 0, 1, func(j *wire.Job) { j.Zone = "b"; j.Team = "" })
	s.put("wk-000002", 0, 3, func(j *wire.Job) { j.Kind, j.CPUs, j.Team = wire.KindGang, 4, "" })
	s.put("wk-000003", 0, 1, func(j *wire.Job) { j.EstimateS = 2000 })
	s.put("wk-000004", 0, 1, func(j *wire.Job) { j.EstimateS = 2000 })
	s.run(0, 50)
	s.put("wk-000005", 50, 1, func(j *wire.Job) { j.Types = []string{"none"}; j.Team = "" })
	s.put("wk-000006", 50, 1, nil)
	s.run(50, 300)
	got := map[string]string{}
	sum := s.m.Snapshot(at(300))
	for _, u := range sum.Starved {
		got[u.ID] = u.BlockedBy
	}
	want := map[string]string{"wk-000001": blockedByZone, "wk-000002": blockedByGangSize, "wk-000005": blockedByNoMachines, "wk-000006": blockedByQuota}
	if !maps.Equal(got, want) || sum.StarvedTotal != len(want) {
		t.Errorf("named: %v", got)
	}
}

// The bound changes nothing until a job must begin: with one that is far away, all
// decisions are those made without any.
func TestDistantStarvationBoundChangesNoDecision(t *testing.T) {
	for seed := range uint64(8) {
		play := func(bound time.Duration) (out []string) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			s := newShop(t, 4, bound)
			s.m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}, {Kind: "wait", Class: "gangs", WithinS: 50}}
			s.comes = func(now float64) {
				if rnd.IntN(4) == 0 {
					s.put(fmt.Sprintf("wk-1%05d", int(now)), now, 1+rnd.IntN(12), func(j *wire.Job) {
						d := 100 + 100*rnd.Float64()
						j.DeadlineS, j.EstimateS = &d, 10+60*rnd.Float64()
						j.Priority = []string{wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}[rnd.IntN(3)]
						if rnd.IntN(3) == 0 {
							j.Class, j.Kind, j.OneZone, j.Tasks = "gangs", wire.KindGang, true, min(j.Tasks, 4)
						}
					})
				}
			}
			s.run(0, 150)
			for _, j := range s.m.Jobs {
				if j == nil {
					out = append(out, "over")
					continue
				}
				var b strings.Builder
				fmt.Fprint(&b, j.ID, j.lastAttempt, j.DoneTasks, j.firstRunAt)
				for i := range j.Tasks {
					if p := j.Tasks[i].Placement; p != nil {
						fmt.Fprint(&b, " ", i, p.machineName, p.placedAt)
					}
				}
				out = append(out, b.String())
			}
			return out
		}
		if without, with := play(0), play(24*time.Hour); !reflect.DeepEqual(without, with) {
			t.Errorf("seed %d: decisions differ", seed)
		}
	}
}

// Where more comes than can ever be done, what is old is done in the end, at
// least half of a team's.
func TestCompletionFloorCompletesHalfOfATeamsJobsUnderOverload(t *testing.T) {
	story := func(bound time.Duration) (done, all int) {
		s := newShop(t, 4, bound)
		s.m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}
		small := crowd(s, 4, nil)
		s.comes = func(now float64) {
			small(now)
			if int(now)%60 == 30 && now < 600 {
				s.put(fmt.Sprintf("wk-99%04d", int(now)), now, 12, func(j *wire.Job) { d := 100.0; j.DeadlineS, j.Team = &d, "large" })
			}
		}
		s.run(0, 1000)
		for now := 30; now < 600; now += 60 {
			all++
			if j := s.m.Job(fmt.Sprintf("wk-99%04d", now)); j == nil || j.DoneTasks == 12 {
				done++
			}
		}
		return done, all
	}
	if done, all := story(0); 2*done >= all {
		t.Fatalf("without the bound %d of %d are done: the story shows nothing", done, all)
	}
	if done, all := story(30 * time.Second); 2*done < all {
		t.Errorf("%d of %d are done", done, all)
	}
}

// More gangs than can begin in time: the largest do, and as few as possible of
// the others don't.
func TestStarvationBoundPrefersTheLargestJobsUnderOverload(t *testing.T) {
	s := newShop(t, 6, bound)
	for i := range 45 {
		s.put(fmt.Sprintf("wk-1%05d", i), 0, []int{1, 2, 3, 1, 2, 3, 1, 2, 5}[i%9], func(j *wire.Job) { j.Kind = wire.KindGang })
	}
	s.run(0, 600)
	late := map[int]int{}
	for i := range 45 {
		id := fmt.Sprintf("wk-1%05d", i)
		if b, tasks := s.began[id], []int{1, 2, 3, 1, 2, 3, 1, 2, 5}[i%9]; b == 0 && i > 0 || b > bound.Seconds() {
			late[tasks]++
		}
	}
	// 100 places are asked for, of which 48 can be had in time at best: those of
	// the largest, 25, and of the small ones.
	if late[5] > 0 || late[1] > 5 || late[3] == 0 {
		t.Errorf("late, by tasks: %v", late)
	}
}
