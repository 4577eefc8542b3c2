package yarn_test

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn"
	"github.com/umberdeal/umberdeal/yarn/client"
	ywire "github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

func TestContainersRunAsTasksDo(t *testing.T) {
	yarnWorld(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
		id, m := y.app()
		defer m.Close()
		m.Request(small(1), 6)
		if ends, _ := y.run(m, 30*time.Second); len(ends) != 0 || w.Started() != 6 || m.Pending() != 0 {
			t.Fatalf("%d started, %d wanted, ended %v", w.Started(), m.Pending(), ends)
		}
		sts, err := m.Statuses(t.Context(), m.Containers()[0].GetId())
		if err != nil || len(sts) != 1 || sts[0].GetState() != pb.ContainerStateProto_C_RUNNING {
			t.Errorf("statuses %v, %v", sts, err)
		}
		shared := 0
		for _, k := range w.Store.Keys("yx/") {
			shared++
			if !strings.Contains(k, "/s/") {
				t.Errorf("a context of its own, %s, though all are alike", k)
			}
		}
		for _, k := range w.Store.Keys("w/j/") {
			if c := mustLaunch(t, w, strings.TrimPrefix(k, "w/j/")+"/5"); shared != 1 || c.Argv[0] != launch.Command[0] {
				t.Errorf("%d contexts, one is %+v", shared, c)
			}
		}
		m.Release(m.Containers()[0].GetId())
		ends, _ := y.run(m, 50*time.Second)
		if ends[yarn.ExitSuccess] != 5 || ends[yarn.ExitByMaster] != 1 {
			t.Errorf("ended %v", ends)
		}
		if err := m.Finish(t.Context(), pb.FinalApplicationStatusProto_APP_SUCCEEDED, "all done"); err != nil {
			t.Fatal(err)
		}
		if st := y.state(id); st != pb.YarnApplicationStateProto_FINISHED {
			t.Errorf("it is %v", st)
		}
		// Whoever asks again is told the same; its token opens nothing any more.
		if err := y.c.Kill(t.Context(), id); err != nil || y.state(id) != pb.YarnApplicationStateProto_FINISHED {
			t.Errorf("killed after it had finished: %v", err)
		}
		time.Sleep(10 * time.Second)
		if update, err := m.Heartbeat(t.Context()); err == nil && !update.Shutdown {
			t.Error("a heartbeat after the end is answered as if nothing had happened")
		}
		noRecords(t, w)
	})
}

// A container asks for what its queue does not allow, or no machine has: it is
// refused in the words of a native job; and all that runs counts together.
func TestRefusalsAndLimitsAreThoseOfNativeJobs(t *testing.T) {
	teams := []config.Team{{Name: "core", CPUsMax: 20}}
	yarnWorld(t, fake.Options{Machines: 6, Teams: teams}, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
		for _, c := range []struct {
			cpus int32
			mem  int64
		}{{9, 4}, {25, 4}, {2, 900}} {
			_, m := y.app()
			native := scenario.Job(100, func(j *wire.Job) { j.CPUs, j.MemoryGB, j.Tasks = float64(c.cpus), float64(c.mem), 1 })
			status, words := w.SubmitRefused(0, native)
			m.Request(client.ContainerRequest{Priority: 1, ResourceName: "*", RelaxLocality: true, MemoryMB: c.mem * 1024, VCores: c.cpus}, 1)
			_, err := m.Heartbeat(t.Context())
			if status != http.StatusUnprocessableEntity || !ywire.IsClass(err, ywire.ClassBadRequest) || !strings.HasSuffix(err.Error(), words) {
				t.Errorf("%d CPUs, %d GB: native %d %q, container %v", c.cpus, c.mem, status, words, err)
			}
			m.Close()
		}
		id, m := y.app()
		defer m.Close()
		scenario.MustSubmit(t, w, scenario.Job(1, func(j *wire.Job) { j.Tasks, j.EstimateS = 4, 30 }))
		for n := range 10 {
			m.Request(small(int32(n)), 4) // 80 CPUs in pieces, beside 8 of the job's
			y.run(m, 2*time.Second)
		}
		if got := len(m.Containers()); got != 6 && got != 10 {
			t.Errorf("%d containers beside a job, 20 CPUs being the limit", got)
		}
		scenario.MustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
		y.run(m, 15*time.Second)
		if got := len(m.Containers()); got != 10 {
			t.Errorf("%d containers, 20 CPUs being the limit", got)
		}
		if err := y.c.Kill(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		noRecords(t, w)
	})
}

