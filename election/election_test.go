package election

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// slowStore is a key-value store with a single lease. A renewal takes the time given by renewal.
type slowStore struct {
	renewal time.Duration

	mu      sync.Mutex
	entry   wire.Entry
	revoked time.Time
}

func (s *slowStore) Get(context.Context, string) (wire.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entry, nil
}

func (s *slowStore) ListPage(context.Context, string, string, int) (wire.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.Listing{Items: []wire.Entry{s.entry}, Revision: s.entry.Version}, nil
}

// revokedAt returns when the lease was revoked, or zero if it was not.
func (s *slowStore) revokedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revoked
}

func (s *slowStore) CompareAndSwap(_ context.Context, _ []wire.Guard, ops []wire.Op) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entry.Version != 0 || !s.revoked.IsZero() {
		return 0, &kvstore.ConflictError{FailedKeys: []string{LeaderKey}}
	}
	raw, err := wire.Marshal(ops[0].Value)
	s.entry = wire.Entry{Key: LeaderKey, Value: raw, Version: 5, Lease: ops[0].Lease}
	return 5, err
}

func (s *slowStore) GrantLease(context.Context, time.Duration) (uint64, error) { return 7, nil }

func (s *slowStore) RenewLease(context.Context, uint64) error {
	if !s.revokedAt().IsZero() {
		return kvstore.ErrLeaseNotFound
	}
	time.Sleep(s.renewal)
	return nil
}

// RevokeLease revokes the lease at once, but its answer is lost.
func (s *slowStore) RevokeLease(ctx context.Context, _ uint64) error {
	s.mu.Lock()
	if s.revoked.IsZero() {
		s.revoked, s.entry = time.Now(), wire.Entry{}
	}
	s.mu.Unlock()
	<-ctx.Done()
	return kvstore.ErrOutcomeUnknown
}

func (s *slowStore) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (wire.Events, error) {
	<-ctx.Done()
	return wire.Events{}, ctx.Err()
}

// A leader resigns while a renewal is in flight. The answer to the renewal must not make its lease
// valid again, because the lease is being revoked and another node may be elected at once.
func TestRenewalInFlightDoesNotReviveResignedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{renewal: 100 * time.Millisecond}
		leads := make(chan *Lease, 1)
		e := New(Config{Store: s, Node: "n-0", LeaseTTL: 7 * time.Second, ClockDrift: 0.0005, Log: slog.New(slog.DiscardHandler),
			Lead: func(ctx context.Context, lease *Lease, ready func()) error {
				ready()
				leads <- lease
				<-ctx.Done()
				return errors.New("over")
			},
			ReadBarrier: func(context.Context, *Lease) error { return nil }})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); e.Run(ctx) }()
		lease := <-leads
		for !lease.Valid() {
			time.Sleep(time.Millisecond)
		}
		// The next renewal is sent a fifth of the TTL after the first one; wait until it is in flight.
		time.Sleep(e.cfg.LeaseTTL/5 + s.renewal/2)
		synctest.Wait()
		lease.Resign()
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if lease.Valid() {
				t.Errorf("the resigned lease is valid again, %v after it was revoked", time.Since(s.revokedAt()))
				break
			}
		}
		if s.revokedAt().IsZero() {
			t.Error("the resigned lease was not revoked")
		}
		cancel()
		<-done
	})
}

// A renewal was in flight when the leader resigned, for example because a worker had seen a higher
// token. The renewal made the lease valid again. During the revocation, which may take 2 s, the
// old leader answered workers at the same time as the next one.
func TestResignedLeaseStaysResigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lease := NewLease(7, 1, time.Now())
		if lease.Valid() {
			t.Error("the lease is valid before the first Extend")
		}
		lease.Extend(time.Now().Add(10 * time.Second))
		time.Sleep(9999 * time.Millisecond)
		if !lease.Valid() {
			t.Error("the lease is invalid before its expiry")
		}
		if time.Sleep(time.Millisecond); lease.Valid() {
			t.Error("the lease is valid after its expiry")
		}
		lease.Extend(time.Now().Add(10 * time.Second))
		lease.Resign()
		lease.Extend(time.Now().Add(10 * time.Second))
		if lease.Valid() {
			t.Error("a renewal made a resigned lease valid again")
		}
	})
}
