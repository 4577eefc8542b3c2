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

// A client that is gone leaves nothing behind: containers end when its time is
// over, those that it never started as well, and none runs twice.
func TestAMasterThatIsGoneLeavesNoOrphan(t *testing.T) {
	yarnWorld(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
		id, m := y.app()
		m.Request(small(1), 4)
		y.run(m, 12*time.Second)
		m.Request(small(2), 3)
		for range 4 { // allocated and told, and never started
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
		if st := y.state(id); st != pb.YarnApplicationStateProto_FAILED {
			t.Errorf("it is %v", st)
		}
		if n := w.Running(); n != 0 || w.Started() != 4 {
			t.Errorf("%d still run, %d were started", n, w.Started())
		}
		noRecords(t, w)
	})
}

// Whatever falls, masters find their session again, containers go on, and no id
// comes twice.
func TestMastersOutliveWhatFalls(t *testing.T) {
	for _, c := range []struct {
		name string
		fall func(w *fake.Cluster)
	}{
		{"the leader dies", func(w *fake.Cluster) { l := w.Leader(); w.KillNode(l); time.Sleep(8 * time.Second); w.StartNode(l) }},
		{"all nodes die", func(w *fake.Cluster) {
			w.KillAll()
			time.Sleep(5 * time.Second)
			w.StartAll()
		}},
		{"the state service is out", func(w *fake.Cluster) { w.Store.SetOutage(true); time.Sleep(30 * time.Second); w.Store.SetOutage(false) }},
		{"a node stands still", func(w *fake.Cluster) {
			l := w.Leader()
			w.PauseNode(l)
			time.Sleep(20 * time.Second)
			w.ResumeNode(l)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			yarnWorld(t, fake.Options{Machines: 4, ReportIntervalS: 5, LeaseS: 27}, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
				id, m := y.app()
				defer m.Close()
				m.Request(small(1), 5)
				y.run(m, 14*time.Second)
				m.Request(small(2), 30) // more than there is room for: it stays asked for
				y.run(m, 3*time.Second)
				before := w.Started()
				var wg sync.WaitGroup
				wg.Add(1)
				go func() { defer wg.Done(); c.fall(w) }()
				ends, _ := y.run(m, 32*time.Second)
				wg.Wait()
				if n := len(ends) - min(1, ends[yarn.ExitSuccess]); n != 0 || before < 5 {
					t.Errorf("ended amid the fall: %v; %d were started before", ends, before)
				}
				more, _ := y.run(m, 200*time.Second)
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
				other, _, err := y.c.NewApplication(t.Context())
				if err != nil || other.GetId() == id.GetId() {
					t.Errorf("application %v after %v, %v", other, id, err)
				}
			})
		})
	}
}

// Keys that can't be read come back from a node that remembers them when the next
// leader takes over. Where nobody does they are made anew: masters of before are
// refused, and applications that come get ids that nobody had.
func TestKeysThatCannotBeReadAreMended(t *testing.T) {
	yarnWorld(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
		id, m := y.app()
		y.run(m, 5*time.Second)
		for i := range w.Nodes() {
			w.PollState(w.NodeAddr(i), "wk-000001") // by which each node reads what there is
		}
		w.Store.Corrupt("w/y/keys")
		l := w.Leader()
		w.KillNode(l)
		time.Sleep(12 * time.Second)
		w.StartNode(l)
		y.run(m, 5*time.Second)
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
			_, _, _ = y.c.NewApplication(t.Context()) // refused for a while
		}
		other, m := y.app()
		defer m.Close()
		if other.GetId() <= id.GetId()+50 || other.GetClusterTimestamp() != id.GetClusterTimestamp() {
			t.Errorf("%v after %v", other, id)
		}
		m.Request(small(1), 2)
		y.run(m, 20*time.Second)
		if len(m.Containers()) == 0 && w.Started() == 0 {
			t.Error("it runs nothing")
		}
	})
}

// A managed application's master runs as a task. When it ends, another attempt
// is begun and the token of the one before is worth nothing; killed, all goes.
func TestAManagedMasterIsLaunchedAgain(t *testing.T) {
	yarnWorld(t, fake.Options{Machines: 3}, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
		id, _, err := y.c.NewApplication(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		sub := &pb.ApplicationSubmissionContextProto{ApplicationId: id, Queue: proto.String("core"), MaxAppAttempts: proto.Int32(2),
			Resource: &pb.ResourceProto{Memory: proto.Int64(1024), VirtualCores: proto.Int32(1)}, AmContainerSpec: launch}
		for range 2 { // whoever submits twice has one application
			if err := y.c.Submit(t.Context(), sub); err != nil {
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
		first := mustLaunch(t, w, task)
		if first.Argv[0] != launch.Command[0] || first.Env["UMBERDEAL_AM_TOKEN_ID"] == "" {
			t.Errorf("its context is %+v", first)
		}
		time.Sleep(65 * time.Second) // the master ends without having registered
		if st := y.state(id); st != pb.YarnApplicationStateProto_ACCEPTED && st != pb.YarnApplicationStateProto_FAILED {
			t.Errorf("it is %v", st)
		}
		time.Sleep(70 * time.Second)
		if st := y.state(id); st != pb.YarnApplicationStateProto_FAILED || w.Started() > 2 {
			t.Errorf("it is %v after %d masters", st, w.Started())
		}
		noRecords(t, w)
	})
}

// Masters and native jobs go on together while nodes are killed, cut off and
// stopped at random: nothing runs twice, nothing is left, the limit holds.
func TestRandomFallsWithBothDoors(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			teams := []config.Team{{Name: "core", CPUsMax: 40}}
			yarnWorld(t, fake.Options{Machines: 6, Capacity: 8, Teams: teams, Seed: seed}, func(t *testing.T, w *fake.Cluster, y *yarnUser) {
				rnd := rand.New(rand.NewPCG(seed, 14))
				var wg sync.WaitGroup
				var ended atomic.Int64
				over := time.Now().Add(150 * time.Second)
				for k := range 3 {
					_, m := y.app()
					wg.Add(1)
					go func() {
						defer wg.Done()
						defer m.Close()
						m.Request(small(int32(k)), 8)
						ends, _ := y.run(m, time.Until(over)-time.Duration(k)*10*time.Second)
						ended.Add(int64(ends[yarn.ExitSuccess]))
						if k > 0 { // one master just goes away
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
				noRecords(t, w)
			})
		})
	}
}
