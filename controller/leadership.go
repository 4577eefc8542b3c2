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

// leadership is one term of this node as the leader. It holds the model and the loops that
// apply events to it, run scheduling passes on it and commit its changes. It exists from
// the election until the leader lease is lost or resigned. Each term loads the records
// again, because another leader may have changed them.
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

	rentalRequests int // number of scale-out requests, for their names; used by the scaler only

	mu                  sync.Mutex // guards all fields below, including the whole model
	model               *cluster.Model
	appliedRevision     uint64                // the model includes all stored changes up to this revision
	wantedMachines      map[cluster.Offer]int // machines to rent according to the last scheduling pass
	scalingOut          bool                  // a scale-out for wantedMachines is in progress
	passCount           uint64                // scheduling passes of this term
	committing          bool                  // a batch is being committed
	progress            chan struct{}         // closed and replaced when a pass or a commit ends
	ownVersions         map[string]uint64     // by key, of the records that putOwnRecord writes
	recentUserChanges   []time.Time           // times of the changes within userChangeWindowS
	lastDirectHeartbeat time.Time             // when this node last received a new heartbeat from a worker itself
}

const (
	// concurrentHeartbeats is how many heartbeats a leader processes at once. More would
	// not help because the model's lock serializes them. The others wait in
	// heartbeatLimiter, in the order in which the workers' leases expire.
	concurrentHeartbeats = 4
	// maxDirectStops bounds the direct stops in progress. If no slot is free, a stop is sent
	// with the response to the worker's next heartbeat.
	maxDirectStops = 16
	// abstainOnNewerSchema is how long a node that can't read the stored schema does not
	// stand for election, so that a node with a newer program can win.
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
		stopSlots:        make(chan struct{}, maxDirectStops),
		wakeUpSlots:      make(chan struct{}, min(64, sockets/20)),
		barrierSlot:      make(chan struct{}, 1),
		heartbeatLimiter: admission.NewPriorityLimiter(concurrentHeartbeats, 2*sockets),
		progress:         make(chan struct{}),
		ownVersions:      map[string]uint64{},
	}
}

// wake makes the loop that waits for signal run once more. It never blocks.
func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// runLeader leads until ctx ends. It calls ready once the records are loaded. It
// implements election.Config.Lead.
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

// loadWithRetry loads the records, and retries until it succeeds or ctx ends. If the stored
// schema is newer than this program can read, it does not retry: the node resigns and does
// not stand for election for abstainOnNewerSchema.
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

// activate makes l the node's active leadership. It then applies the machine types and the
// operators' plan that the node received while the records were loading.
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

// runLoops runs the leader's background loops until ctx ends. It waits for all of them, so
// that none runs after the end of the leadership.
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
