// Command case6 kills the controller that serves the master of a long-running application, and
// checks that the master is answered again and that its application does not fail.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/review/testdata/stage"
	"github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/client"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

const (
	asks      = 360 // containers that the master has asked for one after another, and no longer needs
	perBeat   = 20
	enough    = 335 // of these must be over before the disruption
	kept      = 2   // containers that run all the time
	masterS   = 60
	restartS  = 5 // a controller is back about 5 s after an end
	observeS  = 28
	setUpTime = 82 * time.Second
)

var yarnSettings = fmt.Sprintf(`
master_s = %d.0
start_s = 60.0
estimate_s = 300.0
[[queues]]
path = "root.core"
team = "core"
`, masterS)

func main() {
	atelier := wire.MachineType{Name: "atelier-32", CPUs: 32, MemoryGB: 64, CacheGB: 25, FetchGBPS: 0.25, Price: 2.16, SpotPrice: 0.77, BootS: 20, Zones: fake.Zones}
	s, err := stage.Start(os.Args[1], stage.Options{
		Fake:  fake.Options{Nodes: 3, Machines: 1, Capacity: 1, Types: []wire.MachineType{atelier}, StateRPS: 70, StateWPS: 25},
		State: config.StateLimits{RPS: 70, WriteRPS: 25, ValueKB: 16, TxnOps: 12},
		MemMB: 98,
		YARN:  yarnSettings,
	})
	if err != nil {
		fmt.Println(err)
		os.Exit(stage.Failed)
	}
	ctx := context.Background()
	s.AwaitReady(20 * time.Second)
	cfg := s.ClientConfig()
	var serving atomic.Value // address of the controller that the master is connected to
	dial := cfg.Dial
	cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err == nil {
			serving.Store(addr)
		}
		return conn, err
	}
	id, master := s.SubmitUnmanaged(ctx, cfg, "core")
	node := slices.Index(s.YARN, serving.Load().(string))
	startContainers(ctx, s, master)
	askAndRelease(ctx, s, master)

	if stage.Trouble() {
		s.Note("node %d, which serves the master, crashes", node)
		s.Kill(node)
		time.AfterFunc(restartS*time.Second, func() { _ = s.StartNode(node) })
	}
	// The master needs one more container of a size for which there is room.
	master.Request(client.ContainerRequest{Priority: 200000, ResourceName: "*", RelaxLocality: true, MemoryMB: 512, VCores: 1}, 1)
	answered, allocated, shutdown := 0, 0, false
	for end := time.Now().Add(observeS * time.Second); time.Now().Before(end) && !shutdown; time.Sleep(time.Second) {
		callCtx, cancel := context.WithDeadline(ctx, end)
		update, err := master.Heartbeat(callCtx)
		cancel()
		if err == nil {
			answered++
		}
		allocated += len(update.Allocated)
		shutdown = update.Shutdown
		s.Note("heartbeat: allocated %d, shutdown %v, err %v", len(update.Allocated), update.Shutdown, err)
	}
	s.Note("answered heartbeats %d, new containers %d, the application is %v, %d containers on machines", answered, allocated, reportedState(ctx, s, id), s.Cluster.Running())
	switch {
	case shutdown:
		s.Exit(stage.Broken, "the accepted application was ended although its master called all the time")
	case answered == 0:
		s.Exit(stage.Broken, fmt.Sprintf("no heartbeat of the master was answered for %d s, although two controllers served all the time", observeS))
	}
	s.Exit(stage.Held, "the master was answered")
}

// startContainers starts the containers that the application keeps.
func startContainers(ctx context.Context, s *stage.Stage, master *client.ApplicationMaster) {
	master.Request(client.ContainerRequest{Priority: 100000, ResourceName: "*", RelaxLocality: true, MemoryMB: 512, VCores: 1}, kept)
	for s.Cluster.Running() < kept {
		if s.Since() > 20*time.Second {
			s.Exit(stage.Failed, "no container runs")
		}
		callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
		update, err := master.Heartbeat(callCtx)
		if err == nil && len(update.Allocated) > 0 {
			_, err = master.Start(callCtx, stage.LaunchContext, update.Allocated...)
		}
		cancel()
		s.Check("start", err)
		time.Sleep(500 * time.Millisecond)
	}
	s.Note("%d containers run", kept)
}

// reportedState returns the state of an application as its user is told.
func reportedState(ctx context.Context, s *stage.Stage, id *pb.ApplicationIdProto) pb.YarnApplicationStateProto {
	c := client.New(s.ClientConfig())
	defer c.Close()
	callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	report, err := c.Report(callCtx, id)
	if err != nil {
		s.Note("report: %v", err)
	}
	return report.GetYarnApplicationState()
}

// askAndRelease asks for containers and gives the requests up, as a master does whose input grows
// and shrinks.
func askAndRelease(ctx context.Context, s *stage.Stage, master *client.ApplicationMaster) {
	asked := 0
	for s.Since() < setUpTime && asked < asks {
		var requests []client.ContainerRequest
		for i := 0; i < perBeat; i++ {
			asked++
			// There is no room for these while the kept containers run.
			requests = append(requests, client.ContainerRequest{Priority: int32(asked), ResourceName: "*", RelaxLocality: true, MemoryMB: 512, VCores: 32})
		}
		for _, r := range requests {
			master.Request(r, 1)
		}
		beat(ctx, s, master)
		for _, r := range requests {
			master.Request(r, 0)
		}
		beat(ctx, s, master)
	}
	open := func() int { return len(s.Cluster.Store.Keys("w/j/wk-8")) - 1 } // one has the running containers
	for s.Since() < setUpTime && open() > 0 {
		beat(ctx, s, master)
		time.Sleep(500 * time.Millisecond)
	}
	s.Note("%d requests were made and given up; %d of them are not over yet", asked, open())
	if asked-open() < enough {
		s.Exit(stage.Failed, "too few requests were made in time")
	}
}

func beat(ctx context.Context, s *stage.Stage, master *client.ApplicationMaster) {
	callCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	update, err := master.Heartbeat(callCtx)
	if err != nil {
		s.Note("heartbeat: %v", err)
	}
	for _, c := range update.Allocated {
		master.Release(c.GetId())
	}
}
