package peerrpc

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/internal/memnet"
)

// slowRequest is the id of a request that a fake peer answers only after a minute.
const slowRequest = "slow"

// withPeer runs a test in simulated time with a client of a fake peer that answers users' requests
// after 10 ms, and slowRequest after a minute.
func withPeer(t *testing.T, run func(t *testing.T, p *Peer, f *fakePeer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fakePeer{Listener: memnet.Listen(0)}
		f.answerUser = func(r Request) Answer {
			if r.ID == slowRequest {
				time.Sleep(time.Minute)
			}
			time.Sleep(10 * time.Millisecond)
			return Answer{Status: 200}
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = Serve(ctx, f, f, 1000) }()
		run(t, NewPeer("n-1", "n-1:81", f.dial), f)
		cancel()
		f.End()
		<-done
		time.Sleep(2 * time.Minute) // until the handlers of slow requests have ended
	})
}

// A call that times out while the node answers other calls must fail alone. In a saturated cluster, the
// timeout of one forwarded request counted as a failure of the node. For seconds, two nodes then wrote to
// the same job pages and their transactions conflicted. The timeout also closed the connection, so all
// other forwarded requests on it failed (`write not forwarded` five times at once, with "i/o timeout").
func TestSlowCallFailsAloneWhileThePeerAnswersOthers(t *testing.T) {
	withPeer(t, func(t *testing.T, p *Peer, f *fakePeer) {
		t.Helper()
		var wg sync.WaitGroup
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, err := p.ForwardUserRequest(ctx, Request{ID: slowRequest}); err == nil {
				t.Error("the slow call succeeded, want a timeout")
			}
		})
		for n := range 100 {
			wg.Go(func() {
				time.Sleep(time.Duration(n)*20*time.Millisecond + 5*time.Millisecond)
				if _, err := p.ForwardUserRequest(t.Context(), Request{ID: "quick"}); err != nil {
					t.Errorf("call %d: %v", n, err)
				}
			})
		}
		time.Sleep(time.Second + time.Millisecond)
		if !p.FailedAt().IsZero() {
			t.Error("FailedAt is set although the node answers other calls")
		}
		wg.Wait()
		if dials := f.dials.Load(); dials != 1 {
			t.Errorf("got %d connections, want 1", dials)
		}
	})
}

// A node that answers no calls must count as failed as soon as one call times out.
func TestSilentPeerCountsAsFailed(t *testing.T) {
	withPeer(t, func(t *testing.T, p *Peer, _ *fakePeer) {
		t.Helper()
		if _, err := p.ForwardUserRequest(t.Context(), Request{ID: "quick"}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := p.ForwardUserRequest(ctx, Request{ID: slowRequest}); err == nil {
			t.Error("the slow call succeeded, want a timeout")
		}
		if p.FailedAt().IsZero() {
			t.Error("FailedAt is not set after the timeout")
		}
	})
}
