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
	Unknown Kind = iota
	User
	Worker
	kinds
)

// Door is a listener that counts its connections by kind and holds a part of
// the machine's sockets back: a node whose every socket is a worker's can't
// renew its own lease. Connections that wait to be accepted hold sockets too, so
// the door takes all of them at once and closes what is beyond its limit, where
// a listener that stops accepting only hides them.
type Door struct {
	net.Listener
	most int
	open [kinds]atomic.Int64
	all  atomic.Int64
	shed atomic.Uint64
}

// NewDoor makes a door for at most so many connections.
func NewDoor(l net.Listener, most int) *Door { return &Door{Listener: l, most: max(8, most)} }

// Accept returns the next connection that there is room for.
func (d *Door) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if d.all.Add(1) > int64(d.most) {
			d.all.Add(-1)
			d.shed.Add(1)
			_ = c.Close() // nothing was promised to it
			continue
		}
		d.open[Unknown].Add(1)
		return &Conn{Conn: c, door: d}, nil
	}
}

// Open is how many connections of a kind there are.
func (d *Door) Open(k Kind) int { return int(d.open[k].Load()) }

// All is how many connections there are.
func (d *Door) All() int { return int(d.all.Load()) }

// Shed is how many connections were closed for want of room so far.
func (d *Door) Shed() uint64 { return d.shed.Load() }

// Conn is a connection through a door.
type Conn struct {
	net.Conn
	door *Door

	mu     sync.Mutex
	kind   Kind
	closed bool
}

// Is notes whose the connection is.
func (c *Conn) Is(k Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.kind == k {
		return
	}
	c.door.open[c.kind].Add(-1)
	c.door.open[k].Add(1)
	c.kind = k
}

// Close closes the connection and gives its place back.
func (c *Conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.door.open[c.kind].Add(-1)
		c.door.all.Add(-1)
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// With is an http.Server's ConnContext.
func With(ctx context.Context, c net.Conn) context.Context {
	if dc, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, dc)
	}
	return ctx
}

// Of is the connection that a request came with, nil if through no door.
func Of(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Answered remembers when workers were last answered.
type Answered struct {
	mu   sync.Mutex
	at   map[string]time.Time
	most int
}

// NewAnswered remembers at most so many workers.
func NewAnswered(most int) *Answered {
	return &Answered{at: map[string]time.Time{}, most: max(16, most)}
}

// Note takes in that a worker was answered.
func (a *Answered) Note(worker string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.at) >= a.most {
		a.forget(now)
	}
	a.at[worker] = now
}

// forget drops the older half of what there is.
func (a *Answered) forget(now time.Time) {
	var sum time.Duration
	for _, t := range a.at {
		sum += now.Sub(t)
	}
	mean := sum / time.Duration(len(a.at))
	for w, t := range a.at {
		if now.Sub(t) >= mean {
			delete(a.at, w)
		}
	}
}

// Ago says how long ago a worker was answered; false if that is not known.
func (a *Answered) Ago(worker string, now time.Time) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.at[worker]
	return now.Sub(t), ok
}

// Recent is how many workers were answered within d.
func (a *Answered) Recent(now time.Time, d time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, t := range a.at {
		if now.Sub(t) <= d {
			n++
		}
	}
	return n
}
