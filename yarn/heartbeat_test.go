// Tests of repeated heartbeats.

package yarn_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/yarn/client"
	ywire "github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// A heartbeat with the response id of the previous heartbeat gets the same response again, also on
// another connection. A heartbeat with an older id gets AM_RESYNC.
func TestLostResponseIsRepeatedAndOldResponseIDResyncs(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		id, master := user.startApplication()
		master.Close()
		report, err := user.client.Report(t.Context(), id)
		if err != nil {
			t.Fatal(err)
		}
		cfg := user.cfg
		cfg.Addrs = cfg.Addrs[:1]
		dial := func() *ywire.Conn {
			c, err := ywire.Dial(t.Context(), cfg.Dial, cfg.Addrs[0], client.ProtoApplicationMaster, "ann", report.GetAmRmToken())
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		a, b := dial(), dial()
		defer a.Close()
		defer b.Close()
		var registered pb.RegisterApplicationMasterResponseProto
		if err := a.Call(t.Context(), "registerApplicationMaster", &pb.RegisterApplicationMasterRequestProto{}, &registered); err != nil {
			t.Fatal(err)
		}
		heartbeat := func(c *ywire.Conn, id int32, asks ...*pb.ResourceRequestProto) *pb.AllocateResponseProto {
			var out pb.AllocateResponseProto
			if err := c.Call(t.Context(), "allocate", &pb.AllocateRequestProto{ResponseId: &id, Ask: asks}, &out); err != nil {
				t.Fatal(err)
			}
			return &out
		}
		ask := &pb.ResourceRequestProto{Priority: &pb.PriorityProto{Priority: proto.Int32(1)}, ResourceName: proto.String("*"), NumContainers: proto.Int32(3),
			Capability: &pb.ResourceProto{Memory: proto.Int64(1024), VirtualCores: proto.Int32(1)}}
		first := heartbeat(a, 0, ask)
		again := heartbeat(b, 0, ask)
		if !proto.Equal(first, again) {
			t.Errorf("repeated heartbeat: got %v, want %v", again, first)
		}
		time.Sleep(3 * time.Second)
		second := heartbeat(a, 1)
		if n := len(first.GetAllocatedContainers()) + len(second.GetAllocatedContainers()); n != 3 || !proto.Equal(second, heartbeat(b, 1)) {
			t.Errorf("got %d allocated containers, want 3; or the repeated heartbeat got another response", n)
		}
		if out := heartbeat(b, 0); out.GetAMCommand() != pb.AMCommandProto_AM_RESYNC {
			t.Errorf("old response id: got %v, want AM_RESYNC", out)
		}
		if out := heartbeat(a, 2); len(out.GetAllocatedContainers()) != 0 || out.AMCommand != nil {
			t.Errorf("next heartbeat: got %v, want no containers and no command", out)
		}
		if len(cluster.Store.Keys("w/j/")) != 1 {
			t.Error("a repeated request was reserved twice")
		}
		var o pb.FinishApplicationMasterResponseProto
		if err := a.Call(t.Context(), "startContainers", &pb.StartContainersRequestProto{}, &o); !ywire.IsClass(err, ywire.ClassNoMethod) {
			t.Errorf("method of another protocol: got error %v, want one of ClassNoMethod", err)
		}
	})
}

// The key-value store refuses requests while heartbeats are served. So a heartbeat can fail after
// its container requests are committed, and the master repeats it. The requests must be served
// once, and all containers must be reported.
func TestRepeatedRequestIsServedOnce(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		_, master := user.startApplication()
		defer master.Close()
		for i := range 6 {
			master.Request(smallContainer(int32(i)), 2)
			go func() {
				time.Sleep(time.Duration(i) * 9 * time.Millisecond)
				for k := range cluster.Nodes() {
					cluster.Store.RefuseNode(cluster.Nodes()[k])
				}
				time.Sleep(1500 * time.Millisecond)
				for k := range cluster.Nodes() {
					cluster.Store.AcceptNode(cluster.Nodes()[k])
				}
			}()
			user.runMaster(master, 8*time.Second)
		}
		user.runMaster(master, 10*time.Second)
		if n := len(master.Containers()); n != 12 || cluster.Started() != 12 || master.Pending() != 0 {
			t.Errorf("got %d allocated, %d started, %d pending; want 12, 12 and 0", n, cluster.Started(), master.Pending())
		}
	})
}