// Room that is allocated and not used is taken back in time.
func TestContainersThatNobodyStartsAreTakenBack(t *testing.T) {
	yarnWorld(t, fake.Options{Machines: 1, Capacity: 1}, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
		_, m := y.app()
		defer m.Close()
		m.Request(small(1), 4)
		ends := map[int32]int{}
		for range 45 {
			update, err := m.Heartbeat(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range update.Completed {
				ends[s.GetExitStatus()]++
			}
			time.Sleep(time.Second)
		}
		if ends[yarn.ExitByMaster] != 4 || w.Started() != 0 {
			t.Errorf("ended %v, %d started", ends, w.Started())
		}
		scenario.MustSubmit(t, w, scenario.Job(1, func(j *wire.Job) { j.Tasks = 4 }))
		scenario.MustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
	})
}

// Native work of higher priority, a notice and a lost machine take containers as
// they take tasks, and the exit status says which.
func TestContainersGiveWayAsTasksDo(t *testing.T) {
	yarnWorld(t, fake.Options{Machines: 2, Capacity: 2}, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
		_, m := y.app()
		defer m.Close()
		m.Request(small(1), 8)
		y.run(m, 12*time.Second)
		if w.Started() != 8 {
			t.Fatalf("%d started", w.Started())
		}
		m.Request(small(1), 0)
		scenario.MustSubmit(t, w, scenario.Job(1, func(j *wire.Job) { j.Priority, j.Tasks, j.CPUs, j.EstimateS = wire.PriorityHigh, 1, 8, 10 }))
		ends, warned := y.run(m, 20*time.Second)
		if ends[yarn.ExitPreempted] != 4 || warned == 0 {
			t.Errorf("ended %v, warned of %d", ends, warned)
		}
		scenario.MustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
		m.Request(small(2), 2)
		y.run(m, 8*time.Second)
		busy := m.Containers()[0].GetNodeId().GetHost()
		w.KillMachine(busy)
		ends, _ = y.run(m, 30*time.Second)
		if ends[yarn.ExitAborted] == 0 {
			t.Errorf("ended %v when a machine died", ends)
		}
		m.Request(small(3), 2)
		y.run(m, 8*time.Second)
		if len(m.Containers()) == 0 {
			t.Fatal("no container")
		}
		w.SendInterruptionNotice(m.Containers()[0].GetNodeId().GetHost(), 15*time.Second)
		if ends, warned = y.run(m, 12*time.Second); ends[yarn.ExitPreempted] == 0 || warned == 0 {
			t.Errorf("ended %v, warned of %d, at a notice", ends, warned)
		}
	})
}

// loads lists how many tasks machines have. Which of two alike machines comes
// first hangs on which has reported first.
func loads(w *fake.Cluster) []int { return slices.Sorted(maps.Values(w.TasksPerMachine())) }

