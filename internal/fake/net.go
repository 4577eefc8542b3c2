// Package fake is a small world in memory: a network, a state service, a
// cloud, machines with workers, users, and a checker of the protocol's rules.
// Stories run controllers against it, in simulated time.
package fake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Net is a network of hosts, named by the part of an address before the colon.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cuts      map[[2]string]bool
	down      map[string]bool
}

// NewNet makes an empty network.
func NewNet() *Net {
	return &Net{listeners: map[string]*listener{}, conns: map[*conn]bool{},
		cuts: map[[2]string]bool{}, down: map[string]bool{}}
}

func host(addr string) string { h, _, _ := strings.Cut(addr, ":"); return h }

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Cut breaks what connects two hosts; new connections hang.
func (n *Net) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a cut.
func (n *Net) Heal(a, b string) { n.setCut(a, b, false) }

func (n *Net) setCut(a, b string, cut bool) {
	n.mu.Lock()
	n.cuts[pair(a, b)] = cut
	var hit []*conn
	for c := range n.conns {
		if cut && pair(c.from, c.to) == pair(a, b) {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.Close()
	}
}

// SetDown takes a host's power away, or gives it back.
func (n *Net) SetDown(h string, down bool) {
	n.mu.Lock()
	n.down[h] = down
	var hit []*conn
	for c := range n.conns {
		if down && (c.from == h || c.to == h) {
			hit = append(hit, c)
		}
	}
	var ls []*listener
	for a, l := range n.listeners {
		if down && host(a) == h {
			ls = append(ls, l)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.Close()
	}
	for _, l := range ls {
		l.Close()
	}
}

func (n *Net) blocked(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pair(a, b)] || n.down[a] || n.down[b]
}

var errRefused = errors.New("connection refused")

// Dial opens a connection from a host.
func (n *Net) Dial(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		if n.blocked(from, host(addr)) {
			ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			<-ctx.Done()
			return nil, fmt.Errorf("dial %s: i/o timeout", addr)
		}
		n.mu.Lock()
		l := n.listeners[addr]
		n.mu.Unlock()
		if l == nil {
			return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
		}
		a, b := net.Pipe()
		ca := &conn{Conn: a, n: n, from: from, to: host(addr)}
		cb := &conn{Conn: b, n: n, from: from, to: host(addr)}
		n.mu.Lock()
		n.conns[ca], n.conns[cb] = true, true
		n.mu.Unlock()
		select {
		case l.accept <- cb:
			return ca, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		ca.Close()
		cb.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
	}
}

// Listen opens a listener on an address.
func (n *Net) Listen(_, addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[addr] != nil {
		return nil, fmt.Errorf("listen %s: address in use", addr)
	}
	l := &listener{n: n, addr: addr, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

type listener struct {
	n      *Net
	addr   string
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.n.mu.Lock()
		if l.n.listeners[l.addr] == l {
			delete(l.n.listeners, l.addr)
		}
		l.n.mu.Unlock()
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (addr) Network() string  { return "fake" }
func (a addr) String() string { return string(a) }

type conn struct {
	net.Conn
	n        *Net
	from, to string
}

func (c *conn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	return c.Conn.Close()
}
