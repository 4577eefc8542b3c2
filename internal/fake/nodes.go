// Start, stop and pause of the simulated cluster's controllers.

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

// node is a controller, which runs as goroutines of the test's process.
type node struct {
	name string
	addr string // address for users and workers
	cfg  *config.Settings

	// Guarded by the cluster's lock, because other goroutines send copies of heartbeats.
	stop        context.CancelFunc // nil while the controller doesn't run
	done        chan struct{}      // closed once the controller has ended
	killed      *atomic.Bool       // KillNode ended the controller
	downSince   time.Time          // when KillNode ended it; zero while it runs
	olderSchema bool               // the controller uses the previous schema version when started next
}

// UpgradeSchema makes the i-th controller use the newest schema version when it is started next.
func (w *Cluster) UpgradeSchema(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[i].olderSchema = false
}

// StartNode starts the i-th controller, unless it runs. A controller that ends by itself with an
// error counts as a violation.
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
			panic(err) // Options.YARN is invalid
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

// KillNode ends the i-th controller like a power failure: its connections break and it finishes
// nothing. It waits until the controller has ended.
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

// StartAll starts every controller that doesn't run.
func (w *Cluster) StartAll() {
	for i := range w.nodes {
		w.StartNode(i)
	}
}

// PauseNode suspends the i-th controller while its clocks keep running, like a long pause of the
// process.
func (w *Cluster) PauseNode(i int) { w.Network.Pause(w.nodes[i].name) }

// ResumeNode resumes a controller that PauseNode suspended.
func (w *Cluster) ResumeNode(i int) { w.Network.Resume(w.nodes[i].name) }

// Nodes returns the names of all controllers, in the order of their indexes.
func (w *Cluster) Nodes() []string {
	var out []string
	for _, n := range w.nodes {
		out = append(out, n.name)
	}
	return out
}

// Leader returns the index of the controller that the leader key in the key-value store names, or
// -1 if there is none.
func (w *Cluster) Leader() int {
	w.Store.mu.Lock()
	leader := w.Store.leaderNode()
	w.Store.mu.Unlock()
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == leader })
}

// leaderPollInterval is how often AwaitLeader reads the leader key.
const leaderPollInterval = 10 * time.Millisecond

// AwaitLeader is like Leader, but waits while there is no leader. It returns -1 if there is none for
// longer than within.
func (w *Cluster) AwaitLeader(within time.Duration) int {
	leader := w.Leader()
	for end := time.Now().Add(within); leader < 0 && time.Now().Before(end); leader = w.Leader() {
		time.Sleep(leaderPollInterval)
	}
	return leader
}

// PowerCycleNode kills the i-th controller and starts it again after the given time. It returns
// once the controller is started.
func (w *Cluster) PowerCycleNode(i int, after time.Duration) {
	w.KillNode(i)
	time.Sleep(after)
	w.StartNode(i)
}
