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

// leadership is one term of this node as the leader: the model, and the loops that apply
// events to it, run scheduling passes on it and commit its changes. It exists from the
// election until the lease is lost or resigned. The next term starts with a new one and
// loads the records again, since another leader may have changed them.
type leadership struct {
	node  *Node
	lease *election.Lease
	log   *slog.Logger

	// Wake-up signals of the loops, with a buffer of one: several signals between two
	// iterations cause a single iteration.
	schedulerWake chan struct{}
	committerWake chan struct{}
	schemaWake    chan struct{}
	planCheckWake chan struct{}

	// Semaphores: sending acquires a slot, receiving releases it.
	stopSlots   chan struct{} // direct stops in progress
	wakeUpSlots chan struct{} // wake-ups in progress
	barrierSlot chan struct{} // the one read barrier in progress

	heartbeatLimiter *admission.PriorityLimiter

	rentalRequests int // counts scale-out requests, to name them; used by the scaler only

	mu                  sync.Mutex // guards all that follows, the whole model included
	model               *cluster.Model
	appliedRevision     uint64                // every stored change up to it is in the model
	wantedMachines      map[cluster.Offer]int // that the last scheduling pass wants rented
	scalingOut          bool                  // a scale-out for wantedMachines is in progress
	passCount           uint64                // scheduling passes so far
	committing          bool                  // a batch is being committed
	progress            chan struct{}         // closed and replaced when a pass or a commit ends
	ownVersions         map[string]uint64     // of the records that putOwnRecord writes
	recentUserChanges   []time.Time           // within userChangeWindowS
	lastDirectHeartbeat time.Time             // when a worker last reached this node itself
}

const (
	// concurrentHeartbeats is how many heartbeats a leader processes at once. The model's
	// lock serializes them anyway; the others wait in heartbeatLimiter, where the worker
	// whose lease expires first goes first.
	concurrentHeartbeats = 4
	// directStopsAtOnce bounds direct stops in progress. A stop that finds no free slot
	// goes out with the response to the worker's next heartbeat.
	directStopsAtOnce = 16
	// abstainOnNewerSchema is how long a node that can't read the stored schema stays out
	// of the election, so that a node with a newer program can win it.
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

// loadWithRetry retries loading the records until it succeeds or ctx ends. If their
// schema is newer than this program reads, retrying can't help: the node resigns and
// abstains from the election for a while.
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

// activate makes this the node's active leadership, and applies the machine types and
// the operators' plan that the node has received while the records were loading.
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

// runLoops runs the leader's background loops until ctx ends, and waits for all of them,
// so that none outlives its leadership.
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
