// Package election elects one leader among the controller nodes.
//
// The leader is the node whose name is under LeaderKey, which it wrote under a lease
// of the key-value store: the key goes when the lease expires or is revoked. The
// revision of the key is the fencing token that guards every write of the leader and
// that workers compare, so tokens only grow.
//
// Each controller node runs one Elector. It watches the key, campaigns whenever the
// key is free, and while it holds the key runs Config.Lead with a Lease. The package
// guarantees that at most one node has a valid Lease at a time, given clocks that
// drift apart by no more than Config.ClockDrift: validity counts from the moment a
// renewal was sent, is shorter than the store's lease, and ends for good on resigning.
// It keeps nothing but the key and never retries a write whose outcome is unknown.
package election

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// LeaderKey holds the leader's name while its lease lives.
const LeaderKey = "ctl/leader"

const (
	// roundBackoff is the mean pause after a round that failed.
	roundBackoff = 300 * time.Millisecond
	// watchBlock is how long one watch of the leader key may block.
	watchBlock = 10 * time.Second
	// abstainInterval is the time between two looks at the key of a node that abstains.
	abstainInterval = 500 * time.Millisecond
	// abandonTimeout bounds the revocation of a lease whose campaign was lost.
	abandonTimeout = time.Second
)

// errUnresolved says that it is not known whether this node wrote the leader key.
var errUnresolved = errors.New("outcome of the write of the leader key not resolved")

// Store is the part of the key-value store that the election needs.
type Store interface {
	Get(ctx context.Context, key string) (wire.Entry, error)
	CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
	Watch(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error)
}

// leaderRecord is the value of LeaderKey.
type leaderRecord struct {
	Node  string `msgpack:"node"`
	Lease uint64 `msgpack:"lease"`
}

// Config is what an Elector is made of.
type Config struct {
	Store      Store
	Node       string        // the name of this node
	LeaseTTL   time.Duration // of the store's lease
	ClockDrift float64       // by how much two steady clocks drift apart, as a fraction
	Log        *slog.Logger

	// Lead runs while this node leads, until ctx ends; an error resigns the lease. It
	// calls ready once it can act as the leader: the lease is not valid before.
	Lead func(ctx context.Context, lease *Lease, ready func()) error
	// ReadBarrier brings the leader's knowledge up to date with the store. A renewal
	// counts only after it has succeeded.
	ReadBarrier func(ctx context.Context, lease *Lease) error
	// OnChange, if set, is called when Elector.Leader has changed, and when the lease of
	// this node becomes valid after it was not.
	OnChange func()
}

// Elector campaigns for leadership on behalf of one node.
type Elector struct {
	cfg Config

	mu           sync.Mutex // guards what follows
	leader       string
	abstainUntil time.Time
}

// New makes an Elector; Run makes it campaign.
func New(cfg Config) *Elector { return &Elector{cfg: cfg} }

// Leader names the leader as last seen, or "" if there was none.
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
	if !changed {
		return
	}
	e.cfg.Log.Info("leader changed", "leader", name)
	e.notify()
}

func (e *Elector) notify() {
	if e.cfg.OnChange != nil {
		e.cfg.OnChange()
	}
}

// Abstain keeps this node from campaigning for a while.
func (e *Elector) Abstain(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abstainUntil = time.Now().Add(d)
}

func (e *Elector) abstaining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.abstainUntil)
}

// Run watches the leader key, and campaigns for it whenever it is free, until ctx
// ends. It returns after Config.Lead has.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.runOnce(ctx); err != nil && ctx.Err() == nil {
			e.cfg.Log.Debug("election round failed", "err", err)
			call.Pause(ctx, jitter(roundBackoff))
		}
	}
}

// jitter draws a duration between half and one and a half times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// runOnce reads the leader key and follows or campaigns, once.
func (e *Elector) runOnce(ctx context.Context) error {
	entry, err := e.cfg.Store.Get(ctx, LeaderKey)
	if err != nil {
		return fmt.Errorf("read the leader key: %w", err)
	}
	if entry.Version != 0 {
		return e.follow(ctx, entry)
	}
	e.setLeader("")
	if e.abstaining() {
		call.Pause(ctx, abstainInterval)
		return nil
	}
	return e.campaign(ctx)
}

// follow takes note of the leader and waits for a change of the key.
func (e *Elector) follow(ctx context.Context, entry wire.Entry) error {
	var leader leaderRecord
	if err := wire.Unmarshal(entry.Value, &leader); err != nil {
		return fmt.Errorf("decode the leader key: %w", err)
	}
	if leader.Node == e.cfg.Node {
		return e.revokePrevious(ctx, leader.Lease, entry.Version)
	}
	e.setLeader(leader.Node)
	if _, err := e.cfg.Store.Watch(ctx, LeaderKey, entry.Version, watchBlock); err != nil {
		return fmt.Errorf("watch the leader key: %w", err)
	}
	return nil
}

// revokePrevious revokes the lease of an earlier process of this node, instead of
// letting all nodes wait for its expiry. No lease of this process is held here, or
// Run would be in lead.
func (e *Elector) revokePrevious(ctx context.Context, id, fencingToken uint64) error {
	e.cfg.Log.Info("revoking the lease of an earlier process of this node", "token", fencingToken)
	e.setLeader("")
	if err := e.cfg.Store.RevokeLease(ctx, id); err != nil && !errors.Is(err, kvstore.ErrLeaseNotFound) {
		return fmt.Errorf("revoke the lease of an earlier process: %w", err)
	}
	return nil
}

// campaign tries to write the leader key, and leads if it succeeds.
func (e *Elector) campaign(ctx context.Context) error {
	id, err := e.cfg.Store.GrantLease(ctx, e.cfg.LeaseTTL)
	if err != nil {
		return fmt.Errorf("grant a lease: %w", err)
	}
	if err := e.cfg.Store.RenewLease(ctx, id); err != nil {
		return fmt.Errorf("renew the granted lease: %w", err)
	}
	token, err := e.acquire(ctx, id)
	if errors.Is(err, errUnresolved) {
		return err // the next round finds the key, or the lease expires
	}
	if err != nil {
		rctx, cancel := context.WithTimeout(ctx, abandonTimeout)
		defer cancel()
		_ = e.cfg.Store.RevokeLease(rctx, id) // where this fails the lease expires by itself
		return fmt.Errorf("write the leader key: %w", err)
	}
	lease := NewLease(token, id, time.Now())
	e.cfg.Log.Info("elected", "token", token)
	e.setLeader(e.cfg.Node)
	e.lead(ctx, lease)
	e.setLeader("")
	e.cfg.Log.Info("leadership ended", "token", token)
	return nil
}

// acquire writes the leader key under the store's lease and returns the key's
// revision, which is the fencing token.
func (e *Elector) acquire(ctx context.Context, id uint64) (uint64, error) {
	free := []wire.Guard{{Key: LeaderKey}}
	claim := []wire.Op{{Put: LeaderKey, Value: leaderRecord{Node: e.cfg.Node, Lease: id}, Lease: id}}
	token, err := e.cfg.Store.CompareAndSwap(ctx, free, claim)
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return token, err
	}
	// The write may have been applied, or may yet be: only the key tells.
	entry, gerr := e.cfg.Store.Get(ctx, LeaderKey)
	if gerr != nil {
		return 0, fmt.Errorf("%w: %w; read the leader key: %w", errUnresolved, err, gerr)
	}
	if entry.Version != 0 && entry.Lease == id {
		return entry.Version, nil
	}
	return 0, err
}
