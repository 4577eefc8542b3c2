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

// held is a state service with one lease, which takes its time for renewals.
type held struct {
	renewal time.Duration

	mu       sync.Mutex
	entry    wire.Entry
	released time.Time
}

func (h *held) Get(context.Context, string) (wire.Entry, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entry, nil
}

// ended is when the lease was released: zero if it was not.
func (h *held) ended() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.released
}

func (h *held) CompareAndSwap(_ context.Context, _ []wire.Guard, ops []wire.Op) (uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entry.Version != 0 || !h.released.IsZero() {
		return 0, &kvstore.ConflictError{FailedKeys: []string{LeaderKey}}
	}
	raw, err := wire.Marshal(ops[0].Value)
	h.entry = wire.Entry{Key: LeaderKey, Value: raw, Version: 5, Lease: ops[0].Lease}
	return 5, err
}

func (h *held) GrantLease(context.Context, time.Duration) (uint64, error) { return 7, nil }

func (h *held) RenewLease(context.Context, uint64) error {
	if !h.ended().IsZero() {
		return kvstore.ErrLeaseNotFound
	}
	time.Sleep(h.renewal)
	return nil
}

// RevokeLease ends the lease at once, and its answer is lost.
func (h *held) RevokeLease(ctx context.Context, _ uint64) error {
	h.mu.Lock()
	if h.released.IsZero() {
		h.released, h.entry = time.Now(), wire.Entry{}
	}
	h.mu.Unlock()
	<-ctx.Done()
	return kvstore.ErrOutcomeUnknown
}

func (h *held) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) (wire.Events, error) {
	<-ctx.Done()
	return wire.Events{}, ctx.Err()
}

// A leader that gives up while a renewal is on its way stays what it is then: its
// id is released, and another may lead at once.
func TestARenewalOnItsWayRevivesNoTermThatWasGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &held{renewal: 100 * time.Millisecond}
		leads := make(chan *Lease, 1)
		e := &Elector{Store: h, Node: "n-0", LeaseTTL: 7 * time.Second, ClockDrift: 0.0005, Log: slog.New(slog.DiscardHandler),
			Lead: func(ctx context.Context, term *Lease, ready func()) error {
				ready()
				leads <- term
				<-ctx.Done()
				return errors.New("over")
			},
			ReadBarrier: func(context.Context, *Lease) error { return nil }}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); e.Run(ctx) }()
		term := <-leads
		for !term.Valid() {
			time.Sleep(time.Millisecond)
		}
		// A fifth of the lease after the first renewal the next one is sent.
		time.Sleep(e.LeaseTTL/5 + h.renewal/2)
		synctest.Wait()
		term.Resign()
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			if term.Valid() {
				t.Errorf("valid again; the lease was released %v ago", time.Since(h.ended()))
				break
			}
		}
		if h.ended().IsZero() {
			t.Error("the lease was not released")
		}
		cancel()
		<-done
	})
}

// A renewal was under way when the leader resigned, for a worker that had seen a
// higher token, say. It made the term valid again: while the lease was being ended,
// which may take 2 s, workers were answered beside the next leader.
func TestATermThatWasGivenUpStaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := NewLease(7, 1, time.Now())
		if term.Valid() {
			t.Error("valid before any renewal")
		}
		term.Extend(time.Now().Add(10 * time.Second))
		time.Sleep(9999 * time.Millisecond)
		if !term.Valid() {
			t.Error("not valid within its time")
		}
		if time.Sleep(time.Millisecond); term.Valid() {
			t.Error("valid beyond its time")
		}
		term.Extend(time.Now().Add(10 * time.Second))
		term.Resign()
		term.Extend(time.Now().Add(10 * time.Second))
		if term.Valid() {
			t.Error("a renewal that was under way brought a term back that was given up")
		}
	})
}
