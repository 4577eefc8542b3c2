package peerrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
)

const (
	// flushDelay is how long what is written waits for more to go along: a few
	// hundred reports a second become some tens of packets.
	flushDelay = 5 * time.Millisecond
	// maxBuffered is how much may wait to be written. A node that reads nothing
	// any more costs this much memory and no more.
	maxBuffered = 2 << 20
	// streamSilence is how long a lane with requests under way may bring nothing at
	// total before it counts as dead. One answer that is late says nothing.
	streamSilence = 1500 * time.Millisecond
	// forwardTimeout is how long a report that is passed on waits for its answer: the
	// worker gives up after 4 s.
	forwardTimeout = 3 * time.Second
	// writeTimeout is how long an answer may take to be written.
	writeTimeout = 5 * time.Second
)

var errWriteBufferFull = errors.New("mesh: too much waits to be written")

// batchingConn is a connection whose writes are gathered and never block.
type batchingConn struct {
	net.Conn
	lastRead atomic.Int64 // unix nanoseconds

	mu        sync.Mutex
	buf       []byte
	err       error
	pending   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func newBatchingConn(c net.Conn) *batchingConn {
	g := &batchingConn{Conn: c, pending: make(chan struct{}, 1), closed: make(chan struct{})}
	g.lastRead.Store(time.Now().UnixNano())
	go g.flushLoop()
	return g
}

func (g *batchingConn) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if err != nil {
		g.Close() // net/rpc closes it only when the next request finds it dead
		return n, err
	}
	g.lastRead.Store(time.Now().UnixNano())
	return n, nil
}

func (g *batchingConn) sinceLastRead() time.Duration {
	return time.Since(time.Unix(0, g.lastRead.Load()))
}

func (g *batchingConn) Write(b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err == nil && len(g.buf)+len(b) > maxBuffered {
		g.err = errWriteBufferFull
	}
	if g.err != nil {
		return 0, g.err
	}
	g.buf = append(g.buf, b...)
	select {
	case g.pending <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (g *batchingConn) flushLoop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []byte
	for {
		select {
		case <-g.closed:
			return
		case <-g.pending:
		}
		timer.Reset(flushDelay)
		select {
		case <-g.closed:
			return
		case <-timer.C:
		}
		// The two buffers change places, and neither may be in both: what is
		// written next would go over what is on its way.
		g.mu.Lock()
		out := g.buf
		g.buf, spare = spare[:0], nil
		g.mu.Unlock()
		if len(out) > 0 {
			_ = g.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only where the connection is closed
			if _, err := g.Conn.Write(out); err != nil {
				g.mu.Lock()
				g.err = err
				g.mu.Unlock()
				g.Close()
				return
			}
		}
		if cap(out) <= 256<<10 {
			spare = out
		}
	}
}

func (g *batchingConn) Close() error {
	g.closeOnce.Do(func() { close(g.closed) })
	return g.Conn.Close()
}

// HeartbeatStream carries workers' reports to another node: many at once over one
// connection of its own, each answered by itself and in any order, so that a
// report whose answer is held back holds up no other, and a request of a user's
// never stands behind a thousand reports.
type HeartbeatStream struct {
	Name string
	addr string
	dial call.DialFunc

	dialing  chan struct{}
	inFlight chan struct{} // bounds the reports under way

	mu        sync.Mutex
	rpcClient *rpc.Client
	conn      *batchingConn
	redialAt  time.Time // no dialling before this
	ok        time.Time // when it last brought an answer
}

// NewHeartbeatStream makes a lane for at most so many reports at once.
func NewHeartbeatStream(name, addr string, dial call.DialFunc, atOnce int) *HeartbeatStream {
	return &HeartbeatStream{Name: name, addr: addr, dial: dial, dialing: make(chan struct{}, 1), inFlight: make(chan struct{}, max(1, atOnce))}
}

// InFlight is how many reports are under way.
func (l *HeartbeatStream) InFlight() int { return len(l.inFlight) }

// Reachable says whether a report that is passed on now has a chance: false for a
// moment after the node was not reached.
func (l *HeartbeatStream) Reachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rpcClient != nil || !time.Now().Before(l.redialAt)
}

func (l *HeartbeatStream) current() (*rpc.Client, *batchingConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpcClient == nil && time.Now().Before(l.redialAt) {
		return nil, nil, fmt.Errorf("mesh: %s was not reached a moment ago", l.Name)
	}
	return l.rpcClient, l.conn, nil
}

func (l *HeartbeatStream) connect(ctx context.Context) (*rpc.Client, *batchingConn, error) {
	if c, g, err := l.current(); c != nil || err != nil {
		return c, g, err
	}
	ctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
	defer cancel()
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, nil, fmt.Errorf("mesh: %s: %w", l.Name, ctx.Err())
	}
	if c, g, err := l.current(); c != nil || err != nil {
		return c, g, err
	}
	conn, err := l.dial(ctx, "tcp", l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.redialAt = time.Now().Add(time.Second)
		return nil, nil, fmt.Errorf("mesh: %w", err)
	}
	l.conn = newBatchingConn(conn)
	l.rpcClient = rpc.NewClient(l.conn)
	return l.rpcClient, l.conn, nil
}

// Forward passes a worker's report on and waits for the answer, at most as long
// as the worker does. ErrBusy: too many are under way.
func (l *HeartbeatStream) Forward(ctx context.Context, r Request) (a Answer, err error) {
	select {
	case l.inFlight <- struct{}{}:
		defer func() { <-l.inFlight }()
	default:
		return a, fmt.Errorf("%s: %w", l.Name, ErrOverloaded)
	}
	c, g, err := l.connect(ctx)
	if err != nil {
		return a, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	said := c.Go("Mesh.Report", r, new(Answer), make(chan *rpc.Call, 1))
	var late bool
	select {
	case <-said.Done:
		err = said.Error
	case <-ctx.Done():
		err, late = ctx.Err(), true
	}
	var server rpc.ServerError
	switch {
	case err == nil:
		l.mu.Lock()
		l.ok = time.Now()
		l.mu.Unlock()
		return *said.Reply.(*Answer), nil
	case errors.As(err, &server), late && g.sinceLastRead() < streamSilence:
	default:
		l.drop(c)
	}
	return a, fmt.Errorf("mesh: report by way of %s: %w", l.Name, err)
}

// drop gives a connection up that brings nothing any more.
func (l *HeartbeatStream) drop(c *rpc.Client) {
	l.mu.Lock()
	if l.rpcClient == c {
		l.rpcClient, l.conn = nil, nil
		l.redialAt = time.Now().Add(time.Second)
	}
	l.mu.Unlock()
	c.Close()
}

// Close ends the lane's connection.
func (l *HeartbeatStream) Close() {
	l.mu.Lock()
	c := l.rpcClient
	l.mu.Unlock()
	if c != nil {
		l.drop(c)
	}
}
