package election

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
)

const (
	// renewalsPerTTL is how many times a valid lease is renewed per TTL.
	renewalsPerTTL = 5
	// renewRetryInterval is the pause between renewals while they fail or while
	// Config.Lead is not ready.
	renewRetryInterval = 250 * time.Millisecond
	// validityMargin is subtracted from a renewal's validity, on top of clock drift.
	validityMargin = 20 * time.Millisecond
	// resignTimeout bounds the revocation of a resigned lease.
	resignTimeout = 2 * time.Second
)

// errSuperseded means that the leader key no longer has the revision written under this
// lease. Another node may have been elected since.
var errSuperseded = fmt.Errorf("the leader key has another revision: %w", kvstore.ErrLeaseNotFound)

// lead runs Config.Lead and renews the lease until the lease is lost or resigned, or
// ctx ends. It does not return before Config.Lead has returned.
func (e *Elector) lead(ctx context.Context, lease *Lease) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	ready := make(chan struct{})
	setReady := sync.OnceFunc(func() { close(ready) })
	wg.Go(func() {
		if err := e.cfg.Lead(ctx, lease, setReady); err != nil && ctx.Err() == nil {
			e.cfg.Log.Info("resigning leadership", "err", err)
			lease.Resign()
		}
	})
	defer wg.Wait()
	defer cancel()
	r := renewal{elector: e, lease: lease}
	for {
		select {
		case <-ctx.Done():
			return
		case <-lease.resignC:
			e.revokeResigned(ctx, lease)
			return
		case <-ready:
			ready, r.ready = nil, true
		default:
		}
		err := r.renew(ctx)
		if errors.Is(err, kvstore.ErrLeaseNotFound) {
			lease.Resign()
			continue
		}
		timer := time.NewTimer(r.interval(err))
		select {
		case <-ctx.Done():
		case <-lease.resignC:
		case <-ready:
			ready, r.ready = nil, true
		case <-timer.C:
		}
		timer.Stop()
	}
}

// revokeResigned revokes the lease in the store, so that the next leader need not wait
// for its expiry. It does so even if ctx ends because the node shuts down.
func (e *Elector) revokeResigned(ctx context.Context, lease *Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resignTimeout)
	defer cancel()
	_ = e.cfg.Store.RevokeLease(ctx, lease.id) // if this fails, the lease expires by itself
}

// renewal renews one lease. Only the goroutine that runs lead uses it.
type renewal struct {
	elector *Elector
	lease   *Lease
	ready   bool // Config.Lead can act as the leader
	wasHeld bool // the lease has been valid before
}

// interval returns the time until the next renewal, given the last one's error.
func (r *renewal) interval(err error) time.Duration {
	if err != nil || !r.ready {
		return renewRetryInterval
	}
	return r.elector.cfg.LeaseTTL / renewalsPerTTL
}

// renew renews the store's lease and, once the leader is ready, extends the Lease
// accordingly. Validity counts from before the renewal is sent, because the store's TTL
// may start at any moment between the sending and the answer.
func (r *renewal) renew(ctx context.Context) error {
	sent := time.Now()
	err := r.confirm(ctx)
	switch {
	case errors.Is(err, kvstore.ErrLeaseNotFound):
	case err != nil:
		r.elector.cfg.Log.Debug("lease not renewed", "err", err)
	case r.ready:
		r.extend(sent)
	}
	return err
}

func (r *renewal) extend(sent time.Time) {
	cfg := &r.elector.cfg
	wasValid := r.lease.Valid()
	if !wasValid && r.wasHeld {
		cfg.Log.Info("lease valid again", "token", r.lease.FencingToken)
	}
	r.wasHeld = true
	validity := time.Duration(float64(cfg.LeaseTTL)*(1-2*cfg.ClockDrift)) - validityMargin
	r.lease.Extend(sent.Add(validity))
	if !wasValid {
		r.elector.notify()
	}
}

// confirm renews the store's lease and, once the leader is ready, runs the read barrier,
// so that the leader's state is at least as recent as the renewal.
func (r *renewal) confirm(ctx context.Context) error {
	cfg := &r.elector.cfg
	if err := cfg.Store.RenewLease(ctx, r.lease.id); err != nil {
		return fmt.Errorf("renew the lease: %w", err)
	}
	if !r.ready {
		return nil
	}
	if r.wasHeld && !r.lease.Valid() {
		// While the lease was invalid, the key may have been deleted and written again.
		// It must still have this lease's revision.
		entry, err := cfg.Store.Get(ctx, LeaderKey)
		if err != nil {
			return fmt.Errorf("read the leader key: %w", err)
		}
		if entry.Version != r.lease.FencingToken {
			return errSuperseded
		}
	}
	if err := cfg.ReadBarrier(ctx, r.lease); err != nil {
		return fmt.Errorf("read barrier: %w", err)
	}
	return nil
}
