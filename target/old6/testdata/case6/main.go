// Command case6 lets an application's master change between controllers that stand still or crash, until
// it returns to the first one, and checks that a request that this one answers is served.
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
)

const (
	stall    = 6 * time.Second // how long a controller stands still; the client waits for 5 s
	restartS = 5               // a controller is back about 5 s after an end
	waitS    = 90              // the rule's bound, from the end of the troubles
)

const yarnSettings = `
master_s = 60.0
start_s = 60.0
estimate_s = 300.0
[[queues]]
path = "root.core"
team = "core"
`

func main() {
	atelier := wire.MachineType{Name: "atelier-32", CPUs: 32, MemoryGB: 64, CacheGB: 25, FetchGBPS: 0.25, Price: 2.16, SpotPrice: 0.77, BootS: 20, Zones: fake.Zones}
	s, err := stage.Start(os.Args[1], stage.Options{
		Fake:  fake.Options{Nodes: 3, Machines: 2, Types: []wire.MachineType{atelier}, StateRPS: 70, StateWPS: 25},
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
	var serving atomic.Value // address of the controller that answers the master's heartbeats
	var starting atomic.Bool // a connection for starting containers may be opened
	dial := cfg.Dial
	cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err == nil && !starting.Load() {
			serving.Store(addr)
		}
		return conn, err
	}
	_, master := s.SubmitUnmanaged(ctx, cfg, "core")
	m := &player{s: s, master: master, at: func() int { return slices.Index(s.YARN, serving.Load().(string)) }}

	// One container runs all the time, so that the machines are kept.
	first := m.at()
	master.Request(client.ContainerRequest{Priority: 2, ResourceName: "*", RelaxLocality: true, MemoryMB: 1024, VCores: 1}, 1)
	for end := time.Now().Add(10 * time.Second); m.allocated == 0; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			s.Exit(stage.Failed, "the first container was not allocated")
		}
		m.beat()
	}
	starting.Store(true)
	_, err = master.Start(ctx, stage.LaunchContext, master.Containers()...)
	starting.Store(false)
	s.Check("start", err)
	m.allocated = 0
	answered := m.answered
	m.standStill()
	m.beat() // is answered by the second controller
	time.Sleep(stall - 5*time.Second + 500*time.Millisecond)
	m.standStill()
	m.beat() // is answered by the third one
	for m.answered < answered {
		m.beat()
	}
	time.Sleep(stall - 5*time.Second + 500*time.Millisecond)
	if stage.Trouble() {
		node := m.at()
		s.Kill(node)
		time.AfterFunc(restartS*time.Second, func() { _ = s.StartNode(node) })
	}
	master.Request(client.ContainerRequest{Priority: 1, ResourceName: "*", RelaxLocality: true, MemoryMB: 512, VCores: 1}, 1)
	s.Note("the master asks for a second container")
	m.beat()
	if m.at() != first {
		s.Exit(stage.Failed, "the master is not back at the first controller")
	}
	over := time.Now()
	if stage.Trouble() {
		over = over.Add(restartS * time.Second)
	}
	for m.allocated == 0 && time.Since(over) < (waitS*1000+500)*time.Millisecond {
		time.Sleep(time.Second)
		m.beat()
	}
	if m.allocated > 0 {
		s.Exit(stage.Held, "the request was served")
	}
	s.Note("machines %v, tasks on them %v", s.Cluster.Cloud.Machines(), s.Cluster.TasksPerMachine())
	s.Exit(stage.Broken, fmt.Sprintf("the request was answered and is not served for more than %d s after the troubles, while machines have room", waitS))
}

// player plays an application's master.
type player struct {
	s         *stage.Stage
	master    *client.ApplicationMaster
	at        func() int
	allocated int
	answered  int // heartbeats since the last registration
	last      string
}

func (m *player) beat() {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	update, err := m.master.Heartbeat(ctx)
	m.allocated += len(update.Allocated)
	m.answered++
	if update.Resynced {
		m.answered = 1
	}
	line := fmt.Sprintf("heartbeat answered by node %d: allocated %d, registered anew %v, err %v", m.at(), len(update.Allocated), update.Resynced, err)
	if line != m.last {
		m.s.Note("%s", line)
		m.last = line
	}
}

// standStill makes the controller that serves the master stand still for a while.
func (m *player) standStill() {
	if !stage.Trouble() {
		return
	}
	node := m.at()
	m.s.Pause(node)
	time.AfterFunc(stall, func() { m.s.Resume(node) })
}
