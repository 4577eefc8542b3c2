// Package fake simulates a cluster in memory: a network, a key-value store, a cloud, machines with
// workers, users, and a checker of the protocol's rules. Scenarios (tests of a whole cluster) run
// controllers against it in simulated time (testing/synctest) and inject faults. Controllers in
// processes of their own can be attached too.
//
// The lock of a Cluster guards the state of workers, users and the checker. Network, KVStore,
// Cloud and the list of violations have locks of their own. A goroutine that needs several takes
// them in this order: the cloud's, the cluster's, the key-value store's, and last the network's or
// the list's.
//
// Identifiers call a controller a node.
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

// Network is an in-memory network of hosts. A host is named by the part of an address before the
// colon, and need not be declared. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex           // guards the fields below
	listeners map[string]*listener // by address
	conns     map[*conn]bool

	cuts           map[link]bool
	oneWayBlocks   map[direction]chan struct{} // closed when the block ends
	outgoingBlocks map[direction]bool          // no connection can be opened
	down           map[string]bool             // hosts without power
	paused         map[string]chan struct{}    // hosts whose processes are paused; closed when the pause ends

	socketLimit map[string]int // by host; 0: no limit
	openSockets map[string]int // by host
	peakSockets map[string]int // by host with a limit: the most open sockets so far
}

// link is an undirected pair of hosts, sorted by name.
type link struct{ a, b string }

// direction is an ordered pair of hosts: the sender of data or opener of connections, and its
// peer.
type direction struct{ from, to string }

// NewNetwork returns a network without hosts and faults.
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

// host returns the host part of an address.
func host(addr string) string { h, _, _ := strings.Cut(addr, ":"); return h }

func linkOf(a, b string) link {
	if a > b {
		a, b = b, a
	}
	return link{a, b}
}

// matchingConns returns the connection ends that match. The caller holds the lock.
func (n *Network) matchingConns(match func(c *conn) bool) []*conn {
	var matching []*conn
	for c := range n.conns {
		if match(c) {
			matching = append(matching, c)
		}
	}
	return matching
}

// breakConns breaks connections. The caller must not hold the lock.
func breakConns(conns []*conn) {
	for _, c := range conns {
		c.breakOff()
	}
}

// Cut breaks all connections between two hosts and makes new ones time out, until Heal.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	n.cuts[linkOf(a, b)] = true
	cut := n.matchingConns(func(c *conn) bool { return linkOf(c.from, c.to) == linkOf(a, b) })
	n.mu.Unlock()
	breakConns(cut)
}

// Heal ends the fault of Cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, linkOf(a, b))
}

// BlockOneWay holds the data that one host sends to another until UnblockOneWay. Data on open
// connections waits, even if the sender closes them. New connections by the sender time out.
func (n *Network) BlockOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deliver(direction{from, to})
	n.oneWayBlocks[direction{from, to}] = make(chan struct{})
}

// UnblockOneWay ends the fault of BlockOneWay and delivers the held data.
func (n *Network) UnblockOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deliver(direction{from, to})
}

// deliver ends a block in one direction, if there is one. The caller holds the lock.
func (n *Network) deliver(way direction) {
	if c := n.oneWayBlocks[way]; c != nil {
		close(c)
		delete(n.oneWayBlocks, way)
	}
}

// deliverAll ends all faults of BlockOneWay, whatever the hosts.
func (n *Network) deliverAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for way := range n.oneWayBlocks {
		n.deliver(way)
	}
}

// awaitDelivery waits until data in a direction is not blocked, or stop is closed.
func (n *Network) awaitDelivery(way direction, stop <-chan struct{}) {
	awaitAbsence(stop, func() <-chan struct{} {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.oneWayBlocks[way]
	})
}

// BlockOutgoing breaks the connections that one host has opened to another, and makes new ones
// time out, until UnblockOutgoing. Connections opened by the other host keep working.
func (n *Network) BlockOutgoing(from, to string) {
	n.mu.Lock()
	n.outgoingBlocks[direction{from, to}] = true
	cut := n.matchingConns(func(c *conn) bool { return c.from == from && c.to == to })
	n.mu.Unlock()
	breakConns(cut)
}

// UnblockOutgoing ends the fault of BlockOutgoing.
func (n *Network) UnblockOutgoing(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.outgoingBlocks, direction{from, to})
}

// PowerOff breaks a host's connections, closes its listeners and makes new connections from and to
// it time out, until PowerOn.
func (n *Network) PowerOff(h string) {
	n.mu.Lock()
	n.down[h] = true
	cut := n.matchingConns(func(c *conn) bool { return c.from == h || c.to == h })
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

// PowerOn ends the fault of PowerOff. The host has to open its listeners again.
func (n *Network) PowerOn(h string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.down, h)
}

// Pause suspends a host's process until Resume. Its listeners still accept connections, but its
// reads, writes and dials block. A read that has got data returns it after the pause.
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

// endPause ends a pause, if there is one. The caller holds the lock.
func (n *Network) endPause(h string) {
	if c := n.paused[h]; c != nil {
		close(c)
		delete(n.paused, h)
	}
}

// awaitResume waits until a host's process is not paused, or stop is closed.
func (n *Network) awaitResume(h string, stop <-chan struct{}) {
	awaitAbsence(stop, func() <-chan struct{} {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.paused[h]
	})
}

// awaitAbsence waits until block returns nil, or stop is closed. A block is a channel that is
// closed when the block ends. Another block may follow it.
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

// blocked reports whether a fault keeps a host from opening connections to another.
func (n *Network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	way := direction{from, to}
	return n.cuts[linkOf(from, to)] || n.oneWayBlocks[way] != nil || n.outgoingBlocks[way] || n.down[from] || n.down[to]
}

var errRefused = errors.New("connection refused")

// dialTimeout is the time after which dialing an unreachable host fails.
const dialTimeout = 2 * time.Second

// Dial returns a function that opens connections from the given host. It fails with errRefused if
// nobody listens or a host has no socket left, and times out if a fault blocks the connection.
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
		clientPipe, serverPipe := net.Pipe()
		client, server := n.newConn(clientPipe, direction{from, to}, from), n.newConn(serverPipe, direction{from, to}, to)
		if !n.openConn(client, server) {
			_ = client.Close() // never fails
			_ = server.Close()
			return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
		}
		select {
		case l.accept <- server:
			return client, nil
		case <-l.closed:
		case <-ctx.Done():
		}
		_ = client.Close() // never fails
		_ = server.Close()
		return nil, fmt.Errorf("dial %s: %w", addr, errRefused)
	}
}

// LimitSockets limits the number of open sockets of a host; 0 removes the limit.
func (n *Network) LimitSockets(h string, limit int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.socketLimit[h] = limit
}

// OpenSockets returns the number of open sockets of a host.
func (n *Network) OpenSockets(h string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.openSockets[h]
}

// PeakSockets returns the highest number of sockets that a host had open at once, or 0 if the host
// had no limit.
func (n *Network) PeakSockets(h string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peakSockets[h]
}

// openConn takes a socket of each end's host for a connection. It reports false if a host has none
// left.
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

// closeConn releases the socket of a connection's end.
func (n *Network) closeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[c] {
		n.openSockets[c.side]--
	}
	delete(n.conns, c)
}

// Listen opens a listener on an address. It fails if the address is in use.
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
