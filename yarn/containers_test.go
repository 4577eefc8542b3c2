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

func TestContainersRunAndAreReleased(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		id, m := user.startApplication()
		defer m.Close()
		m.Request(smallContainer(1), 6)
		if ends, _ := user.runMaster(m, 30*time.Second); len(ends) != 0 || w.Started() != 6 || m.Pending() != 0 {
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
			if c := mustReadLaunchContext(t, w, strings.TrimPrefix(k, "w/j/")+"/5"); shared != 1 || c.Argv[0] != launchContext.Command[0] {
				t.Errorf("%d contexts, one is %+v", shared, c)
			}
		}
		m.Release(m.Containers()[0].GetId())
		ends, _ := user.runMaster(m, 50*time.Second)
		if ends[yarn.ExitSuccess] != 5 || ends[yarn.ExitByMaster] != 1 {
			t.Errorf("ended %v", ends)
		}
		if err := m.Finish(t.Context(), pb.FinalApplicationStatusProto_APP_SUCCEEDED, "all done"); err != nil {
			t.Fatal(err)
		}
		if st := user.mustReadState(id); st != pb.YarnApplicationStateProto_FINISHED {
			t.Errorf("it is %v", st)
		}
		// A repeated end gets the same answer, and the token is refused from now on.
		if err := user.client.Kill(t.Context(), id); err != nil || user.mustReadState(id) != pb.YarnApplicationStateProto_FINISHED {
			t.Errorf("killed after it had finished: %v", err)
		}
		time.Sleep(10 * time.Second)
		if update, err := m.Heartbeat(t.Context()); err == nil && !update.Shutdown {
			t.Error("a heartbeat after the end is answered as if nothing had happened")
		}
		assertNoRecords(t, w)
	})
}

// Containers that the quota of the queue's team does not allow, or that fit no machine, are refused
// with the text of a native job's refusal. Containers and native jobs of a team count together.
func TestRefusalsAndQuotasAreThoseOfNativeJobs(t *testing.T) {
	teams := []config.Team{{Name: "core", CPUsMax: 20}}
	runScenario(t, fake.Options{Machines: 6, Teams: teams}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		for _, c := range []struct {
			cpus int32
			mem  int64
		}{{9, 4}, {25, 4}, {2, 900}} {
			_, m := user.startApplication()
			native := scenario.Job(100, func(j *wire.Job) { j.CPUs, j.MemoryGB, j.Tasks = float64(c.cpus), float64(c.mem), 1 })
			status, words := w.SubmitRefused(0, native)
			m.Request(client.ContainerRequest{Priority: 1, ResourceName: "*", RelaxLocality: true, MemoryMB: c.mem * 1024, VCores: c.cpus}, 1)
			_, err := m.Heartbeat(t.Context())
			if status != http.StatusUnprocessableEntity || !ywire.IsClass(err, ywire.ClassBadRequest) || !strings.HasSuffix(err.Error(), words) {
				t.Errorf("%d CPUs, %d GB: native %d %q, container %v", c.cpus, c.mem, status, words, err)
			}
			m.Close()
		}
		id, m := user.startApplication()
		defer m.Close()
		scenario.MustSubmit(t, w, scenario.Job(1, func(j *wire.Job) { j.Tasks, j.EstimateS = 4, 30 }))
		for n := range 10 {
			m.Request(smallContainer(int32(n)), 4) // 80 CPUs in all, beside 8 of the job's
			user.runMaster(m, 2*time.Second)
		}
		if got := len(m.Containers()); got != 6 && got != 10 {
			t.Errorf("%d containers beside a job, 20 CPUs being the limit", got)
		}
		scenario.MustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
		user.runMaster(m, 15*time.Second)
		if got := len(m.Containers()); got != 10 {
			t.Errorf("%d containers, 20 CPUs being the limit", got)
		}
		if err := user.client.Kill(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		assertNoRecords(t, w)
	})
}

