package peerrpc

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/internal/memnet"
)

// slowRequest is the id of a request that a fake peer takes long to answer.
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
		time.Sleep(2 * time.Minute) // the slow handlers end
	})
}

// What happened: in a saturated cluster one forwarded request took longer than its caller waited. That
// counted as a failure of the node, so that for seconds two nodes wrote to the same job pages and made
// each other's transactions conflict, and it closed the connection on which all other forwarded requests
// waited: `write not forwarded` five times in the same instant, with "i/o timeout".
//
// A call that times out while the node answers others must fail alone.
func TestSlowCallFailsAloneWhileThePeerAnswersOthers(t *testing.T) {
	withPeer(t, func(t *testing.T, p *Peer, f *fakePeer) {
		t.Helper()
		var wg sync.WaitGroup
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if _, err := p.ForwardUserRequest(ctx, Request{ID: slowRequest}); err == nil {
				t.Error("the slow call succeeded")
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
			t.Error("the node counts as failed")
		}
		wg.Wait()
		if dials := f.dials.Load(); dials != 1 {
			t.Errorf("%d connections were made", dials)
		}
	})
}

// A node that answers nobody counts as failed as soon as a call times out.
func TestSilentPeerCountsAsFailed(t *testing.T) {
	withPeer(t, func(t *testing.T, p *Peer, _ *fakePeer) {
		t.Helper()
		if _, err := p.ForwardUserRequest(t.Context(), Request{ID: "quick"}); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := p.ForwardUserRequest(ctx, Request{ID: slowRequest}); err == nil {
			t.Error("the slow call succeeded")
		}
		if p.FailedAt().IsZero() {
			t.Error("the node does not count as failed")
		}
	})
}
