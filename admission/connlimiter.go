package admission

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is whose a connection is, as far as its first request has shown.
type Kind int

// Kinds of connections.
const (
	KindUnknown Kind = iota
	KindUser
	KindWorker
	kindCount
)

// ConnLimiter is a listener that counts its connections by kind and holds a part of
// the machine's sockets back: a node whose every socket is a worker's can't
// renew its own lease. Connections that wait to be accepted hold sockets too, so
// the door takes all of them at once and closes what is beyond its limit, where
// a listener that stops accepting only hides them.
type ConnLimiter struct {
	net.Listener
	limit    int
	counts   [kindCount]atomic.Int64
	total    atomic.Int64
	rejected atomic.Uint64
}

// NewConnLimiter makes a door for at most so many connections.
func NewConnLimiter(l net.Listener, most int) *ConnLimiter {
	return &ConnLimiter{Listener: l, limit: max(8, most)}
}

// Accept returns the next connection that there is room for.
func (d *ConnLimiter) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if d.total.Add(1) > int64(d.limit) {
			d.total.Add(-1)
			d.rejected.Add(1)
			_ = c.Close() // nothing was promised to it
			continue
		}
		d.counts[KindUnknown].Add(1)
		return &Conn{Conn: c, limiter: d}, nil
	}
}

// Count is how many connections of a kind there are.
func (d *ConnLimiter) Count(k Kind) int { return int(d.counts[k].Load()) }

// Total is how many connections there are.
func (d *ConnLimiter) Total() int { return int(d.total.Load()) }

// Rejected is how many connections were closed for want of room so far.
func (d *ConnLimiter) Rejected() uint64 { return d.rejected.Load() }

// Conn is a connection through a door.
type Conn struct {
	net.Conn
	limiter *ConnLimiter

	mu     sync.Mutex
	kind   Kind
	closed bool
}

// SetKind notes whose the connection is.
func (c *Conn) SetKind(k Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.kind == k {
		return
	}
	c.limiter.counts[c.kind].Add(-1)
	c.limiter.counts[k].Add(1)
	c.kind = k
}

// Close closes the connection and gives its place back.
func (c *Conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.limiter.counts[c.kind].Add(-1)
		c.limiter.total.Add(-1)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// ConnContext is an http.Server's ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if dc, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, dc)
	}
	return ctx
}

// ConnFromContext is the connection that a request came with, nil if through no door.
func ConnFromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// ReplyTimes remembers when workers were last answered.
type ReplyTimes struct {
	mu    sync.Mutex
	last  map[string]time.Time
	limit int
}

// NewReplyTimes remembers at most so many workers.
func NewReplyTimes(most int) *ReplyTimes {
	return &ReplyTimes{last: map[string]time.Time{}, limit: max(16, most)}
}

// Record takes in that a worker was answered.
func (a *ReplyTimes) Record(worker string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.last) >= a.limit {
		a.forget(now)
	}
	a.last[worker] = now
}

// forget drops the older half of what there is.
func (a *ReplyTimes) forget(now time.Time) {
	var sum time.Duration
	for _, t := range a.last {
		sum += now.Sub(t)
	}
	mean := sum / time.Duration(len(a.last))
	for w, t := range a.last {
		if now.Sub(t) >= mean {
			delete(a.last, w)
		}
	}
}

// Since says how long ago a worker was answered; false if that is not known.
func (a *ReplyTimes) Since(worker string, now time.Time) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.last[worker]
	return now.Sub(t), ok
}

// CountWithin is how many workers were answered within d.
func (a *ReplyTimes) CountWithin(now time.Time, d time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, t := range a.last {
		if now.Sub(t) <= d {
			n++
		}
	}
	return n
}
