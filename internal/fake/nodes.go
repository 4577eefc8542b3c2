package fake

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/controller"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/yarn"
)

// This file starts, stops and pauses the controllers.

// node is a controller.
type node struct {
	name string
	addr string // where it serves users and workers
	cfg  *config.Settings

	// Guarded by the cluster's lock: copies of heartbeats are sent by goroutines of their own.
	stop        context.CancelFunc // nil while no process runs
	done        chan struct{}      // closed once the process has ended
	killed      *atomic.Bool       // its process was ended on purpose
	downSince   time.Time          // when its power was cut; zero: it is up
	olderSchema bool               // its next process reads records of the schema version before
}

// UpgradeSchema makes a node's next process read records of the newest schema version.
func (w *Cluster) UpgradeSchema(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[i].olderSchema = false
}

// StartNode starts a controller.
func (w *Cluster) StartNode(i int) {
	n := w.nodes[i]
	if w.nodeRuns(n) {
		return
	}
	w.Network.PowerOn(n.name)
	gated := call.WithGate(w.ctx, func(ctx context.Context) { w.Network.awaitResume(n.name, ctx.Done()) })
	ctx, stop := context.WithCancel(gated)
	done, killed := make(chan struct{}), &atomic.Bool{}
	w.mu.Lock()
	n.downSince, n.stop, n.done, n.killed = time.Time{}, stop, done, killed
	olderSchema := n.olderSchema
	w.mu.Unlock()
	tuning := config.DefaultTuning()
	tuning.Launches.WakeWorkers = !w.noWakeUps
	tuning.JobStore.SharedPages = !olderSchema
	if w.metrics {
		tuning.Metrics.Listen = n.name + ":9464"
	}
	c := controller.New(n.cfg, tuning, w.log.With("node", n.name),
		controller.Network{Dial: w.Network.Dial(n.name), Listen: w.Network.Listen})
	if w.yarn != "" {
		s, err := yarn.ParseSettings(fmt.Sprintf("listen = %q\nrest = %q\n%s", n.name+":8032", n.name+":8088", w.yarn), n.cfg)
		if err != nil {
			panic(err) // a cluster is made wrong
		}
		c.OpenYARN(s)
	}
	w.wg.Go(func() {
		defer close(done)
		if err := c.Run(ctx); err != nil && !killed.Load() {
			w.violations.add("node %s ended: %v", n.name, err)
		}
	})
}

// KillNode ends a controller as if its power were cut.
func (w *Cluster) KillNode(i int) {
	n := w.nodes[i]
	if !w.nodeRuns(n) {
		return
	}
	w.mu.Lock()
	n.killed.Store(true)
	n.downSince = time.Now()
	stop, done := n.stop, n.done
	w.mu.Unlock()
	w.Network.PowerOff(n.name)
	w.Network.Resume(n.name)
	stop()
	<-done
	w.mu.Lock()
	n.stop = nil
	w.mu.Unlock()
}

// nodeRuns reports whether a controller has been started and not killed since.
func (w *Cluster) nodeRuns(n *node) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return n.stop != nil
}

// KillAll ends every controller.
func (w *Cluster) KillAll() {
	for i := range w.nodes {
		w.KillNode(i)
	}
}

// StartAll starts every controller that is not up.
func (w *Cluster) StartAll() {
	for i := range w.nodes {
		w.StartNode(i)
	}
}

// PauseNode makes a controller's process pause while its clocks run on.
func (w *Cluster) PauseNode(i int) { w.Network.Pause(w.nodes[i].name) }

// ResumeNode ends what PauseNode began.
func (w *Cluster) ResumeNode(i int) { w.Network.Resume(w.nodes[i].name) }

// Nodes are the controllers' names.
func (w *Cluster) Nodes() []string {
	var out []string
	for _, n := range w.nodes {
		out = append(out, n.name)
	}
	return out
}

// Leader is the index of the node whose key is in the key-value store, or -1.
func (w *Cluster) Leader() int {
	w.Store.mu.Lock()
	leader := w.Store.leaderNode()
	w.Store.mu.Unlock()
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == leader })
}

// PowerCycleNode takes a node's power away and gives it back after a while.
func (w *Cluster) PowerCycleNode(i int, after time.Duration) {
	w.KillNode(i)
	time.Sleep(after)
	w.StartNode(i)
}
