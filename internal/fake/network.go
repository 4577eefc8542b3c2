// Package fake is a cluster's surroundings in memory: a network, a key-value store, a
// cloud, machines with workers, users, and a checker of the protocol's rules. Scenarios
// run controllers against it, in simulated time (testing/synctest), and inject faults;
// real processes can be attached to it as well.
//
// A Cluster has a lock that guards what workers, users and the checker know; Network,
// KVStore, Cloud and the list of violations have their own. Where several are held, they
// are taken in this order: the cloud's, the cluster's, the key-value store's, and last
// the network's or the list's.
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
	mu        sync.Mutex // guards all that follows
	listeners map[string]*listener
	conns     map[*conn]bool

	cuts           map[link]bool
	oneWayBlocks   map[direction]chan struct{} // closed when what was held back is delivered
	outgoingBlocks map[direction]bool          // no connection can be opened
	down           map[string]bool             // hosts without power
	paused         map[string]chan struct{}    // hosts whose processes are paused, until closed

	socketLimit map[string]int // 0: none
	openSockets map[string]int
	peakSockets map[string]int // of a limited host, at once
}

// link is the link between two hosts, in the order of their names.
type link struct{ a, b string }

// direction is one direction between two hosts: who sends, or opens connections, and to whom.
type direction struct{ from, to string }

// NewNetwork makes an empty network.
func NewNetwork() *Network {
	return &Network{
		listeners:      map[string]*listener{},
		conns:          map[*conn]bool{},
		cuts:           map[link]bool{},
		oneWayBlocks:   map[direction]chan struct{}{},
		outgoingBlocks: map[direction]bool{},
		down:           map[string]bool{},
		paused:         map[string]chan struct{}{},
		socketLimit:    map[string]int{},
		openSockets:    map[string]int{},
		peakSockets:    map[string]int{},
	}
}

// host is the host of an address.
func host(addr string) string { h, _, _ := strings.Cut(addr, ":"); return h }

func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// connsThat lists the connections that match; the lock is held.
func (n *Network) connsThat(match func(c *conn) bool) []*conn {
	var matching []*conn
	for c := range n.conns {
		if match(c) {
			matching = append(matching, c)
		}
	}
	return matching
}

// breakConns breaks connections; the lock is not held.
func breakConns(conns []*conn) {
	for _, c := range conns {
		c.breakOff()
	}
}

// Cut breaks what connects two hosts; new connections hang.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	n.cuts[linkOf(a, b)] = true
	cut := n.connsThat(func(c *conn) bool { return linkOf(c.from, c.to) == linkOf(a, b) })
	n.mu.Unlock()
	breakConns(cut)
}

// Heal ends a cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, linkOf(a, b))
}

// BlockOneWay holds back what a host sends to another: on connections that are open it
// waits, also after they have been given up, and connections that the first opens do not
// come about.
func (n *Network) BlockOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deliver(direction{from, to})
	n.oneWayBlocks[direction{from, to}] = make(chan struct{})
}

// UnblockOneWay delivers what BlockOneWay has held back.
func (n *Network) UnblockOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deliver(direction{from, to})
}

// deliver ends a block in one direction, if there is one; the lock is held.
func (n *Network) deliver(way direction) {
	if c := n.oneWayBlocks[way]; c != nil {
		close(c)
		delete(n.oneWayBlocks, way)
	}
}

// deliverAll ends every block in one direction.
func (n *Network) deliverAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for way := range n.oneWayBlocks {
		n.deliver(way)
	}
}

// awaitDelivery waits while what is sent in a direction is held back, or until stop.
func (n *Network) awaitDelivery(way direction, stop <-chan struct{}) {
	awaitAbsence(stop, func() <-chan struct{} {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.oneWayBlocks[way]
	})
}

