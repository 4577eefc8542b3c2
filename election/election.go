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

// Key holds the leader's name while its lease lives.
const Key = "ctl/leader"

// Store is what the election needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Entry, error)
	Commit(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error)
	Hold(ctx context.Context, ttl time.Duration) (uint64, error)
	Touch(ctx context.Context, lease uint64) error
	Release(ctx context.Context, lease uint64) error
	Follow(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error)
}

type record struct {
	Node  string `msgpack:"node"`
	Lease uint64 `msgpack:"lease"`
}

// Term is one leadership.
type Term struct {
	Token uint64 // the fencing token
	Since time.Time

	lease    uint64
	validTo  atomic.Int64 // nanoseconds since Since
	resigned atomic.Bool
	resign   chan struct{}
	once     sync.Once
}

// NewTerm makes a term that is not valid yet.
func NewTerm(token, lease uint64, since time.Time) *Term {
	return &Term{Token: token, Since: since, lease: lease, resign: make(chan struct{})}
}

// Valid says whether this node may act as the leader now.
func (t *Term) Valid() bool {
	return !t.resigned.Load() && int64(time.Since(t.Since)) < t.validTo.Load()
}

// Extend makes the term valid until then, unless it was given up: a renewal that
// was under way meanwhile must not bring it back, since its lease ends next and
// another leader may be elected.
func (t *Term) Extend(until time.Time) { t.validTo.Store(int64(until.Sub(t.Since))) }

// Resign gives the leadership up, for good.
func (t *Term) Resign() {
	t.resigned.Store(true)
	t.once.Do(func() { close(t.resign) })
}

// Elector runs for leadership.
type Elector struct {
	Store Store
	Self  string
	TTL   time.Duration
	Drift float64 // how far two steady clocks drift apart, as a share
	Log   *slog.Logger
	// Lead runs while this node leads, until ctx ends. ReadBarrier must bring the
	// leader's knowledge up to date; the lease counts as sure only after it.
	Lead        func(ctx context.Context, t *Term, ready func()) error
	ReadBarrier func(ctx context.Context, t *Term) error
	// Seen, if set, is called when another leader is seen, or none, and when this
	// node becomes sure of leading.
	Seen func()

	mu     sync.Mutex
	leader string
	until  time.Time // no candidacy before this, after resigning
}

// Leader names the leader as last seen, or "".
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
		if e.Seen != nil {
			e.Seen()
		}
	}
}

// Abstain keeps this node from standing for a while.
func (e *Elector) Abstain(d time.Duration) {
	e.mu.Lock()
	e.until = time.Now().Add(d)
	e.mu.Unlock()
}

func (e *Elector) abstaining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.until)
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// Run follows the leader key and stands for it whenever it is free.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.round(ctx); err != nil && ctx.Err() == nil {
			e.Log.Debug("election", "err", err)
			call.Pause(ctx, jitter(300*time.Millisecond))
		}
	}
}

func (e *Elector) round(ctx context.Context) error {
	entry, err := e.Store.Get(ctx, Key)
	if err != nil {
		return err
	}
	if entry.Version != 0 {
		var rec record
		if err := wire.Unmarshal(entry.Value, &rec); err != nil {
			return err
		}
		if rec.Node == e.Self {
			// No term of this process is running here, so the key is that of
			// a process of this node that has ended: end its lease, instead of
			// letting everybody wait for it.
			e.Log.Info("ending the lease of this node's earlier process", "token", entry.Version)
			e.setLeader("")
			if err := e.Store.Release(ctx, rec.Lease); err != nil && !errors.Is(err, kvstore.ErrNoLease) {
				return err
			}
			return nil
		}
		e.setLeader(rec.Node)
		_, err := e.Store.Follow(ctx, Key, entry.Version, 10*time.Second)
		return err
	}
	e.setLeader("")
	if e.abstaining() {
		call.Pause(ctx, 500*time.Millisecond)
		return nil
	}
	return e.stand(ctx)
}

func (e *Elector) stand(ctx context.Context) error {
	lease, err := e.Store.Hold(ctx, e.TTL)
	if err != nil {
		return err
	}
	sent := time.Now()
	if err := e.Store.Touch(ctx, lease); err != nil {
		return err
	}
	token, err := e.Store.Commit(ctx, []wire.Guard{{Key: Key}}, []wire.Op{{Put: Key, Value: record{e.Self, lease}, Lease: lease}})
	if errors.Is(err, kvstore.ErrUnknown) {
		// The commit may have been applied, or may yet be: only the key tells.
		entry, gerr := e.Store.Get(ctx, Key)
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
		_ = e.Store.Release(rctx, lease) // where this fails the lease runs out by itself
		return err
	}
	t := NewTerm(token, lease, time.Now())
	e.Log.Info("elected", "token", token)
	e.setLeader(e.Self)
	e.hold(ctx, t, sent)
	e.setLeader("")
	e.Log.Info("leadership ended", "token", token)
	return nil
}

// hold leads until the lease is lost or given up.
func (e *Elector) hold(ctx context.Context, t *Term, sent time.Time) {
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
	lasts := time.Duration(float64(e.TTL)*(1-2*e.Drift)) - 20*time.Millisecond
	isReady, sure := false, false
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.resign:
			rctx, rcancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
			_ = e.Store.Release(rctx, t.lease) // best effort: it runs out by itself
			rcancel()
			return
		case <-ready:
			ready, isReady = nil, true
		default:
		}
		asked := time.Now()
		err := e.renew(ctx, t, isReady, sure)
		switch {
		case errors.Is(err, kvstore.ErrNoLease):
			t.Resign()
			continue
		case err == nil && isReady:
			unsure := !t.Valid()
			if unsure && sure {
				e.Log.Info("sure of the lease again", "token", t.Token)
			}
			sent, sure = asked, true
			t.Extend(sent.Add(lasts))
			if unsure && e.Seen != nil {
				e.Seen()
			}
		case err != nil:
			e.Log.Debug("renewal", "err", err)
		}
		wait := e.TTL / 5
		if err != nil || !isReady {
			wait = 250 * time.Millisecond
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.resign:
		case <-ready:
			isReady, ready = true, nil
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (e *Elector) renew(ctx context.Context, t *Term, ready, sure bool) error {
	if err := e.Store.Touch(ctx, t.lease); err != nil {
		return err
	}
	if !ready {
		return nil
	}
	if sure && !t.Valid() {
		// Passive until now: the key must still be ours, at our revision.
		entry, err := e.Store.Get(ctx, Key)
		if err != nil {
			return err
		}
		if entry.Version != t.Token {
			return kvstore.ErrNoLease
		}
	}
	return e.ReadBarrier(ctx, t)
}
