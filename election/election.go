// Package election elects one leader among the controller nodes.
//
// The leader is the node named in the value of LeaderKey. It wrote the key under a
// lease of the key-value store, so the store deletes the key when that lease expires or
// is revoked. The revision at which the key was written is the fencing token. Every
// write of the leader is conditional on the token, and workers reject commands with a
// lower token than the highest they have seen. Store revisions only increase, so every
// new leader has a higher token than all earlier ones.
//
// Each controller node runs one Elector. It watches the key, campaigns whenever the key
// is absent, and runs Config.Lead with a Lease while it holds the key.
//
// The package guarantees that at most one node has a valid Lease at a time, provided
// that clocks drift apart by no more than Config.ClockDrift. For this, validity counts
// from the moment a renewal was sent, is shorter than the store's lease, and ends
// permanently when the leader resigns. The package stores only the key, and it never
// retries a write whose outcome is unknown.
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

// LeaderKey is the key whose value names the leader. It exists only as long as the
// leader's lease in the store.
const LeaderKey = "ctl/leader"

const (
	// roundBackoff is the mean pause after a failed election round (see runOnce).
	roundBackoff = 300 * time.Millisecond
	// watchBlock is how long one watch of the leader key may block.
	watchBlock = 10 * time.Second
	// abstainInterval is how often an abstaining node reads the leader key.
	abstainInterval = 500 * time.Millisecond
	// abandonTimeout bounds the revocation of the lease of a lost campaign.
	abandonTimeout = time.Second
)

// errUnresolved means that it is unknown whether this node wrote the leader key. The
// write got no answer, and reading the key back failed as well.
var errUnresolved = errors.New("outcome of the write of the leader key not resolved")

// Store is the part of the key-value store that the election needs. kvstore.Client implements it and
// documents the methods.
type Store interface {
	Get(ctx context.Context, key string) (wire.Entry, error)
	ListPage(ctx context.Context, prefix, after string, limit int) (wire.Listing, error)
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

// Config configures an Elector. OnChange is optional.
type Config struct {
	Store      Store
	Node       string        // the name of this node
	LeaseTTL   time.Duration // TTL of the lease in the store
	ClockDrift float64       // maximum relative drift between two nodes' monotonic clocks
	Log        *slog.Logger

	// Lead does the leader's work until ctx ends. It calls ready once it can act as the
	// leader; the lease does not become valid before that. If Lead returns an error
	// before ctx ends, the lease is resigned.
	Lead func(ctx context.Context, lease *Lease, ready func()) error
	// ReadBarrier brings the leader's in-memory state up to date with the store. Once
	// the leader is ready, a renewal extends the lease only if ReadBarrier succeeds after
	// it, because a leader with a valid lease must not act on stale state.
	ReadBarrier func(ctx context.Context, lease *Lease) error
	// OnChange, if set, is called after the result of Elector.Leader has changed, and each
	// time this node's lease becomes valid.
	OnChange func()
}

// Elector campaigns for leadership on behalf of one node.
type Elector struct {
	cfg Config

	mu           sync.Mutex // guards the fields below
	leader       string
	abstainUntil time.Time
}

// New returns an Elector, which does nothing until Run is called.
func New(cfg Config) *Elector { return &Elector{cfg: cfg} }

// Leader returns the name of the leader as this node last observed it, or "" if there
// was none. It may be out of date; only Lease.Valid proves leadership.
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

// Abstain keeps this node from campaigning for the duration d from now, so that another
// node can be elected. It does not affect a lease that this node already holds.
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

// Run watches the leader key and campaigns whenever it is absent, until ctx ends. It
// does not return before a running Config.Lead has returned.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.runOnce(ctx); err != nil && ctx.Err() == nil {
			e.cfg.Log.Debug("election round failed", "err", err)
			call.Pause(ctx, jitter(roundBackoff))
		}
	}
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// runOnce runs one election round: it reads the leader key, then follows the leader
// until the key changes, or campaigns if there is no leader.
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

// follow records who leads and waits until the key changes or the watch times out. If
// the key names this node, it revokes that lease instead.
func (e *Elector) follow(ctx context.Context, entry wire.Entry) error {
	var leader leaderRecord
	if err := wire.Unmarshal(entry.Value, &leader); err != nil {
		return fmt.Errorf("decode the leader key: %w", err)
	}
	if leader.Node == e.cfg.Node {
		return e.revokePrevious(ctx, leader.Lease, entry.Version)
	}
	e.setLeader(leader.Node)
	if err := e.awaitChange(ctx, entry.Version); err != nil {
		return fmt.Errorf("watch the leader key: %w", err)
	}
	return nil
}

// awaitChange waits until the leader key, last read in the given version, changes or the watch times
// out. The store keeps only its newest changes, so that the change of a key that has not changed for
// long can't be the start of a watch. The watch then starts at the current revision, if a listing
// shows that the key still has the version.
func (e *Elector) awaitChange(ctx context.Context, version uint64) error {
	_, err := e.cfg.Store.Watch(ctx, LeaderKey, version, watchBlock)
	if !errors.Is(err, kvstore.ErrCompacted) {
		return err
	}
	page, err := e.cfg.Store.ListPage(ctx, LeaderKey, "", 1)
	if err != nil {
		return err
	}
	if len(page.Items) == 0 || page.Items[0].Version != version {
		return nil // it has changed
	}
	_, err = e.cfg.Store.Watch(ctx, LeaderKey, page.Revision, watchBlock)
	return err
}

// revokePrevious revokes a lease that names this node but that this process does not use.
// It belongs to an earlier process, or to a campaign whose outcome was unknown. Otherwise
// all nodes would have to wait for its expiry. The lease in use is never revoked here,
// because lead returns to the election round only after that lease has ended.
func (e *Elector) revokePrevious(ctx context.Context, id, fencingToken uint64) error {
	e.cfg.Log.Info("revoking the lease of an earlier process of this node", "token", fencingToken)
	e.setLeader("")
	if err := e.cfg.Store.RevokeLease(ctx, id); err != nil && !errors.Is(err, kvstore.ErrLeaseNotFound) {
		return fmt.Errorf("revoke the lease of an earlier process: %w", err)
	}
	return nil
}

// campaign tries to write the leader key and, if it succeeds, leads until the lease ends.
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
		return err // a later round finds the key with this lease and revokes it, or the lease expires
	}
	if err != nil {
		revokeCtx, cancel := context.WithTimeout(ctx, abandonTimeout)
		defer cancel()
		_ = e.cfg.Store.RevokeLease(revokeCtx, id) // if this fails, the lease expires by itself
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

// acquire writes the leader key under the store's lease id and returns the key's
// revision, which is the fencing token. The error is errUnresolved if the write got no
// answer and the key could not be read back.
func (e *Elector) acquire(ctx context.Context, id uint64) (uint64, error) {
	free := []wire.Guard{{Key: LeaderKey}}
	claim := []wire.Op{{Put: LeaderKey, Value: leaderRecord{Node: e.cfg.Node, Lease: id}, Lease: id}}
	token, err := e.cfg.Store.CompareAndSwap(ctx, free, claim)
	if !errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return token, err
	}
	// The write may have been applied, or may still be applied later. Reading the key
	// shows whether it has been. If not, the caller revokes the lease, so that a late
	// write fails.
	entry, readErr := e.cfg.Store.Get(ctx, LeaderKey)
	if readErr != nil {
		return 0, fmt.Errorf("%w: %w; read the leader key: %w", errUnresolved, err, readErr)
	}
	if entry.Version != 0 && entry.Lease == id {
		return entry.Version, nil
	}
	return 0, err
}
