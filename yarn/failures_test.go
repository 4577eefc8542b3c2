package yarn_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// An application whose master sends no heartbeat for master_s fails: all its containers end,
// also those that were never started, and none runs twice.
func TestLostMasterLeavesNoContainers(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		id, m := user.startApplication()
		m.Request(smallContainer(1), 4)
		user.runMaster(m, 12*time.Second)
		m.Request(smallContainer(2), 3)
		for range 4 { // allocated and never started
			if _, err := m.Heartbeat(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		m.Close()
		if w.Started() != 4 || len(m.Containers()) != 7 {
			t.Fatalf("%d started, %d had", w.Started(), len(m.Containers()))
		}
		time.Sleep(70 * time.Second)
		if st := user.mustReadState(id); st != pb.YarnApplicationStateProto_FAILED {
			t.Errorf("it is %v", st)
		}
		if n := w.Running(); n != 0 || w.Started() != 4 {
			t.Errorf("%d still run, %d were started", n, w.Started())
		}
		assertNoRecords(t, w)
	})
}

// While the leader, all controllers or the key-value store fail, masters register again,
// containers keep running, and no id is used twice.
func TestMastersSurviveFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(w *fake.Cluster)
	}{
		{"leader killed", func(w *fake.Cluster) { l := w.Leader(); w.KillNode(l); time.Sleep(8 * time.Second); w.StartNode(l) }},
		{"all controllers killed", func(w *fake.Cluster) {
			w.KillAll()
			time.Sleep(5 * time.Second)
			w.StartAll()
		}},
		{"key-value store outage", func(w *fake.Cluster) { w.Store.SetOutage(true); time.Sleep(30 * time.Second); w.Store.SetOutage(false) }},
		{"leader paused", func(w *fake.Cluster) {
			l := w.Leader()
			w.PauseNode(l)
			time.Sleep(20 * time.Second)
			w.ResumeNode(l)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 4, HeartbeatIntervalS: 5, LeaseS: 27}, func(t *testing.T, w *fake.Cluster, user *testClient) {
				id, m := user.startApplication()
				defer m.Close()
				m.Request(smallContainer(1), 5)
				user.runMaster(m, 14*time.Second)
				m.Request(smallContainer(2), 30) // more than fit: the rest stays pending
				user.runMaster(m, 3*time.Second)
				before := w.Started()
				var wg sync.WaitGroup
				wg.Add(1)
				go func() { defer wg.Done(); c.fail(w) }()
				ends, _ := user.runMaster(m, 32*time.Second)
				wg.Wait()
				if n := len(ends) - min(1, ends[yarn.ExitSuccess]); n != 0 || before < 5 {
					t.Errorf("ended amid the fall: %v; %d were started before", ends, before)
				}
				more, _ := user.runMaster(m, 200*time.Second)
				for k, n := range more {
					ends[k] += n
				}
				if ends[yarn.ExitSuccess] < 20 || len(ends) != 1 {
					t.Errorf("ended %v", ends)
				}
				seen := map[int64]bool{}
				for _, ct := range m.Containers() {
					if seen[ct.GetId().GetId()] {
						t.Errorf("id %d twice", ct.GetId().GetId())
					}
					seen[ct.GetId().GetId()] = true
				}
				other, _, err := user.client.NewApplication(t.Context())
				if err != nil || other.GetId() == id.GetId() {
					t.Errorf("application %v after %v, %v", other, id, err)
				}
			})
		})
	}
}

// An unreadable keyring is restored from a controller's copy when the next leader takes over. If
// no controller has one, it is created anew: masters that had registered are refused, and new
// applications get ids that were never used.
func TestUnreadableKeyringIsRepaired(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		id, m := user.startApplication()
		user.runMaster(m, 5*time.Second)
		for i := range w.Nodes() {
			w.PollState(w.NodeAddr(i), "wk-000001") // which makes each controller read the records
		}
		w.Store.Corrupt("w/y/keys")
		l := w.Leader()
		w.KillNode(l)
		time.Sleep(12 * time.Second)
		w.StartNode(l)
		user.runMaster(m, 5*time.Second)
		m.Close()
		for i := range w.Nodes() {
			w.KillNode(i)
		}
		w.Store.Corrupt("w/y/keys")
		for i := range w.Nodes() {
			w.StartNode(i)
		}
		for range 4 {
			time.Sleep(10 * time.Second)
			_, _, _ = user.client.NewApplication(t.Context()) // refused for a while
		}
		other, m := user.startApplication()
		defer m.Close()
		if other.GetId() <= id.GetId()+50 || other.GetClusterTimestamp() != id.GetClusterTimestamp() {
			t.Errorf("%v after %v", other, id)
		}
		m.Request(smallContainer(1), 2)
		user.runMaster(m, 20*time.Second)
		if len(m.Containers()) == 0 && w.Started() == 0 {
			t.Error("it runs nothing")
		}
	})
}