// The same work through either door is placed alike, and what either refuses it
// refuses in the same words.
func TestBothDoorsDecideAlike(t *testing.T) {
	type step struct {
		n         int
		cpus, gpu float64
		memGB     float64
		priority  string
	}
	steps := []step{{5, 2, 0, 4, wire.PriorityNormal}, {2, 8, 0, 16, wire.PriorityNormal}, {3, 1, 1, 8, wire.PriorityNormal},
		{1, 9, 0, 4, wire.PriorityNormal}, {6, 3, 0, 6, wire.PriorityNormal}, {1, 1, 3, 1, wire.PriorityNormal}}
	o := fake.Options{Machines: 6, Capacity: 6}
	var native, asked []string
	scenario.Run(t, o, func(t *testing.T, w *fake.Cluster) {
		for i, s := range steps {
			j := scenario.Job(i+1, func(j *wire.Job) {
				j.Tasks, j.CPUs, j.GPUs, j.MemoryGB, j.EstimateS = s.n, s.cpus, s.gpu, s.memGB, 60
				j.Class, j.Image, j.ImageGB, j.CheckpointS, j.SaveS = "yarn", "yarn", 0, 1e6, 3
			})
			w.RegisterJob(j)
			status, words := w.SubmitRefused(0, j)
			time.Sleep(5 * time.Second)
			if status != http.StatusUnprocessableEntity {
				words = ""
			}
			native = append(native, fmt.Sprint(words, loads(w)))
		}
	})
	yarnWorld(t, o, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
		_, m := y.app()
		defer m.Close()
		for i, s := range steps {
			// Each has a master of its own, so that a refusal leaves the others be.
			_, m := y.app()
			defer m.Close()
			m.Request(client.ContainerRequest{Priority: int32(i), ResourceName: "*", RelaxLocality: true, VCores: int32(s.cpus), MemoryMB: int64(s.memGB * 1024), GPUs: int64(s.gpu), GPUName: "yarn.io/gpu"}, s.n)
			words := ""
			for range 5 {
				update, err := m.Heartbeat(t.Context())
				var e *ywire.Error
				if errors.As(err, &e) {
					words = e.Text
				} else if len(update.Allocated) > 0 {
					if _, err := m.Start(t.Context(), launch, update.Allocated...); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Second)
			}
			asked = append(asked, fmt.Sprint(words, loads(w)))
		}
	})
	for i := range steps {
		if native[i] != asked[i] {
			t.Errorf("step %d: native %s, YARN %s", i, native[i], asked[i])
		}
	}
}

// Names that are asked for strictly are the only ones, labels lead to zones, and
// a node on the blacklist is given nothing.
func TestLocalityAndBlacklists(t *testing.T) {
	yarnWorld(t, fake.Options{Machines: 6, Capacity: 6}, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
		_, m := y.app()
		defer m.Close()
		node := w.Cloud.Machines()[3]
		strict := func(prio int32, name string) client.ContainerRequest {
			return client.ContainerRequest{Priority: prio, ResourceName: name, MemoryMB: 1024, VCores: 1}
		}
		m.Request(strict(1, node), 2)
		y.run(m, 5*time.Second) // before others take the room there
		m.Request(strict(2, "/b"), 4)
		labelled := small(3)
		labelled.NodeLabel = "zone-b"
		m.Request(labelled, 2)
		m.Request(strict(4, "host-999999"), 1) // never there: it waits, and holds nobody up
		y.run(m, 15*time.Second)
		got := map[int32]int{}
		for _, c := range m.Containers() {
			at, prio := c.GetNodeId().GetHost(), c.GetPriority().GetPriority()
			got[prio]++
			if prio == 1 && at != node || prio != 1 && w.ZoneOf(at) != "b" {
				t.Errorf("priority %d is on %s in zone %s", prio, at, w.ZoneOf(at))
			}
		}
		if got[1] != 2 || got[2] != 4 || got[3] != 2 || len(got) != 3 {
			t.Errorf("allocated by priority: %v", got)
		}
		m.Request(strict(4, "host-999999"), 0)
		m.UpdateBlacklist([]string{node}, nil)
		m.Request(small(5), 14)
		y.run(m, 15*time.Second)
		for _, c := range m.Containers() {
			if c.GetPriority().GetPriority() == 5 && c.GetNodeId().GetHost() == node {
				t.Errorf("a container on %s, which is shunned", node)
			}
		}
		if got := len(m.Containers()); got < 20 {
			t.Errorf("only %d containers beside a shunned node", got)
		}
		bad := labelled
		bad.NodeLabel = "nowhere"
		m.Request(bad, 1)
		if _, err := m.Heartbeat(t.Context()); !ywire.IsClass(err, ywire.ClassBadRequest) {
			t.Errorf("an unknown label is answered %v", err)
		}
	})
}
