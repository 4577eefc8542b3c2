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
	// gatherFor is how long what is written waits for more to go along: a few
	// hundred reports a second become some tens of packets.
	gatherFor = 5 * time.Millisecond
	// gatherMost is how much may wait to be written. A node that reads nothing
	// any more costs this much memory and no more.
	gatherMost = 2 << 20
	// laneQuiet is how long a lane with requests under way may bring nothing at
	// all before it counts as dead. One answer that is late says nothing.
	laneQuiet = 1500 * time.Millisecond
	// laneFor is how long a report that is passed on waits for its answer: the
	// worker gives up after 4 s.
	laneFor = 3 * time.Second
	// answerFor is how long an answer may take to be written.
	answerFor = 5 * time.Second
)

var errFull = errors.New("mesh: too much waits to be written")

// gathering is a connection whose writes are gathered and never block.
type gathering struct {
	net.Conn
	lastRead atomic.Int64 // unix nanoseconds

	mu   sync.Mutex
	buf  []byte
	err  error
	more chan struct{}
	end  chan struct{}
	once sync.Once
}

func gather(c net.Conn) *gathering {
	g := &gathering{Conn: c, more: make(chan struct{}, 1), end: make(chan struct{})}
	g.lastRead.Store(time.Now().UnixNano())
	go g.pump()
	return g
}

func (g *gathering) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if err != nil {
		g.Close() // net/rpc closes it only when the next request finds it dead
		return n, err
	}
	g.lastRead.Store(time.Now().UnixNano())
	return n, nil
}

func (g *gathering) quiet() time.Duration { return time.Since(time.Unix(0, g.lastRead.Load())) }

func (g *gathering) Write(b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err == nil && len(g.buf)+len(b) > gatherMost {
		g.err = errFull
	}
	if g.err != nil {
		return 0, g.err
	}
	g.buf = append(g.buf, b...)
	select {
	case g.more <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (g *gathering) pump() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []byte
	for {
		select {
		case <-g.end:
			return
		case <-g.more:
		}
		timer.Reset(gatherFor)
		select {
		case <-g.end:
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
			_ = g.Conn.SetWriteDeadline(time.Now().Add(answerFor)) // fails only where the connection is closed
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

func (g *gathering) Close() error {
	g.once.Do(func() { close(g.end) })
	return g.Conn.Close()
}

// Lane carries workers' reports to another node: many at once over one
// connection of its own, each answered by itself and in any order, so that a
// report whose answer is held back holds up no other, and a request of a user's
// never stands behind a thousand reports.
type Lane struct {
	Name string
	addr string
	dial call.DialFunc

	dialing chan struct{}
	under   chan struct{} // bounds the reports under way

	mu   sync.Mutex
	c    *rpc.Client
	conn *gathering
	bad  time.Time // no dialling before this
	ok   time.Time // when it last brought an answer
}

// NewLane makes a lane for at most so many reports at once.
func NewLane(name, addr string, dial call.DialFunc, atOnce int) *Lane {
	return &Lane{Name: name, addr: addr, dial: dial, dialing: make(chan struct{}, 1), under: make(chan struct{}, max(1, atOnce))}
}

// Under is how many reports are under way.
func (l *Lane) Under() int { return len(l.under) }

// Reach says whether a report that is passed on now has a chance: false for a
// moment after the node was not reached.
func (l *Lane) Reach() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.c != nil || !time.Now().Before(l.bad)
}

func (l *Lane) current() (*rpc.Client, *gathering, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c == nil && time.Now().Before(l.bad) {
		return nil, nil, fmt.Errorf("mesh: %s was not reached a moment ago", l.Name)
	}
	return l.c, l.conn, nil
}

func (l *Lane) client(ctx context.Context) (*rpc.Client, *gathering, error) {
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
		l.bad = time.Now().Add(time.Second)
		return nil, nil, fmt.Errorf("mesh: %w", err)
	}
	l.conn = gather(conn)
	l.c = rpc.NewClient(l.conn)
	return l.c, l.conn, nil
}

// Report passes a worker's report on and waits for the answer, at most as long
// as the worker does. ErrBusy: too many are under way.
func (l *Lane) Report(ctx context.Context, r Request) (a Answer, err error) {
	select {
	case l.under <- struct{}{}:
		defer func() { <-l.under }()
	default:
		return a, fmt.Errorf("%s: %w", l.Name, ErrBusy)
	}
	c, g, err := l.client(ctx)
	if err != nil {
		return a, err
	}
	ctx, cancel := context.WithTimeout(ctx, laneFor)
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
	case errors.As(err, &server), late && g.quiet() < laneQuiet:
	default:
		l.drop(c)
	}
	return a, fmt.Errorf("mesh: report by way of %s: %w", l.Name, err)
}

// drop gives a connection up that brings nothing any more.
func (l *Lane) drop(c *rpc.Client) {
	l.mu.Lock()
	if l.c == c {
		l.c, l.conn = nil, nil
		l.bad = time.Now().Add(time.Second)
	}
	l.mu.Unlock()
	c.Close()
}

// Close ends the lane's connection.
func (l *Lane) Close() {
	l.mu.Lock()
	c := l.c
	l.mu.Unlock()
	if c != nil {
		l.drop(c)
	}
}
