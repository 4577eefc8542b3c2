// Tests of the life of containers: placement, quotas, release, preemption, loss and locality.

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

// Containers run, end or are released, and nothing remains after their application has finished.
func TestContainersRunAndAreReleased(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		id, master := user.startApplication()
		defer master.Close()
		master.Request(smallContainer(1), 6)
		if ended, _ := user.runMaster(master, 30*time.Second); len(ended) != 0 || cluster.Started() != 6 || master.Pending() != 0 {
			t.Fatalf("got %d started, %d pending, ended by exit status %v; want 6, 0 and none", cluster.Started(), master.Pending(), ended)
		}
		statuses, err := master.Statuses(t.Context(), master.Containers()[0].GetId())
		if err != nil || len(statuses) != 1 || statuses[0].GetState() != pb.ContainerStateProto_C_RUNNING {
			t.Errorf("got statuses %v, error %v; want one running container", statuses, err)
		}
		shared := 0
		for _, key := range cluster.Store.Keys("yx/") {
			shared++
			if !strings.Contains(key, "/s/") {
				t.Errorf("launch context %s is not shared, although all containers have the same", key)
			}
		}
		for _, key := range cluster.Store.Keys("w/j/") {
			if c := mustReadLaunchContext(t, cluster, strings.TrimPrefix(key, "w/j/")+"/5"); shared != 1 || c.Argv[0] != launchContext.Command[0] {
				t.Errorf("got %d launch contexts, one being %+v; want one with the submitted command", shared, c)
			}
		}
		master.Release(master.Containers()[0].GetId())
		ended, _ := user.runMaster(master, 50*time.Second)
		if ended[yarn.ExitSuccess] != 5 || ended[yarn.ExitByMaster] != 1 {
			t.Errorf("ended by exit status: %v", ended)
		}
		if err := master.Finish(t.Context(), pb.FinalApplicationStatusProto_APP_SUCCEEDED, "all done"); err != nil {
			t.Fatal(err)
		}
		if state := user.mustReadState(id); state != pb.YarnApplicationStateProto_FINISHED {
			t.Errorf("application is %v, want FINISHED", state)
		}
		// Killing a finished application succeeds and does not change its state. The token of its
		// master is refused.
		if err := user.client.Kill(t.Context(), id); err != nil || user.mustReadState(id) != pb.YarnApplicationStateProto_FINISHED {
			t.Errorf("kill after the end: error %v, or the state has changed", err)
		}
		time.Sleep(10 * time.Second)
		if update, err := master.Heartbeat(t.Context()); err == nil && !update.Shutdown {
			t.Error("a heartbeat after the end is neither refused nor answered with a shutdown")
		}
		assertNoRecords(t, cluster)
	})
}

// A container that exceeds the quota of its queue's team or fits no machine is refused with the
// same text as a native job. Containers and native jobs of a team count towards the same quota.
func TestRefusalsAndQuotasAreThoseOfNativeJobs(t *testing.T) {
	teams := []config.Team{{Name: "core", CPUsMax: 20}}
	runScenario(t, fake.Options{Machines: 6, Teams: teams}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		for _, c := range []struct {
			cpus int32
			mem  int64
		}{{9, 4}, {25, 4}, {2, 900}} {
			_, master := user.startApplication()
			nativeJob := scenario.Job(100, func(j *wire.Job) { j.CPUs, j.MemoryGB, j.Tasks = float64(c.cpus), float64(c.mem), 1 })
			status, text := cluster.SubmitRefused(0, nativeJob)
			master.Request(client.ContainerRequest{Priority: 1, ResourceName: "*", RelaxLocality: true, MemoryMB: c.mem * 1024, VCores: c.cpus}, 1)
			_, err := master.Heartbeat(t.Context())
			if status != http.StatusUnprocessableEntity || !ywire.IsClass(err, ywire.ClassBadRequest) || !strings.HasSuffix(err.Error(), text) {
				t.Errorf("%d CPUs, %d GB: native %d %q, container %v", c.cpus, c.mem, status, text, err)
			}
			master.Close()
		}
		id, master := user.startApplication()
		defer master.Close()
		scenario.MustSubmit(t, cluster, scenario.Job(1, func(j *wire.Job) { j.Tasks, j.EstimateS = 4, 30 }))
		for n := range 10 {
			master.Request(smallContainer(int32(n)), 4) // 80 CPUs in all, besides the 8 CPUs of the job
			user.runMaster(master, 2*time.Second)
		}
		if got := len(master.Containers()); got != 6 && got != 10 {
			t.Errorf("got %d containers besides a job, want 6 or 10 within the quota of 20 CPUs", got)
		}
		scenario.MustReach(t, cluster, "wk-000001", wire.JobDone, time.Minute)
		user.runMaster(master, 15*time.Second)
		if got := len(master.Containers()); got != 10 {
			t.Errorf("got %d containers, want 10 within the quota of 20 CPUs", got)
		}
		if err := user.client.Kill(t.Context(), id); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		assertNoRecords(t, cluster)
	})
}

