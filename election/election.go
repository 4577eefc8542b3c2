// Package election keeps one leader among the controller nodes: whoever holds
// the leader key under a lease of the state service. The key's revision is the
// fencing token that workers compare and that guards every write, so tokens only grow.
package election

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// LeaderKey holds the leader's name while its lease lives.
const LeaderKey = "ctl/leader"

// Store is what the election needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Entry, error)
	CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error)
}

type leaderRecord struct {
	Node  string `msgpack:"node"`
	Lease uint64 `msgpack:"lease"`
}

// Lease is one leadership.
type Lease struct {
	FencingToken uint64 // the fencing token
	ElectedAt    time.Time

	id         uint64
	validUntil atomic.Int64 // nanoseconds since Since
	resigned   atomic.Bool
	resignC    chan struct{}
	resignOnce sync.Once
}

// NewLease makes a term that is not valid yet.
func NewLease(token, lease uint64, since time.Time) *Lease {
	return &Lease{FencingToken: token, ElectedAt: since, id: lease, resignC: make(chan struct{})}
}

// Valid says whether this node may act as the leader now.
func (t *Lease) Valid() bool {
	return !t.resigned.Load() && int64(time.Since(t.ElectedAt)) < t.validUntil.Load()
}

// Extend makes the term valid until then, unless it was given up: a renewal that
// was under way meanwhile must not bring it back, since its lease ends next and
// another leader may be elected.
func (t *Lease) Extend(until time.Time) { t.validUntil.Store(int64(until.Sub(t.ElectedAt))) }

// Resign gives the leadership up, for good.
func (t *Lease) Resign() {
	t.resigned.Store(true)
	t.resignOnce.Do(func() { close(t.resignC) })
}

// Elector runs for leadership.
type Elector struct {
	Store      Store
	Node       string
	LeaseTTL   time.Duration
	ClockDrift float64 // how far two steady clocks drift apart, as a share
	Log        *slog.Logger
	// Lead runs while this node leads, until ctx ends. ReadBarrier must bring the
	// leader's knowledge up to date; the lease counts as sure only after it.
	Lead        func(ctx context.Context, t *Lease, ready func()) error
	ReadBarrier func(ctx context.Context, t *Lease) error
	// Seen, if set, is called when another leader is seen, or none, and when this
	// node becomes sure of leading.
	OnChange func()

	mu           sync.Mutex
	leader       string
	abstainUntil time.Time // no candidacy before this, after resigning
}

// RedirectFromLeader names the leader as last seen, or "".
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

func (e *Elector) setLeader(name string) {
	e.mu.Lock()
	changed := e.leader != name
	e.leader = name
	e.mu.Unlock()
	if changed {
		e.Log.Info("leader seen", "leader", name)
		if e.OnChange != nil {
			e.OnChange()
		}
	}
}

// Abstain keeps this node from standing for a while.
func (e *Elector) Abstain(d time.Duration) {
	e.mu.Lock()
	e.abstainUntil = time.Now().Add(d)
	e.mu.Unlock()
}

func (e *Elector) abstaining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.abstainUntil)
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// Run follows the leader key and stands for it whenever it is free.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.runOnce(ctx); err != nil && ctx.Err() == nil {
			e.Log.Debug("election", "err", err)
			call.Pause(ctx, jitter(300*time.Millisecond))
		}
	}
}

func (e *Elector) runOnce(ctx context.Context) error {
	entry, err := e.Store.Get(ctx, LeaderKey)
	if err != nil {
		return err
	}
	if entry.Version != 0 {
		var rec leaderRecord
		if err := wire.Unmarshal(entry.Value, &rec); err != nil {
			return err
		}
		if rec.Node == e.Node {
			// No term of this process is running here, so the key is that of
			// a process of this node that has ended: end its lease, instead of
			// letting everybody wait for it.
			e.Log.Info("ending the lease of this node's earlier process", "token", entry.Version)
			e.setLeader("")
			if err := e.Store.RevokeLease(ctx, rec.Lease); err != nil && !errors.Is(err, kvstore.ErrLeaseNotFound) {
				return err
			}
			return nil
		}
		e.setLeader(rec.Node)
		_, err := e.Store.Watch(ctx, LeaderKey, entry.Version, 10*time.Second)
		return err
	}
	e.setLeader("")
	if e.abstaining() {
		call.Pause(ctx, 500*time.Millisecond)
		return nil
	}
	return e.campaign(ctx)
}

