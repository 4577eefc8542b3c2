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

// A heartbeat with the response id of the last one gets the same response again, also on
// another connection; one with an older id is answered AM_RESYNC.
func TestLostResponseIsRepeatedAndOldResponseIDResyncs(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		id, m := user.startApplication()
		m.Close()
		r, err := user.client.Report(t.Context(), id)
		if err != nil {
			t.Fatal(err)
		}
		cfg := user.cfg
		cfg.Addrs = cfg.Addrs[:1]
		raw := func() *ywire.Conn {
			c, err := ywire.Dial(t.Context(), cfg.Dial, cfg.Addrs[0], client.ProtoApplicationMaster, "ann", r.GetAmRmToken())
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		a, b := raw(), raw()
		defer a.Close()
		defer b.Close()
		var reg pb.RegisterApplicationMasterResponseProto
		if err := a.Call(t.Context(), "registerApplicationMaster", &pb.RegisterApplicationMasterRequestProto{}, &reg); err != nil {
			t.Fatal(err)
		}
		beat := func(c *ywire.Conn, id int32, asks ...*pb.ResourceRequestProto) *pb.AllocateResponseProto {
			var out pb.AllocateResponseProto
			if err := c.Call(t.Context(), "allocate", &pb.AllocateRequestProto{ResponseId: &id, Ask: asks}, &out); err != nil {
				t.Fatal(err)
			}
			return &out
		}
		ask := &pb.ResourceRequestProto{Priority: &pb.PriorityProto{Priority: proto.Int32(1)}, ResourceName: proto.String("*"), NumContainers: proto.Int32(3),
			Capability: &pb.ResourceProto{Memory: proto.Int64(1024), VirtualCores: proto.Int32(1)}}
		first := beat(a, 0, ask)
		again := beat(b, 0, ask)
		if !proto.Equal(first, again) {
			t.Errorf("first %v, and then %v", first, again)
		}
		time.Sleep(3 * time.Second)
		second := beat(a, 1)
		if n := len(first.GetAllocatedContainers()) + len(second.GetAllocatedContainers()); n != 3 || !proto.Equal(second, beat(b, 1)) {
			t.Errorf("%d allocated, or others when it was asked again", n)
		}
		if out := beat(b, 0); out.GetAMCommand() != pb.AMCommandProto_AM_RESYNC {
			t.Errorf("an old id is answered %v", out)
		}
		if out := beat(a, 2); len(out.GetAllocatedContainers()) != 0 || out.AMCommand != nil {
			t.Errorf("the next: %v", out)
		}
		if len(w.Store.Keys("w/j/")) != 1 {
			t.Error("a repeated ask was reserved twice")
		}
		var o pb.FinishApplicationMasterResponseProto
		if err := a.Call(t.Context(), "startContainers", &pb.StartContainersRequestProto{}, &o); !ywire.IsClass(err, ywire.ClassNoMethod) {
			t.Errorf("another protocol's method: %v", err)
		}
	})
}

// The key-value store refuses requests while heartbeats are served, so that heartbeats are repeated
// of which the container requests were committed already: these are served once, and all
// containers are reported.
func TestRepeatedRequestIsServedOnce(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		_, m := user.startApplication()
		defer m.Close()
		for i := range 6 {
			m.Request(smallContainer(int32(i)), 2)
			go func() {
				time.Sleep(time.Duration(i) * 9 * time.Millisecond)
				for k := range w.Nodes() {
					w.Store.RefuseNode(w.Nodes()[k])
				}
				time.Sleep(1500 * time.Millisecond)
				for k := range w.Nodes() {
					w.Store.AcceptNode(w.Nodes()[k])
				}
			}()
			user.runMaster(m, 8*time.Second)
		}
		user.runMaster(m, 10*time.Second)
		if n := len(m.Containers()); n != 12 || w.Started() != 12 || m.Pending() != 0 {
			t.Errorf("%d had and %d started of 12, %d still wanted", n, w.Started(), m.Pending())
		}
	})
}