// Containers that are not started within start_s of their allocation are released. Their resources
// become available to native jobs.
func TestContainersNotStartedInTimeAreReleased(t *testing.T) {
	runScenario(t, fake.Options{Machines: 1, Capacity: 1}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		_, master := user.startApplication()
		defer master.Close()
		master.Request(smallContainer(1), 4)
		ended := map[int32]int{}
		for range 45 {
			update, err := master.Heartbeat(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range update.Completed {
				ended[s.GetExitStatus()]++
			}
			time.Sleep(time.Second)
		}
		if ended[yarn.ExitByMaster] != 4 || cluster.Started() != 0 {
			t.Errorf("ended by exit status: %v, %d started; want 4 released, none started", ended, cluster.Started())
		}
		scenario.MustSubmit(t, cluster, scenario.Job(1, func(j *wire.Job) { j.Tasks = 4 }))
		scenario.MustReach(t, cluster, "wk-000001", wire.JobDone, time.Minute)
	})
}

// A native job of higher priority, an interruption notice and the loss of a machine end containers
// like native tasks. The exit status tells whether a container was preempted or lost.
func TestExitStatusesOfPreemptedAndLostContainers(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2, Capacity: 2}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		_, master := user.startApplication()
		defer master.Close()
		master.Request(smallContainer(1), 8)
		user.runMaster(master, 12*time.Second)
		if cluster.Started() != 8 {
			t.Fatalf("%d containers started, want 8", cluster.Started())
		}
		master.Request(smallContainer(1), 0)
		scenario.MustSubmit(t, cluster, scenario.Job(1, func(j *wire.Job) { j.Priority, j.Tasks, j.CPUs, j.EstimateS = wire.PriorityHigh, 1, 8, 10 }))
		ended, warned := user.runMaster(master, 20*time.Second)
		if ended[yarn.ExitPreempted] != 4 || warned == 0 {
			t.Errorf("ended by exit status: %v, with %d preemption messages; want 4 preempted", ended, warned)
		}
		scenario.MustReach(t, cluster, "wk-000001", wire.JobDone, time.Minute)
		master.Request(smallContainer(2), 2)
		user.runMaster(master, 8*time.Second)
		busy := master.Containers()[0].GetNodeId().GetHost()
		cluster.KillMachine(busy)
		ended, _ = user.runMaster(master, 30*time.Second)
		if ended[yarn.ExitAborted] == 0 {
			t.Errorf("ended by exit status: %v; none aborted after the loss of a machine", ended)
		}
		master.Request(smallContainer(3), 2)
		user.runMaster(master, 8*time.Second)
		if len(master.Containers()) == 0 {
			t.Fatal("no container is allocated")
		}
		cluster.SendInterruptionNotice(master.Containers()[0].GetNodeId().GetHost(), 15*time.Second)
		if ended, warned = user.runMaster(master, 12*time.Second); ended[yarn.ExitPreempted] == 0 || warned == 0 {
			t.Errorf("ended by exit status: %v, with %d preemption messages; want both after an interruption notice", ended, warned)
		}
	})
}

// tasksPerMachine returns the numbers of tasks of all machines in ascending order. They are sorted
// because placement among equal machines depends on the order of their first heartbeats.
func tasksPerMachine(cluster *fake.Cluster) []int {
	return slices.Sorted(maps.Values(cluster.TasksPerMachine()))
}