// A managed application's master runs as a task. When it ends without having registered, it is
// launched once more, and after the last attempt the application fails.
func TestManagedMasterIsRestarted(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		id, _, err := user.client.NewApplication(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		sub := &pb.ApplicationSubmissionContextProto{ApplicationId: id, Queue: proto.String("core"), MaxAppAttempts: proto.Int32(2),
			Resource: &pb.ResourceProto{Memory: proto.Int64(1024), VirtualCores: proto.Int32(1)}, AmContainerSpec: launchContext}
		for range 2 { // a repeated submission is the same application
			if err := user.client.Submit(t.Context(), sub); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
		if w.Started() != 1 {
			t.Fatalf("%d masters", w.Started())
		}
		var task string
		for _, k := range w.Store.Keys("w/j/") {
			task = strings.TrimPrefix(k, "w/j/") + "/0"
		}
		first := mustReadLaunchContext(t, w, task)
		if first.Argv[0] != launchContext.Command[0] || first.Env["UMBERDEAL_AM_TOKEN_ID"] == "" {
			t.Errorf("its context is %+v", first)
		}
		time.Sleep(65 * time.Second) // the master ends without having registered
		if st := user.mustReadState(id); st != pb.YarnApplicationStateProto_ACCEPTED && st != pb.YarnApplicationStateProto_FAILED {
			t.Errorf("it is %v", st)
		}
		time.Sleep(70 * time.Second)
		if st := user.mustReadState(id); st != pb.YarnApplicationStateProto_FAILED || w.Started() > 2 {
			t.Errorf("it is %v after %d masters", st, w.Started())
		}
		assertNoRecords(t, w)
	})
}

// Masters and native jobs run while controllers are killed, paused and partitioned and the
// key-value store fails at random: no container runs twice, and none is left at the end.
func TestRandomFailuresWithYARNAndNativeJobs(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			teams := []config.Team{{Name: "core", CPUsMax: 40}}
			runScenario(t, fake.Options{Machines: 6, Capacity: 8, Teams: teams, Seed: seed}, func(t *testing.T, w *fake.Cluster, user *testClient) {
				rnd := rand.New(rand.NewPCG(seed, 14))
				var wg sync.WaitGroup
				var ended atomic.Int64
				over := time.Now().Add(150 * time.Second)
				for k := range 3 {
					_, m := user.startApplication()
					wg.Add(1)
					go func() {
						defer wg.Done()
						defer m.Close()
						m.Request(smallContainer(int32(k)), 8)
						ends, _ := user.runMaster(m, time.Until(over)-time.Duration(k)*10*time.Second)
						ended.Add(int64(ends[yarn.ExitSuccess]))
						if k > 0 { // the first master is lost
							if err := m.Finish(t.Context(), pb.FinalApplicationStatusProto_APP_SUCCEEDED, ""); err != nil {
								t.Errorf("finish: %v", err)
							}
						}
					}()
				}
				scenario.MustSubmit(t, w, scenario.Job(1, func(j *wire.Job) { j.Tasks, j.EstimateS = 12, 20 }))
				for time.Until(over) > 25*time.Second {
					n := rnd.IntN(3)
					switch rnd.IntN(4) {
					case 0:
						w.KillNode(n)
						time.Sleep(time.Duration(1+rnd.IntN(6)) * time.Second)
						w.StartNode(n)
					case 1:
						w.PauseNode(n)
						time.Sleep(time.Duration(1+rnd.IntN(9)) * time.Second)
						w.ResumeNode(n)
					case 2:
						w.PartitionNode(n, "state", "am")
						time.Sleep(time.Duration(1+rnd.IntN(9)) * time.Second)
						w.HealNode(n, "state", "am")
					case 3:
						w.Store.SetOutage(true)
						time.Sleep(time.Duration(1+rnd.IntN(5)) * time.Second)
						w.Store.SetOutage(false)
					}
					time.Sleep(time.Duration(1+rnd.IntN(8)) * time.Second)
				}
				wg.Wait()
				if n := ended.Load(); n < 8 {
					t.Errorf("only %d containers completed", n)
				}
				scenario.MustReach(t, w, "wk-000001", wire.JobDone, 2*time.Minute)
				time.Sleep(80 * time.Second)
				if n := w.Running(); n != 0 {
					t.Errorf("%d containers are left", n)
				}
				assertNoRecords(t, w)
			})
		})
	}
}
