package admission

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
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

// minConns is the least limit of a ConnLimiter.
const minConns = 8

// ConnLimiter is a listener that bounds its open connections, counts them by kind, and
// so holds a part of the machine's sockets back: a node whose every socket is a
// worker's can't renew its own lease. Connections that wait to be accepted hold sockets
// too, so it accepts all of them at once and closes what is beyond its limit, where a
// listener that stops accepting only hides them.
type ConnLimiter struct {
	net.Listener
	limit    int
	counts   [kindCount]atomic.Int64
	total    atomic.Int64
	rejected atomic.Uint64
}

// NewConnLimiter makes a ConnLimiter for at most limit connections.
func NewConnLimiter(l net.Listener, limit int) *ConnLimiter {
	return &ConnLimiter{Listener: l, limit: max(minConns, limit)}
}

// Accept returns the next connection that there is room for, as a *Conn.
func (l *ConnLimiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.total.Add(1) > int64(l.limit) {
			l.total.Add(-1)
			l.rejected.Add(1)
			_ = c.Close() // nothing was promised to it
			continue
		}
		l.counts[KindUnknown].Add(1)
		return &Conn{Conn: c, limiter: l}, nil
	}
}

// Count is how many connections of a kind are open.
func (l *ConnLimiter) Count(k Kind) int { return int(l.counts[k].Load()) }

// Total is how many connections are open.
func (l *ConnLimiter) Total() int { return int(l.total.Load()) }

// Rejected is how many connections were closed for want of room so far.
func (l *ConnLimiter) Rejected() uint64 { return l.rejected.Load() }

// Conn is a connection that a ConnLimiter accepted.
type Conn struct {
	net.Conn
	limiter *ConnLimiter

	mu     sync.Mutex // guards what follows
	kind   Kind
	closed bool
}

// SetKind takes note of whose the connection is.
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

// Close closes the connection and gives its place back. It may be called repeatedly.
func (c *Conn) Close() error {
	c.releasePlace()
	return c.Conn.Close()
}

func (c *Conn) releasePlace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.limiter.counts[c.kind].Add(-1)
	c.limiter.total.Add(-1)
}

type connContextKey struct{}

// ConnContext is the ConnContext of an http.Server whose listener is a ConnLimiter: it
// lets ConnFromContext find the connection of a request.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connContextKey{}, conn)
	}
	return ctx
}

// ConnFromContext returns the connection that a request came with, nil if it did not
// come through a ConnLimiter.
func ConnFromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connContextKey{}).(*Conn)
	return c
}