// The same work is placed equally, or refused with the same text, through YARN and as native jobs.
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
	var nativeResults, yarnResults []string
	scenario.Run(t, o, func(_ *testing.T, cluster *fake.Cluster) {
		for i, s := range steps {
			j := scenario.Job(i+1, func(j *wire.Job) {
				j.Tasks, j.CPUs, j.GPUs, j.MemoryGB, j.EstimateS = s.n, s.cpus, s.gpu, s.memGB, 60
				j.Class, j.Image, j.ImageGB, j.CheckpointS, j.SaveS = "yarn", "yarn", 0, 1e6, 3
			})
			cluster.RegisterJob(j)
			status, text := cluster.SubmitRefused(0, j)
			time.Sleep(5 * time.Second)
			if status != http.StatusUnprocessableEntity {
				text = ""
			}
			nativeResults = append(nativeResults, fmt.Sprint(text, tasksPerMachine(cluster)))
		}
	})
	runScenario(t, o, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		_, master := user.startApplication()
		defer master.Close()
		for i, s := range steps {
			// Each step has its own master, so that a refusal does not affect other steps.
			_, master := user.startApplication()
			defer master.Close()
			master.Request(client.ContainerRequest{Priority: int32(i), ResourceName: "*", RelaxLocality: true, VCores: int32(s.cpus), MemoryMB: int64(s.memGB * 1024), GPUs: int64(s.gpu), GPUName: "yarn.io/gpu"}, s.n)
			text := ""
			for range 5 {
				update, err := master.Heartbeat(t.Context())
				var e *ywire.Error
				if errors.As(err, &e) {
					text = e.Text
				} else if len(update.Allocated) > 0 {
					if _, err := master.Start(t.Context(), launchContext, update.Allocated...); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Second)
			}
			yarnResults = append(yarnResults, fmt.Sprint(text, tasksPerMachine(cluster)))
		}
	})
	for i := range steps {
		if nativeResults[i] != yarnResults[i] {
			t.Errorf("step %d: native %s, YARN %s", i, nativeResults[i], yarnResults[i])
		}
	}
}

// With strict locality, only the named nodes and racks are used. A node label selects its zone. No
// container is allocated on a blacklisted node.
func TestLocalityAndBlacklists(t *testing.T) {
	runScenario(t, fake.Options{Machines: 6, Capacity: 6}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		_, master := user.startApplication()
		defer master.Close()
		node := cluster.Cloud.Machines()[3]
		strict := func(prio int32, name string) client.ContainerRequest {
			return client.ContainerRequest{Priority: prio, ResourceName: name, MemoryMB: 1024, VCores: 1}
		}
		master.Request(strict(1, node), 2)
		user.runMaster(master, 5*time.Second) // first, while the node still has room
		master.Request(strict(2, "/b"), 4)
		labelled := smallContainer(3)
		labelled.NodeLabel = "zone-b"
		master.Request(labelled, 2)
		master.Request(strict(4, "host-999999"), 1) // an unknown node: the request stays pending and blocks no other
		user.runMaster(master, 15*time.Second)
		got := map[int32]int{}
		for _, c := range master.Containers() {
			at, prio := c.GetNodeId().GetHost(), c.GetPriority().GetPriority()
			got[prio]++
			if prio == 1 && at != node || prio != 1 && cluster.ZoneOf(at) != "b" {
				t.Errorf("priority %d is on %s in zone %s", prio, at, cluster.ZoneOf(at))
			}
		}
		if got[1] != 2 || got[2] != 4 || got[3] != 2 || len(got) != 3 {
			t.Errorf("allocated by priority: %v", got)
		}
		master.Request(strict(4, "host-999999"), 0)
		master.UpdateBlacklist([]string{node}, nil)
		master.Request(smallContainer(5), 14)
		user.runMaster(master, 15*time.Second)
		for _, c := range master.Containers() {
			if c.GetPriority().GetPriority() == 5 && c.GetNodeId().GetHost() == node {
				t.Errorf("a container is on %s, which is blacklisted", node)
			}
		}
		if got := len(master.Containers()); got < 20 {
			t.Errorf("got %d containers besides a blacklisted node, want at least 20", got)
		}
		bad := labelled
		bad.NodeLabel = "nowhere"
		master.Request(bad, 1)
		if _, err := master.Heartbeat(t.Context()); !ywire.IsClass(err, ywire.ClassBadRequest) {
			t.Errorf("unknown label: got error %v, want one of ClassBadRequest", err)
		}
	})
}
