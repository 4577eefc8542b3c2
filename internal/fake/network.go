// Package fake is a small world in memory: a network, a key-value store, a
// cloud, machines with workers, users, and a checker of the protocol's rules.
// Scenarios run controllers against it, in simulated time.
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

// Network is a network of hosts, named by the part of an address before the colon.
type Network struct {
	mu             sync.Mutex
	listeners      map[string]*listener
	conns          map[*conn]bool
	cuts           map[[2]string]bool
	oneWayBlocks   map[[2]string]chan struct{} // what the first sends the second waits, until closed
	outgoingBlocks map[[2]string]bool          // the first can open no connection to the second
	down           map[string]bool
	paused         map[string]chan struct{} // hosts whose processes are paused, until closed
	most           map[string]int           // sockets that a host has, if limited
	open           map[string]int           // sockets that it has open
	peak           map[string]int           // and had at once
}

// NewNetwork makes an empty network.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, conns: map[*conn]bool{},
		cuts: map[[2]string]bool{}, oneWayBlocks: map[[2]string]chan struct{}{}, outgoingBlocks: map[[2]string]bool{}, down: map[string]bool{}, paused: map[string]chan struct{}{},
		most: map[string]int{}, open: map[string]int{}, peak: map[string]int{}}
}

func host(addr string) string { h, _, _ := strings.Cut(addr, ":"); return h }

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Cut breaks what connects two hosts; new connections hang.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal ends a cut.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

func (n *Network) setCut(a, b string, cut bool) {
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
		c.cut()
	}
}

// SetOneWayBlock holds back what a host sends to another, or delivers it: on connections
// that are open it waits, also after they have been given up, and connections that
// the first opens do not come about.
func (n *Network) SetOneWayBlock(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	way := [2]string{from, to}
	if c := n.oneWayBlocks[way]; c != nil {
		close(c)
		delete(n.oneWayBlocks, way)
	}
	if on {
		n.oneWayBlocks[way] = make(chan struct{})
	}
}

// SetOutgoingBlocked breaks the connections that a host has opened to another, and lets it
// open none, or ends that. What the other opens to it works all the while.
func (n *Network) SetOutgoingBlocked(from, to string, on bool) {
	n.mu.Lock()
	n.outgoingBlocks[[2]string{from, to}] = on
	var hit []*conn
	for c := range n.conns {
		if on && c.from == from && c.to == to {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.cut()
	}
}

// deliverAll ends every one-way cut.
func (n *Network) deliverAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for way, c := range n.oneWayBlocks {
		close(c)
		delete(n.oneWayBlocks, way)
	}
}

// pass waits while what is sent that way is held back, or until stop.
func (n *Network) pass(from, to string, stop <-chan struct{}) {
	for {
		n.mu.Lock()
		c := n.oneWayBlocks[[2]string{from, to}]
		n.mu.Unlock()
		if c == nil {
			return
		}
		select {
		case <-c:
		case <-stop:
			return
		}
	}
}

// SetDown takes a host's power away, or gives it back.
func (n *Network) SetDown(h string, down bool) {
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
		c.cut()
	}
	for _, l := range ls {
		_ = l.Close() // never fails
	}
}

// SetPaused makes a host's process pause, or go on: it takes connections
// and neither reads nor writes, nor sees what it has read.
func (n *Network) SetPaused(h string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.paused[h]; c != nil {
		close(c)
		delete(n.paused, h)
	}
	if on {
		n.paused[h] = make(chan struct{})
	}
}

// await waits while a host's process stands still, or until stop.
func (n *Network) await(h string, stop <-chan struct{}) {
	for {
		n.mu.Lock()
		c := n.paused[h]
		n.mu.Unlock()
		if c == nil {
			return
		}
		select {
		case <-c:
		case <-stop:
			return
		}
	}
}

func (n *Network) blocked(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pair(a, b)] || n.oneWayBlocks[[2]string{a, b}] != nil || n.outgoingBlocks[[2]string{a, b}] || n.down[a] || n.down[b]
}

var errRefused = errors.New("connection refused")

// Dial opens a connection from a host.
func (n *Network) Dial(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		n.await(from, ctx.Done())
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
		ca, cb := n.end(a, from, host(addr), from), n.end(b, from, host(addr), host(addr))
		if !n.take(from, host(addr), ca, cb) {
			_ = ca.Close() // never fails
			_ = cb.Close()
			return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
		}
		select {
		case l.accept <- cb:
			return ca, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		_ = ca.Close() // never fails
		_ = cb.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
	}
}

// LimitSockets gives a host so many sockets.
func (n *Network) LimitSockets(h string, most int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.most[h] = most
}

// Open is how many sockets a host has open.
func (n *Network) Open(h string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.open[h]
}

// Peak is how many sockets a limited host has had open at once.
func (n *Network) Peak(h string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peak[h]
}

// take gives a connection's ends their sockets, if both hosts have one left.
func (n *Network) take(from, to string, a, b *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range []string{from, to} {
		if n.most[h] == 0 {
			continue
		}
		if n.open[h] >= n.most[h] {
			return false
		}
		n.peak[h] = max(n.peak[h], n.open[h]+1)
	}
	n.conns[a], n.conns[b] = true, true
	n.open[from]++
	n.open[to]++
	return true
}

// Listen opens a listener on an address.
func (n *Network) Listen(_, addr string) (net.Listener, error) {
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
	n      *Network
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
	n        *Network
	from, to string
	side     string // whose end it is
	closed   chan struct{}
	broken   chan struct{} // closed when all that is under way is lost
	once     sync.Once
	breaks   sync.Once
	out      chan []byte
}

// socketBuffer is how many writes a connection takes that nobody has read yet.
const socketBuffer = 4096

// end makes an end of a connection. As with sockets, what is written waits in
// the connection, and is there for a process that was paused.
func (n *Network) end(c net.Conn, from, to, side string) *conn {
	e := &conn{Conn: c, n: n, from: from, to: to, side: side, closed: make(chan struct{}), broken: make(chan struct{}), out: make(chan []byte, socketBuffer)}
	go e.pump()
	return e
}

func (c *conn) pump() {
	defer c.Conn.Close()
	peer := c.to
	if c.side == c.to {
		peer = c.from
	}
	write := func(b []byte) error {
		c.n.pass(c.side, peer, c.broken)
		_, err := c.Conn.Write(b)
		return err
	}
	for {
		select {
		case b := <-c.out:
			if write(b) != nil {
				return
			}
			continue
		default:
		}
		select {
		case b := <-c.out:
			if write(b) != nil {
				return
			}
		case <-c.closed:
			if len(c.out) == 0 {
				return
			}
		}
	}
}

func (c *conn) Read(b []byte) (int, error) {
	c.n.await(c.side, c.closed)
	k, err := c.Conn.Read(b)
	c.n.await(c.side, c.closed)
	return k, err
}

func (c *conn) Write(b []byte) (int, error) {
	c.n.await(c.side, c.closed)
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	select {
	case c.out <- append([]byte(nil), b...):
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Close lets what was written arrive, and ends the reading here at once.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.n.mu.Lock()
		if c.n.conns[c] {
			c.n.open[c.side]--
		}
		delete(c.n.conns, c)
		c.n.mu.Unlock()
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only where the other end is closed
	})
	return nil
}

// cut ends the connection with all that is under way.
func (c *conn) cut() {
	c.breaks.Do(func() { close(c.broken) })
	_ = c.Close()
	_ = c.Conn.Close()
}
