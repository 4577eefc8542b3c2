package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/internal/memnet"
)

// fakePeer is a node that answers heartbeats as a test says.
type fakePeer struct {
	answer     func(r Request) Answer
	answerUser func(r Request) Answer
	*memnet.Listener
	dials  atomic.Int32
	writes atomic.Int32 // of the stream
	down   atomic.Bool
}

func (f *fakePeer) HandleHeartbeat(_ context.Context, r Request) Answer { return f.answer(r) }
func (f *fakePeer) HandleUserRequest(_ context.Context, r Request) Answer {
	if f.answerUser == nil {
		return Answer{}
	}
	return f.answerUser(r)
}
func (f *fakePeer) Status(Request) Status                         { return Status{} }
func (f *fakePeer) RecoverRecord(context.Context, Request) Answer { return Answer{} }
func (f *fakePeer) Overview() []byte                              { return nil }
func (f *fakePeer) Machines() []byte                              { return nil }

type counted struct {
	net.Conn
	n *atomic.Int32
}

func (c counted) Write(b []byte) (int, error) {
	c.n.Add(1)
	return c.Conn.Write(b)
}

func (f *fakePeer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if f.down.Load() {
		return nil, errors.New("connection refused")
	}
	f.dials.Add(1)
	a, err := f.Dial(ctx, network, addr)
	return counted{a, &f.writes}, err
}

// withStream runs a test in simulated time with a stream to a fake peer.
func withStream(t *testing.T, run func(t *testing.T, l *HeartbeatStream, f *fakePeer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fakePeer{Listener: memnet.Listen(0)}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = Serve(ctx, f, f, 1000) }()
		l := NewHeartbeatStream("n-1", "n-1:81", f.dial, 500)
		run(t, l, f)
		l.Close()
		cancel()
		f.End()
		<-done
	})
}

// Hundreds of heartbeats go over one connection in few packets; one whose answer
// is held back holds up no other, and each gets the answer to its own.
func TestHeartbeatsShareAConnectionAndAreAnsweredIndependently(t *testing.T) {
	withStream(t, func(t *testing.T, l *HeartbeatStream, f *fakePeer) {
		t.Helper()
		f.answer = func(r Request) Answer {
			if string(r.Body) == "host-7" {
				time.Sleep(time.Second)
			}
			return Answer{Status: 200, Body: append([]byte("for "), r.Body...)}
		}
		begun := time.Now()
		var soon, wrong atomic.Int32
		for i := range 300 {
			go func() {
				name := fmt.Sprintf("host-%d", i)
				a, err := l.Forward(t.Context(), Request{Body: []byte(name)})
				if err != nil || string(a.Body) != "for "+name {
					wrong.Add(1)
				}
				if time.Since(begun) < 100*time.Millisecond {
					soon.Add(1)
				}
			}()
		}
		time.Sleep(3 * time.Second)
		if wrong.Load() != 0 || soon.Load() != 299 {
			t.Errorf("%d wrong, %d of 300 at once", wrong.Load(), soon.Load())
		}
		if f.dials.Load() != 1 || f.writes.Load() > 10 {
			t.Errorf("%d connections, %d packets for 300 reports", f.dials.Load(), f.writes.Load())
		}
	})
}

// A late answer says nothing of the connection while others come; a connection
// that brings nothing at all is given up, and the next heartbeat opens another.
func TestSilentStreamIsDroppedAndRedialled(t *testing.T) {
	withStream(t, func(t *testing.T, l *HeartbeatStream, f *fakePeer) {
		t.Helper()
		var still atomic.Bool
		wait := make(chan struct{})
		f.answer = func(r Request) Answer {
			if still.Load() || string(r.Body) == "late" {
				<-wait
			}
			return Answer{Status: 200}
		}
		late := make(chan error, 1)
		go func() { _, err := l.Forward(t.Context(), Request{Body: []byte("late")}); late <- err }()
		for range 8 {
			if _, err := l.Forward(t.Context(), Request{}); err != nil {
				t.Errorf("held up by another's answer: %v", err)
			}
			time.Sleep(400 * time.Millisecond)
		}
		if err := <-late; err == nil || f.dials.Load() != 1 || !l.Reachable() {
			t.Errorf("late: %v; %d connections", err, f.dials.Load())
		}
		still.Store(true)
		if _, err := l.Forward(t.Context(), Request{}); err == nil || l.Reachable() {
			t.Errorf("nothing came, and the connection is kept (%v)", err)
		}
		still.Store(false)
		close(wait)
		time.Sleep(2 * time.Second)
		if _, err := l.Forward(t.Context(), Request{}); err != nil || f.dials.Load() != 2 {
			t.Errorf("not opened again: %v, %d connections", err, f.dials.Load())
		}
	})
}

// What is not reached is not tried by each of a thousand workers, and what is
// under way is bounded.
func TestStreamBoundsHeartbeatsInFlightAndBacksOff(t *testing.T) {
	withStream(t, func(t *testing.T, l *HeartbeatStream, f *fakePeer) {
		t.Helper()
		wait := make(chan struct{})
		f.answer = func(Request) Answer { <-wait; return Answer{Status: 200} }
		var busy atomic.Int32
		for range 700 {
			go func() {
				if _, err := l.Forward(t.Context(), Request{}); errors.Is(err, ErrOverloaded) {
					busy.Add(1)
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		if busy.Load() != 200 || l.InFlight() != 500 {
			t.Errorf("%d turned away, %d under way, of 700 with room for 500", busy.Load(), l.InFlight())
		}
		close(wait)
		time.Sleep(5 * time.Second)
		l.Close()
		f.down.Store(true)
		time.Sleep(2 * time.Second)
		if _, err := l.Forward(t.Context(), Request{}); err == nil || l.Reachable() {
			t.Error("a node that is not reached counts as reached")
		}
		begun := time.Now()
		if _, err := l.Forward(t.Context(), Request{}); err == nil || time.Since(begun) > 0 {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
	})
}

// What is written while the connection is slow must not go over what is on its
// way; it did after a wake-up that found nothing to write.
func TestBatchedWritesArriveInOrderOverSlowConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		g := newBatchingConn(a)
		var want, got []byte
		done := make(chan struct{})
		go func() {
			defer close(done)
			buf := make([]byte, 100)
			for {
				time.Sleep(time.Millisecond)
				n, err := b.Read(buf)
				if got = append(got, buf[:n]...); err != nil {
					return
				}
			}
		}()
		write := func(n int, what string) {
			line := []byte(strings.Repeat(what, n))
			want = append(want, line...)
			if _, err := g.Write(line); err != nil {
				t.Error(err)
			}
		}
		for i := range 20 {
			write(10, "a") // taken by one wake-up, with the next,
			time.Sleep(2 * time.Millisecond)
			write(10, "b") // which leaves a wake-up for nothing
			time.Sleep(20 * time.Millisecond)
			write(9000, "c") // 90 ms under way
			time.Sleep(8 * time.Millisecond)
			write(8000+i, "d")
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		g.Close()
		<-done
		if string(got) != string(want) {
			t.Errorf("%d bytes were written and %d arrived, or others", len(want), len(got))
		}
	})
}
