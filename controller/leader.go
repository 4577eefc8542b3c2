package controller

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/admission"
	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// leadership is a node's time as the leader.
type leadership struct {
	n    *Node
	term *election.Term
	log  *slog.Logger

	schedKick chan struct{}
	flushKick chan struct{}
	formKick  chan struct{}
	stopKick  chan struct{}
	direct    chan struct{} // bounds direct stops under way
	summoning chan struct{} // bounds summonses under way
	gate      *admission.Gate

	syncing chan struct{} // held by the one barrier under way

	mu      sync.Mutex
	m       *cluster.Model
	rev     uint64 // everything up to it is in the model
	wants   map[cluster.Offer]int
	passes  uint64        // scheduling passes so far
	writing bool          // a batch is being committed
	turned  chan struct{} // closed and replaced when a pass or a batch ends
	renting bool
	bons    int
	own     map[string]uint64 // versions of the records that put writes
	userOps []time.Time       // users' changes of the last seconds
	lastAny time.Time         // when a worker last reported here itself
}

// reportsAtOnce is how many reports a leader works on at once: they take turns
// at the model anyway, and those beyond wait in the order of their leases.
const reportsAtOnce = 4

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// runLeader leads until ctx ends. It implements election.Elector.Lead.
func (n *Node) runLeader(ctx context.Context, t *election.Term, ready func()) error {
	l := &leadership{
		n: n, term: t, log: n.log, schedKick: make(chan struct{}, 1), flushKick: make(chan struct{}, 1), formKick: make(chan struct{}, 1), stopKick: make(chan struct{}, 1),
		direct: make(chan struct{}, 16), summoning: make(chan struct{}, min(64, n.cfg.Cluster.Limits.Sockets/20)), syncing: make(chan struct{}, 1), turned: make(chan struct{}), own: map[string]uint64{},
		gate: admission.NewGate(reportsAtOnce, 2*n.cfg.Cluster.Limits.Sockets),
	}
	for {
		err := l.load(ctx)
		if err == nil {
			break
		}
		if errors.Is(err, jobstore.ErrNewer) {
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
	n.lead = l
	types := n.types
	n.mu.Unlock()
	if types != nil {
		l.setTypes(types)
	}
	l.setPlan(n.orders()) // what was learnt since the records were read
	defer func() {
		n.mu.Lock()
		n.lead = nil
		n.mu.Unlock()
	}()
	ready()
	var wg sync.WaitGroup
	for _, duty := range []func(context.Context){l.follow, l.flush, l.compareStops, l.schedule, l.runCloud, l.raiseForm, l.writeNotes, l.tellEnds, l.fillPools, l.mendLater} {
		wg.Add(1)
		go func() { defer wg.Done(); duty(ctx) }()
	}
	wg.Wait()
	return nil
}

func (l *leadership) setTypes(types []wire.MachineType) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.SetTypes(types)
}

// apply takes changes of the active records in. Each once: a watch and a
// barrier may bring the same. Where a page of jobs can't be read, ok is false and
// nothing is taken in: its jobs would seem to be cancelled. The next leader mends
// it before it leads.
func (l *leadership) apply(ev wire.Events) (ok bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	pages := map[string]cluster.IntakePage{} // as the last change left them
	for _, e := range ev.Log {
		if e.Version <= l.rev {
			continue
		}
		if jobstore.IsIntake(e.Put + e.Delete) {
			if !l.intake(pages, e) {
				l.term.Resign()
				return false
			}
			continue
		}
		if e.Delete != "" {
			if id, ok := jobstore.ParseJobKey(e.Delete); ok {
				if j := l.m.Job(id); j != nil && !j.Finished && j.Done < len(j.Tasks) {
					l.userOps = append(l.userOps, now, now)
				}
				l.m.RemoveJob(id, now)
			}
			continue
		}
		if id, ok := jobstore.ParseJobKey(e.Put); ok {
			rec, err := jobstore.DecodeJob(id, e.Value)
			if err != nil {
				l.log.Error("unreadable job record", "key", e.Put, "err", err)
				continue
			}
			l.m.PutJob(id, rec, e.Version, now)
			l.userOps = append(l.userOps, now)
		}
	}
	// Together, since a job may have moved from one to another.
	l.m.PutIntake(slices.Collect(maps.Values(pages)), now)
	l.rev = max(l.rev, ev.Revision)
	kick(l.schedKick)
	kick(l.flushKick)
	return true
}

// intake takes a change of a page of users' jobs in; false where it can't be read.
func (l *leadership) intake(pages map[string]cluster.IntakePage, e wire.Event) bool {
	key := e.Put + e.Delete
	pg := cluster.IntakePage{Key: key, Version: e.Version}
	if e.Put != "" {
		rec, err := jobstore.DecodeIntake(e.Value)
		if err != nil {
			l.log.Error("unreadable page of jobs: the next leader mends it", "key", key, "err", err)
			return false
		}
		pg.Record = rec
	}
	if pages[key].Version <= e.Version {
		pages[key] = pg
	}
	if !l.m.Wrote(key, e.Version) {
		l.userOps = append(l.userOps, time.Now())
	}
	return true
}

func (l *leadership) revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rev
}

// barrier brings the model up to date.
func (l *leadership) barrier(ctx context.Context) error {
	select {
	case l.syncing <- struct{}{}:
		defer func() { <-l.syncing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	ev, err := l.n.state.Follow(ctx, jobstore.Jobs, l.revision(), 0)
	if err != nil {
		return err
	}
	if !l.apply(ev) {
		return jobstore.ErrDamaged
	}
	l.pushStops(ctx)
	return nil
}

// readBarrier implements election.Elector.ReadBarrier: a leader counts as sure of its
// lease only with knowledge as fresh as the renewal, so that it tells no
// worker to go on with a job that was cancelled long ago.
func (n *Node) readBarrier(ctx context.Context, t *election.Term) error {
	l := n.leadership()
	if l == nil || l.term != t {
		return errors.New("not leading yet")
	}
	err := l.barrier(ctx)
	if errors.Is(err, kvstore.ErrTooOld) {
		t.Resign()
	}
	return err
}

// follow learns of submissions and cancellations as they are committed.
func (l *leadership) follow(ctx context.Context) {
	for ctx.Err() == nil {
		ev, err := l.n.state.Follow(ctx, jobstore.Jobs, l.revision(), 8*time.Second)
		switch {
		case errors.Is(err, kvstore.ErrTooOld):
			l.log.Info("the watch fell behind; beginning anew")
			l.term.Resign()
			return
		case err != nil:
			call.Pause(ctx, time.Duration(200+rand.IntN(300))*time.Millisecond)
		default:
			if !l.apply(ev) {
				return
			}
			l.pushStops(ctx)
		}
	}
}
