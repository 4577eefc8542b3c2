package cluster

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Guards against starvation under overload. A large array that triage postpones, a gang that needs one
// zone, and a job of lower priority must each start within the bound. No other task may be preempted
// for them.
func TestPostponedJobStartsWithinTheStarvationBoundUnderOverload(t *testing.T) {
	for _, c := range []struct {
		name                            string
		machines, arrivalSeconds, tasks int
		change                          func(j *wire.Job)
		maxServed                       int  // most tasks of the job that may be placed or done before the objectives of others
		mayBeStopped                    bool // the job itself may be preempted
	}{
		{"a large array", 2, 8, 30, func(j *wire.Job) { d := 100.0; j.DeadlineS = &d }, 10, false},
		{"a gang", 6, 3, 3, func(j *wire.Job) { j.Kind, j.CPUs, j.OneZone, j.Class = wire.KindGang, 8, true, "gangs" }, 3, false},
		{"of lower priority", 2, 5, 4, func(j *wire.Job) { j.Priority, j.Class = wire.PriorityLow, "low" }, 4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startsWithinBound(t, "wk-000001", func(bound time.Duration) *simulatedCluster {
				s := newSimulatedCluster(t, c.machines, bound)
				s.m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}
				s.arrivals = overload(s, c.arrivalSeconds, nil)
				s.run(0, 1)
				s.submit("wk-000001", 1, c.tasks, c.change)
				s.run(1, 400)
				return s
			})
			for _, name := range s.stops {
				if id, _, _ := wire.ParseTaskName(name); id != "wk-000001" || !c.mayBeStopped {
					t.Errorf("%s was stopped for wk-000001", name)
				}
			}
			// A start that is preempted within startProtection does not count.
			if j := s.m.Job("wk-000001"); j != nil && (j.PlacedTasks+j.DoneTasks > c.maxServed || j.firstRunAt.IsZero()) {
				t.Errorf("got %d served tasks, the first at %v, want at most %d and a first start", j.PlacedTasks+j.DoneTasks, j.firstRunAt, c.maxServed)
			}
		})
	}
}

// The bound must hold across a failover. Its decisions depend on when jobs were accepted and on where
// their tasks are, and the next leader loads both.
func TestStarvationBoundHoldsAcrossAFailover(t *testing.T) {
	startsWithinBound(t, "wk-000001", func(bound time.Duration) *simulatedCluster {
		s := newSimulatedCluster(t, 2, bound)
		objectives := []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}
		s.m.settings.Cluster.Objectives = objectives
		s.arrivals = overload(s, 8, nil)
		s.run(0, 1)
		s.submit("wk-000001", 1, 30, func(j *wire.Job) { d := 100.0; j.DeadlineS = &d })
		s.run(1, 100)
		old := s.m
		s.m = newModel(6)
		s.m.ElectedAt, s.m.StarvationBound, s.m.settings.Cluster.Objectives = at(100), bound, objectives
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
				t.Errorf("%s has a running task, but the next leader counts it as not started", j.ID)
			}
		}
		s.run(103, 400)
		return s
	})
}

// The bound must not change any decision until a job must start. With a distant bound all decisions
// equal those without a bound.
func TestDistantStarvationBoundChangesNoDecision(t *testing.T) {
	for seed := range uint64(8) {
		decisionsWith := func(bound time.Duration) (out []string) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			s := newSimulatedCluster(t, 4, bound)
			s.m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}, {Kind: "wait", Class: "gangs", WithinS: 50}}
			s.arrivals = func(now float64) {
				if rnd.IntN(4) == 0 {
					s.submit(fmt.Sprintf("wk-1%05d", int(now)), now, 1+rnd.IntN(12), func(j *wire.Job) {
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
					out = append(out, "ended")
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
		if without, with := decisionsWith(0), decisionsWith(24*time.Hour); !reflect.DeepEqual(without, with) {
			t.Errorf("seed %d: decisions differ with a distant bound", seed)
		}
	}
}

// If more gangs wait than can start in time, the largest must start, and as few others as possible
// may be late.
func TestStarvationBoundPrefersTheLargestJobsUnderOverload(t *testing.T) {
	s := newSimulatedCluster(t, 6, bound)
	for i := range 45 {
		s.submit(fmt.Sprintf("wk-1%05d", i), 0, []int{1, 2, 3, 1, 2, 3, 1, 2, 5}[i%9], func(j *wire.Job) { j.Kind = wire.KindGang })
	}
	s.run(0, 600)
	late := map[int]int{}
	for i := range 45 {
		id := fmt.Sprintf("wk-1%05d", i)
		if b, tasks := s.started[id], []int{1, 2, 3, 1, 2, 3, 1, 2, 5}[i%9]; b == 0 && i > 0 || b > bound.Seconds() {
			late[tasks]++
		}
	}
	// The gangs need 100 places, of which at most 48 become free in time: enough for the
	// largest gangs, which need 25, and for small ones.
	if late[5] > 0 || late[1] > 5 || late[3] == 0 {
		t.Errorf("late gangs by number of tasks: got %v, want none of 5, at most 5 of 1, and some of 3", late)
	}
}
