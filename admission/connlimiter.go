package admission

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// Kind is the kind of client that opened a connection. It is unknown until the
// connection's first request.
type Kind int

// Kinds of connections.
const (
	KindUnknown Kind = iota
	KindUser
	KindWorker
	kindCount
)

// minConns is the smallest limit of a ConnLimiter.
const minConns = 8

// ConnLimiter is a listener that bounds its open connections and counts them by kind. The
// limit leaves the other sockets of the machine for the node's own calls, since a node
// whose sockets are all used by workers can't renew its lease. It is safe for concurrent
// use.
//
// It accepts connections beyond the limit and closes them at once. A listener that stops
// accepting instead, such as netutil.LimitListener, leaves connections in the kernel's
// accept queue, where they use sockets as well.
type ConnLimiter struct {
	net.Listener
	limit    int
	counts   [kindCount]atomic.Int64
	total    atomic.Int64
	rejected atomic.Uint64
}

// NewConnLimiter returns a ConnLimiter for at most limit connections. It raises a limit
// below minConns to minConns.
func NewConnLimiter(l net.Listener, limit int) *ConnLimiter {
	return &ConnLimiter{Listener: l, limit: max(minConns, limit)}
}

// Accept returns the next connection within the limit, as a *Conn.
func (l *ConnLimiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.total.Add(1) > int64(l.limit) {
			l.total.Add(-1)
			l.rejected.Add(1)
			_ = c.Close() // nothing was read from it, so no request is lost
			continue
		}
		l.counts[KindUnknown].Add(1)
		return &Conn{Conn: c, limiter: l}, nil
	}
}

// Count returns the number of open connections of a kind.
func (l *ConnLimiter) Count(k Kind) int { return int(l.counts[k].Load()) }

// Total returns the number of open connections.
func (l *ConnLimiter) Total() int { return int(l.total.Load()) }

// Rejected returns how many connections were closed so far because of the limit.
func (l *ConnLimiter) Rejected() uint64 { return l.rejected.Load() }

// Conn is a connection that a ConnLimiter accepted.
type Conn struct {
	net.Conn
	limiter *ConnLimiter

	mu     sync.Mutex // guards the fields below
	kind   Kind
	closed bool
}

// SetKind records the kind of client that opened the connection. It has no effect on a
// closed connection.
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

// Close closes the connection and stops counting it. It may be called more than once.
func (c *Conn) Close() error {
	c.stopCounting()
	return c.Conn.Close()
}

func (c *Conn) stopCounting() {
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

// ConnContext is the value for http.Server.ConnContext if the server's listener is a
// ConnLimiter. It stores the connection in the context for ConnFromContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connContextKey{}, conn)
	}
	return ctx
}

// ConnFromContext returns the connection of the request whose context is given, or nil
// if a ConnLimiter did not accept it.
func ConnFromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connContextKey{}).(*Conn)
	return c
}