func (e *Elector) campaign(ctx context.Context) error {
	lease, err := e.Store.GrantLease(ctx, e.LeaseTTL)
	if err != nil {
		return err
	}
	sent := time.Now()
	if err := e.Store.RenewLease(ctx, lease); err != nil {
		return err
	}
	token, err := e.Store.CompareAndSwap(ctx, []wire.Guard{{Key: LeaderKey}}, []wire.Op{{Put: LeaderKey, Value: leaderRecord{e.Node, lease}, Lease: lease}})
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		// The commit may have been applied, or may yet be: only the key tells.
		entry, gerr := e.Store.Get(ctx, LeaderKey)
		if gerr != nil {
			return errors.Join(err, gerr)
		}
		if entry.Version != 0 && entry.Lease == lease {
			token, err = entry.Version, nil
		}
	}
	if err != nil {
		rctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_ = e.Store.RevokeLease(rctx, lease) // where this fails the lease runs out by itself
		return err
	}
	t := NewLease(token, lease, time.Now())
	e.Log.Info("elected", "token", token)
	e.setLeader(e.Node)
	e.lead(ctx, t, sent)
	e.setLeader("")
	e.Log.Info("leadership ended", "token", token)
	return nil
}

// lead leads until the lease is lost or given up.
func (e *Elector) lead(ctx context.Context, t *Lease, sent time.Time) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	ready := make(chan struct{})
	var once sync.Once
	wg.Add(1)
	go func() {
		defer wg.Done()
		if err := e.Lead(ctx, t, func() { once.Do(func() { close(ready) }) }); err != nil && ctx.Err() == nil {
			e.Log.Info("giving leadership up", "err", err)
			t.Resign()
		}
	}()
	defer wg.Wait()
	defer cancel()
	lasts := time.Duration(float64(e.LeaseTTL)*(1-2*e.ClockDrift)) - 20*time.Millisecond
	isReady, sure := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.resignC:
			rctx, rcancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
			_ = e.Store.RevokeLease(rctx, t.id) // best effort: it runs out by itself
			rcancel()
			return
		case <-ready:
			ready, isReady = nil, true
		default:
		}
		asked := time.Now()
		err := e.renew(ctx, t, isReady, sure)
		switch {
		case errors.Is(err, kvstore.ErrLeaseNotFound):
			t.Resign()
			continue
		case err == nil && isReady:
			unsure := !t.Valid()
			if unsure && sure {
				e.Log.Info("sure of the lease again", "token", t.FencingToken)
			}
			sent, sure = asked, true
			t.Extend(sent.Add(lasts))
			if unsure && e.OnChange != nil {
				e.OnChange()
			}
		case err != nil:
			e.Log.Debug("renewal", "err", err)
		}
		wait := e.LeaseTTL / 5
		if err != nil || !isReady {
			wait = 250 * time.Millisecond
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.resignC:
		case <-ready:
			isReady, ready = true, nil
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (e *Elector) renew(ctx context.Context, t *Lease, ready, sure bool) error {
	if err := e.Store.RenewLease(ctx, t.id); err != nil {
		return err
	}
	if !ready {
		return nil
	}
	if sure && !t.Valid() {
		// Passive until now: the key must still be ours, at our revision.
		entry, err := e.Store.Get(ctx, LeaderKey)
		if err != nil {
			return err
		}
		if entry.Version != t.FencingToken {
			return kvstore.ErrLeaseNotFound
		}
	}
	return e.ReadBarrier(ctx, t)
}
