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

// leadership is a node's time as the leader.
type leadership struct {
	node  *Node
	lease *election.Lease
	log   *slog.Logger

	schedulerWake    chan struct{}
	committerWake    chan struct{}
	schemaWake       chan struct{}
	planCheckWake    chan struct{}
	stopSlots        chan struct{} // bounds direct stops under way
	wakeUpSlots      chan struct{} // bounds summonses under way
	heartbeatLimiter *admission.PriorityLimiter

	barrierSlot chan struct{} // held by the one barrier under way

	mu                  sync.Mutex
	model               *cluster.Model
	appliedRevision     uint64 // everything up to it is in the model
	wantedMachines      map[cluster.Offer]int
	passCount           uint64        // scheduling passes so far
	committing          bool          // a batch is being committed
	progress            chan struct{} // closed and replaced when a pass or a batch ends
	scalingOut          bool
	rentalRequests      int
	ownVersions         map[string]uint64 // versions of the records that put writes
	recentUserChanges   []time.Time       // users' changes of the last seconds
	lastDirectHeartbeat time.Time         // when a worker last reported here itself
}

// concurrentHeartbeats is how many reports a leader works on at once: they take turns
// at the model anyway, and those beyond wait in the order of their leases.
const concurrentHeartbeats = 4

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runLeader leads until ctx ends. It implements election.Config.Lead.
func (n *Node) runLeader(ctx context.Context, t *election.Lease, ready func()) error {
	l := &leadership{
		node: n, lease: t, log: n.log, schedulerWake: make(chan struct{}, 1), committerWake: make(chan struct{}, 1), schemaWake: make(chan struct{}, 1), planCheckWake: make(chan struct{}, 1),
		stopSlots: make(chan struct{}, 16), wakeUpSlots: make(chan struct{}, min(64, n.cfg.Cluster.Limits.Sockets/20)), barrierSlot: make(chan struct{}, 1), progress: make(chan struct{}), ownVersions: map[string]uint64{},
		heartbeatLimiter: admission.NewPriorityLimiter(concurrentHeartbeats, 2*n.cfg.Cluster.Limits.Sockets),
	}
	for {
		err := l.loadModel(ctx)
		if err == nil {
			break
		}
		if errors.Is(err, jobstore.ErrNewerSchema) {
			l.log.Error("this node can't lead", "err", err)
			n.elector.Abstain(20 * time.Second)
			t.Resign()
			return err
		}
		l.log.Info("records not loaded, retrying", "err", err)
		if !call.Pause(ctx, 300*time.Millisecond) {
			return ctx.Err()
		}
	}
	n.mu.Lock()
	n.active = l
	types := n.types
	n.mu.Unlock()
	if types != nil {
		l.setTypes(types)
	}
	l.setPlan(n.operatorPlan()) // what was learnt since the records were read
	defer func() {
		n.mu.Lock()
		n.active = nil
		n.mu.Unlock()
	}()
	ready()
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){l.followJobs, l.runCommitter, l.runPlanCheck, l.runScheduler, l.runScaler, l.migrateSchema, l.writePlanRecords, l.resolveUnknownOutcomes, l.recordWeightFetches, l.retryRepairs} {
		wg.Add(1)
		go func() { defer wg.Done(); duty(ctx) }()
	}
	wg.Wait()
	return nil
}
