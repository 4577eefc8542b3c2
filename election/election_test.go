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

// slowStore is a key-value store with one lease, which takes its time for renewals.
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

// revokedAt is when the lease was revoked: zero if it was not.
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

// RevokeLease revokes the lease at once, and its answer is lost.
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

// A leader that resigns while a renewal is in flight must not become leader again by
// it: its lease is revoked, and another may lead at once.
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
		// A fifth of the lease after the first renewal the next one is sent.
		time.Sleep(e.cfg.LeaseTTL/5 + s.renewal/2)
		synctest.Wait()
		lease.Resign()
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if lease.Valid() {
				t.Errorf("valid again; the lease was released %v ago", time.Since(s.revokedAt()))
				break
			}
		}
		if s.revokedAt().IsZero() {
			t.Error("the lease was not released")
		}
		cancel()
		<-done
	})
}

// A renewal was in flight when the leader resigned, for a worker that had seen a
// higher token, say. It made the lease valid again: while the lease was being revoked,
// which may take 2 s, workers were answered beside the next leader.
func TestResignedLeaseStaysResigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lease := NewLease(7, 1, time.Now())
		if lease.Valid() {
			t.Error("valid before any renewal")
		}
		lease.Extend(time.Now().Add(10 * time.Second))
		time.Sleep(9999 * time.Millisecond)
		if !lease.Valid() {
			t.Error("not valid within its time")
		}
		if time.Sleep(time.Millisecond); lease.Valid() {
			t.Error("valid beyond its time")
		}
		lease.Extend(time.Now().Add(10 * time.Second))
		lease.Resign()
		lease.Extend(time.Now().Add(10 * time.Second))
		if lease.Valid() {
			t.Error("a renewal that was under way brought a term back that was given up")
		}
	})
}
