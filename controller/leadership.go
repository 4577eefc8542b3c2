package controller

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/admission"
	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
)

// leadership is one term of this node as the leader: the model, and the loops that
// feed, advance and write it. It exists from the election until the lease is lost
// or given up, and is never used again: the next term loads anew.
type leadership struct {
	node  *Node
	lease *election.Lease
	log   *slog.Logger

	// Wake-up signals of the loops, each with room for one: many causes between two
	// rounds are one reason to run.
	schedulerWake chan struct{}
	committerWake chan struct{}
	schemaWake    chan struct{}
	planCheckWake chan struct{}

	// Semaphores: a place is taken by sending.
	stopSlots   chan struct{} // direct stops in progress
	wakeUpSlots chan struct{} // wake-ups in progress
	barrierSlot chan struct{} // the one read barrier in progress

	heartbeatLimiter *admission.PriorityLimiter

	rentalRequests int // names of scale-out requests given so far; the scaler's own

	mu                  sync.Mutex // guards all that follows, the whole model included
	model               *cluster.Model
	appliedRevision     uint64                // every change up to it is in the model
	wantedMachines      map[cluster.Offer]int // by the last scheduling pass
	scalingOut          bool                  // wantedMachines are being rented
	passCount           uint64                // scheduling passes so far
	committing          bool                  // a batch is being committed
	progress            chan struct{}         // closed and replaced when a pass or a commit ends
	ownVersions         map[string]uint64     // of the records that putOwnRecord writes
	recentUserChanges   []time.Time           // within userChangeWindowS
	lastDirectHeartbeat time.Time             // when a worker last reached this node itself
}

const (
	// concurrentHeartbeats is how many heartbeats a leader works on at once: they
	// take turns at the model anyway, and those beyond wait in the order of their leases.
	concurrentHeartbeats = 4
	// directStopsAtOnce bounds direct stops in progress; what finds no place goes with
	// the response to the worker's next heartbeat.
	directStopsAtOnce = 16
	// abstainOnNewerSchema is for how long a node that can't read the records leaves
	// the election to nodes that may.
	abstainOnNewerSchema = 20 * time.Second
	// loadRetryDelay is the pause between two attempts to load the records.
	loadRetryDelay = 300 * time.Millisecond
)

func newLeadership(n *Node, lease *election.Lease) *leadership {
	sockets := n.cfg.Cluster.Limits.Sockets
	return &leadership{
		node: n, lease: lease, log: n.log,
		schedulerWake:    make(chan struct{}, 1),
		committerWake:    make(chan struct{}, 1),
		schemaWake:       make(chan struct{}, 1),
		planCheckWake:    make(chan struct{}, 1),
		stopSlots:        make(chan struct{}, directStopsAtOnce),
		wakeUpSlots:      make(chan struct{}, min(64, sockets/20)),
		barrierSlot:      make(chan struct{}, 1),
		heartbeatLimiter: admission.NewPriorityLimiter(concurrentHeartbeats, 2*sockets),
		progress:         make(chan struct{}),
		ownVersions:      map[string]uint64{},
	}
}

// wake makes the loop that waits for c run once more, without blocking.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runLeader leads until ctx ends. It implements election.Config.Lead.
func (n *Node) runLeader(ctx context.Context, lease *election.Lease, ready func()) error {
	l := newLeadership(n, lease)
	if err := l.loadWithRetry(ctx); err != nil {
		return err
	}
	l.activate()
	defer l.deactivate()
	ready()
	l.runLoops(ctx)
	return nil
}

// loadWithRetry loads the records until it succeeds, ctx ends, or the records turn
// out to be of a newer schema: then this node leaves the leadership to others.
func (l *leadership) loadWithRetry(ctx context.Context) error {
	for {
		err := l.loadModel(ctx)
		if err == nil {
			return nil
		}
		if errors.Is(err, jobstore.ErrNewerSchema) {
			l.log.Error("cannot lead, stored schema is newer", "err", err)
			l.node.elector.Abstain(abstainOnNewerSchema)
			l.lease.Resign()
			return err
		}
		l.log.Info("records not loaded, retrying", "err", err)
		if !call.Pause(ctx, loadRetryDelay) {
			return ctx.Err()
		}
	}
}

// activate makes the leadership the node's, and hands it what the node has learnt
// while the records were read.
func (l *leadership) activate() {
	n := l.node
	n.mu.Lock()
	n.active = l
	types := n.types
	n.mu.Unlock()
	if types != nil {
		l.setTypes(types)
	}
	l.setPlan(n.operatorPlan())
}

func (l *leadership) deactivate() {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.node.active = nil
}

// runLoops runs everything that a leader does beside answering, and waits until all
// of it has ended.
func (l *leadership) runLoops(ctx context.Context) {
	loops := []func(context.Context){
		l.followJobs,
		l.runCommitter,
		l.runPlanCheck,
		l.runScheduler,
		l.runScaler,
		l.migrateSchema,
		l.writePlanRecords,
		l.resolveUnknownOutcomes,
		l.recordWeightFetches,
		l.retryRepairs,
	}
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
}