// Containers that are allocated and not started within start_s are released, and their
// resources are available to native jobs.
func TestContainersNotStartedInTimeAreReleased(t *testing.T) {
	runScenario(t, fake.Options{Machines: 1, Capacity: 1}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		_, m := user.startApplication()
		defer m.Close()
		m.Request(smallContainer(1), 4)
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

// A native job of higher priority, an interruption notice and the loss of a machine end
// containers as they end tasks; the exit status shows whether the container was preempted or lost.
func TestExitStatusesOfPreemptedAndLostContainers(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2, Capacity: 2}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		_, m := user.startApplication()
		defer m.Close()
		m.Request(smallContainer(1), 8)
		user.runMaster(m, 12*time.Second)
		if w.Started() != 8 {
			t.Fatalf("%d started", w.Started())
		}
		m.Request(smallContainer(1), 0)
		scenario.MustSubmit(t, w, scenario.Job(1, func(j *wire.Job) { j.Priority, j.Tasks, j.CPUs, j.EstimateS = wire.PriorityHigh, 1, 8, 10 }))
		ends, warned := user.runMaster(m, 20*time.Second)
		if ends[yarn.ExitPreempted] != 4 || warned == 0 {
			t.Errorf("ended %v, warned of %d", ends, warned)
		}
		scenario.MustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
		m.Request(smallContainer(2), 2)
		user.runMaster(m, 8*time.Second)
		busy := m.Containers()[0].GetNodeId().GetHost()
		w.KillMachine(busy)
		ends, _ = user.runMaster(m, 30*time.Second)
		if ends[yarn.ExitAborted] == 0 {
			t.Errorf("ended %v when a machine died", ends)
		}
		m.Request(smallContainer(3), 2)
		user.runMaster(m, 8*time.Second)
		if len(m.Containers()) == 0 {
			t.Fatal("no container")
		}
		w.SendInterruptionNotice(m.Containers()[0].GetNodeId().GetHost(), 15*time.Second)
		if ends, warned = user.runMaster(m, 12*time.Second); ends[yarn.ExitPreempted] == 0 || warned == 0 {
			t.Errorf("ended %v, warned of %d, at a notice", ends, warned)
		}
	})
}

// tasksPerMachine returns how many tasks each machine has, sorted by number: the order of equal
// machines depends on which has sent its heartbeat first.
func tasksPerMachine(w *fake.Cluster) []int { return slices.Sorted(maps.Values(w.TasksPerMachine())) }

// The same work is placed alike through YARN and as native jobs, and refused with the same text.
func TestYARNAndNativeJobsArePlacedAlike(t *testing.T) {
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
	scenario.Run(t, o, func(_ *testing.T, w *fake.Cluster) {
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
			native = append(native, fmt.Sprint(words, tasksPerMachine(w)))
		}
	})
	runScenario(t, o, func(t *testing.T, w *fake.Cluster, user *testClient) {
		_, m := user.startApplication()
		defer m.Close()
		for i, s := range steps {
			// Each has a master of its own, so that a refusal does not affect the others.
			_, m := user.startApplication()
			defer m.Close()
			m.Request(client.ContainerRequest{Priority: int32(i), ResourceName: "*", RelaxLocality: true, VCores: int32(s.cpus), MemoryMB: int64(s.memGB * 1024), GPUs: int64(s.gpu), GPUName: "yarn.io/gpu"}, s.n)
			words := ""
			for range 5 {
				update, err := m.Heartbeat(t.Context())
				var e *ywire.Error
				if errors.As(err, &e) {
					words = e.Text
				} else if len(update.Allocated) > 0 {
					if _, err := m.Start(t.Context(), launchContext, update.Allocated...); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Second)
			}
			asked = append(asked, fmt.Sprint(words, tasksPerMachine(w)))
		}
	})
	for i := range steps {
		if native[i] != asked[i] {
			t.Errorf("step %d: native %s, YARN %s", i, native[i], asked[i])
		}
	}
}

// With strict locality only the named nodes and racks are used, a node label selects its zone,
// and no container is allocated on a blacklisted node.
func TestLocalityAndBlacklists(t *testing.T) {
	runScenario(t, fake.Options{Machines: 6, Capacity: 6}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		_, m := user.startApplication()
		defer m.Close()
		node := w.Cloud.Machines()[3]
		strict := func(prio int32, name string) client.ContainerRequest {
			return client.ContainerRequest{Priority: prio, ResourceName: name, MemoryMB: 1024, VCores: 1}
		}
		m.Request(strict(1, node), 2)
		user.runMaster(m, 5*time.Second) // before others use up that node
		m.Request(strict(2, "/b"), 4)
		labelled := smallContainer(3)
		labelled.NodeLabel = "zone-b"
		m.Request(labelled, 2)
		m.Request(strict(4, "host-999999"), 1) // an unknown node: it stays pending and blocks nothing
		user.runMaster(m, 15*time.Second)
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
		m.Request(smallContainer(5), 14)
		user.runMaster(m, 15*time.Second)
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