// BlockOutgoing breaks the connections that a host has opened to another, and lets it
// open none. What the other opens to it works all the while.
func (n *Network) BlockOutgoing(from, to string) {
	n.mu.Lock()
	n.outgoingBlocks[direction{from, to}] = true
	cut := n.connsThat(func(c *conn) bool { return c.from == from && c.to == to })
	n.mu.Unlock()
	breakConns(cut)
}

// UnblockOutgoing ends what BlockOutgoing began.
func (n *Network) UnblockOutgoing(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.outgoingBlocks, direction{from, to})
}

// PowerOff takes a host's power away, with its connections and listeners.
func (n *Network) PowerOff(h string) {
	n.mu.Lock()
	n.down[h] = true
	cut := n.connsThat(func(c *conn) bool { return c.from == h || c.to == h })
	var listeners []*listener
	for address, l := range n.listeners {
		if host(address) == h {
			listeners = append(listeners, l)
		}
	}
	n.mu.Unlock()
	breakConns(cut)
	for _, l := range listeners {
		_ = l.Close() // never fails
	}
}

// PowerOn gives a host's power back.
func (n *Network) PowerOn(h string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, h)
}

// Pause makes a host's process pause: it takes connections and neither reads nor writes,
// nor sees what it has read.
func (n *Network) Pause(h string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endPause(h)
	n.paused[h] = make(chan struct{})
}

// Resume ends a host's pause.
func (n *Network) Resume(h string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endPause(h)
}

// endPause ends a pause, if there is one; the lock is held.
func (n *Network) endPause(h string) {
	if c := n.paused[h]; c != nil {
		close(c)
		delete(n.paused, h)
	}
}

// awaitResume waits while a host's process is paused, or until stop.
func (n *Network) awaitResume(h string, stop <-chan struct{}) {
	awaitAbsence(stop, func() <-chan struct{} {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.paused[h]
	})
}

// awaitAbsence waits until there is no block, or until stop. A block is a channel that is
// closed as it ends, and may be followed by another.
func awaitAbsence(stop <-chan struct{}, block func() <-chan struct{}) {
	for {
		ended := block()
		if ended == nil {
			return
		}
		select {
		case <-ended:
		case <-stop:
			return
		}
	}
}

// blocked reports whether a host can't open connections to another.
func (n *Network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	way := direction{from, to}
	return n.cuts[linkOf(from, to)] || n.oneWayBlocks[way] != nil || n.outgoingBlocks[way] || n.down[from] || n.down[to]
}

var errRefused = errors.New("connection refused")

// dialTimeout is how long a connection to a host that can't be reached takes to fail.
const dialTimeout = 2 * time.Second

// Dial opens a connection from a host.
func (n *Network) Dial(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		n.awaitResume(from, ctx.Done())
		to := host(addr)
		if n.blocked(from, to) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
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
		ca, cb := n.newConn(a, direction{from, to}, from), n.newConn(b, direction{from, to}, to)
		if !n.openConn(ca, cb) {
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

// LimitSockets limits how many sockets a host may have open.
func (n *Network) LimitSockets(h string, limit int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.socketLimit[h] = limit
}

// OpenSockets is how many sockets a host has open.
func (n *Network) OpenSockets(h string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.openSockets[h]
}

// PeakSockets is how many sockets a limited host has had open at once.
func (n *Network) PeakSockets(h string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peakSockets[h]
}

// openConn gives both ends of a connection their sockets, if both hosts have one left.
func (n *Network) openConn(a, b *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range []string{a.from, a.to} {
		limit := n.socketLimit[h]
		if limit == 0 {
			continue
		}
		if n.openSockets[h] >= limit {
			return false
		}
		n.peakSockets[h] = max(n.peakSockets[h], n.openSockets[h]+1)
	}
	n.conns[a], n.conns[b] = true, true
	n.openSockets[a.from]++
	n.openSockets[a.to]++
	return true
}

// closeConn gives the socket of a connection's end back.
func (n *Network) closeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[c] {
		n.openSockets[c.side]--
	}
	delete(n.conns, c)
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
