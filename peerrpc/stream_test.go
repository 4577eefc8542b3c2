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

// fakePeer is a node whose answers to heartbeats and users' requests a test defines.
type fakePeer struct {
	answer     func(r Request) Answer
	answerUser func(r Request) Answer
	*memnet.Listener
	dials  atomic.Int32
	writes atomic.Int32 // of the dialing side
	down   atomic.Bool  // dials fail
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

// counted is a connection that counts its writes in n.
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

// Hundreds of heartbeats must share one connection with few writes. A delayed answer must not delay
// the other heartbeats, and each heartbeat must get its own answer.
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
		var prompt, wrong atomic.Int32
		for i := range 300 {
			go func() {
				name := fmt.Sprintf("host-%d", i)
				a, err := l.Forward(t.Context(), Request{Body: []byte(name)})
				if err != nil || string(a.Body) != "for "+name {
					wrong.Add(1)
				}
				if time.Since(begun) < 100*time.Millisecond {
					prompt.Add(1)
				}
			}()
		}
		time.Sleep(3 * time.Second)
		if wrong.Load() != 0 || prompt.Load() != 299 {
			t.Errorf("got %d wrong answers and %d prompt ones of 300, want 0 and 299", wrong.Load(), prompt.Load())
		}
		if f.dials.Load() != 1 || f.writes.Load() > 10 {
			t.Errorf("got %d connections and %d writes for 300 heartbeats, want 1 and at most 10", f.dials.Load(), f.writes.Load())
		}
	})
}

// A late answer must not close the connection while other answers arrive. A connection on which
// nothing arrives must be closed, and a later heartbeat must dial a new one.
func TestSilentStreamIsDroppedAndRedialled(t *testing.T) {
	withStream(t, func(t *testing.T, l *HeartbeatStream, f *fakePeer) {
		t.Helper()
		var silent atomic.Bool
		wait := make(chan struct{})
		f.answer = func(r Request) Answer {
			if silent.Load() || string(r.Body) == "late" {
				<-wait
			}
			return Answer{Status: 200}
		}
		late := make(chan error, 1)
		go func() { _, err := l.Forward(t.Context(), Request{Body: []byte("late")}); late <- err }()
		for range 8 {
			if _, err := l.Forward(t.Context(), Request{}); err != nil {
				t.Errorf("another heartbeat's late answer caused: %v", err)
			}
			time.Sleep(400 * time.Millisecond)
		}
		if err := <-late; err == nil || f.dials.Load() != 1 || !l.Reachable() {
			t.Errorf("late heartbeat: got error %v and %d connections, want a timeout and 1", err, f.dials.Load())
		}
		silent.Store(true)
		if _, err := l.Forward(t.Context(), Request{}); err == nil || l.Reachable() {
			t.Errorf("the silent connection is kept (error %v)", err)
		}
		silent.Store(false)
		close(wait)
		time.Sleep(2 * time.Second)
		if _, err := l.Forward(t.Context(), Request{}); err != nil || f.dials.Load() != 2 {
			t.Errorf("after the silence: got error %v and %d connections, want none and 2", err, f.dials.Load())
		}
	})
}

// The number of heartbeats in flight must be bounded. During the backoff after a failure, heartbeats
// must fail at once, so that not each of a thousand workers causes a dial.
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
			t.Errorf("got %d rejected and %d in flight of 700 heartbeats, want 200 and 500", busy.Load(), l.InFlight())
		}
		close(wait)
		time.Sleep(5 * time.Second)
		l.Close()
		f.down.Store(true)
		time.Sleep(2 * time.Second)
		if _, err := l.Forward(t.Context(), Request{}); err == nil || l.Reachable() {
			t.Error("an unreachable node counts as reachable")
		}
		begun := time.Now()
		if _, err := l.Forward(t.Context(), Request{}); err == nil || time.Since(begun) > 0 {
			t.Errorf("during the backoff: got error %v after %v, want an error at once", err, time.Since(begun))
		}
	})
}

// Data written during a slow flush must not overwrite the data that is being sent. Formerly it
// did if flushLoop had woken up without data to send.
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
			write(10, "a") // sent by one flush together with the next write
			time.Sleep(2 * time.Millisecond)
			write(10, "b") // leaves an item in pending without data
			time.Sleep(20 * time.Millisecond)
			write(9000, "c") // takes 90 ms to send
			time.Sleep(8 * time.Millisecond)
			write(8000+i, "d")
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		g.Close()
		<-done
		if string(got) != string(want) {
			t.Errorf("%d bytes arrived of %d written, or their content differs", len(got), len(want))
		}
	})
}
