// Package routing decides at which controller node each worker's heartbeats arrive.
//
// One node leads, but need not hold a connection of every worker: the others, its
// relays, forward heartbeats to it. The leader makes a Plan of how workers are spread;
// the others learn it with the leader's answers to their questions for its status. For
// a heartbeat that arrives, RouteAtFollower and RedirectFromLeader say whether it is
// served there or its worker is redirected to another node.
//
// The package is pure: same plan, same answer; it does no I/O, keeps nothing, and the
// time comes in as durations. Package controller keeps what the decisions need.
package routing

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// leaderConnFraction: a leader's workers may hold one in so many of its sockets when
	// others can take the rest. What is left is for its own calls, for users, and for a
	// day on which the others are gone.
	leaderConnFraction = 4
	// minLeaderWorkers is how many workers a leader serves itself in any case: below
	// that, forwarding gains nothing and costs a hop.
	minLeaderWorkers = 400
	// workerConnShare is the part of any node's sockets that workers may hold for good.
	workerConnShare = 0.45
	// minWorkerConns is how many they may hold in any case.
	minWorkerConns = 8
)

// Node is a relay: a node that can forward heartbeats to the leader. It is sent between
// controllers, where gob matches the names of its fields.
type Node struct {
	Name string
	Room int // how many workers' connections it keeps
}

// Plan says how the leader wants workers spread. It is sent between controllers, where
// gob matches the names of its fields.
type Plan struct {
	Leader  string
	Token   uint64 // the leader's fencing token
	Workers int    // how many are expected
	Direct  int    // how many send their heartbeats to the leader itself
	Relays  []Node // by name
}

// MaxLeaderWorkerConns is how many workers' connections a leader keeps for good, of so
// many sockets, while others can take the rest.
func MaxLeaderWorkerConns(sockets int) int {
	return min(MaxWorkerConns(sockets), max(sockets/leaderConnFraction, minLeaderWorkers))
}

// MaxWorkerConns is how many workers' connections a node keeps for good. Beyond that it
// answers and closes: a worker needs a connection for the time of its heartbeat only, so
// that there may be any number of them.
func MaxWorkerConns(sockets int) int {
	return max(minWorkerConns, int(workerConnShare*float64(sockets)))
}

// NewPlan makes a leader's plan for so many workers and sockets of its own.
func NewPlan(leader string, fencingToken uint64, workers, sockets int, relays []Node) Plan {
	p := Plan{Leader: leader, Token: fencingToken, Workers: workers, Relays: slices.Clone(relays)}
	slices.SortFunc(p.Relays, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	p.Direct = workers
	if len(relays) > 0 {
		// What the relays have no room for stays with the leader.
		p.Direct = min(workers, max(MaxLeaderWorkerConns(sockets), workers-p.relayCapacity()))
	}
	return p
}

// relayCapacity is how many workers' connections all relays keep together.
func (p *Plan) relayCapacity() int {
	capacity := 0
	for _, r := range p.Relays {
		capacity += r.Room
	}
	return capacity
}

// UsesRelays reports whether some workers are to use other nodes than the leader.
func (p *Plan) UsesRelays() bool { return len(p.Relays) > 0 && p.Workers > p.Direct }

// NodeFor names the node that a worker should use. It is the same at every node that
// knows the plan, and a change of the plan moves few workers: each node draws a number
// from the worker's and its own name, weighted by its part, and the largest wins
// (rendezvous hashing).
func (p *Plan) NodeFor(worker string) string {
	if !p.UsesRelays() {
		return p.Leader
	}
	capacity := float64(max(p.relayCapacity(), 1))
	best, node := rendezvousScore(p.Leader, worker, float64(p.Direct)), p.Leader
	for _, r := range p.Relays {
		part := float64(p.Workers-p.Direct) * float64(r.Room) / capacity
		if score := rendezvousScore(r.Name, worker, part); score > best {
			best, node = score, r.Name
		}
	}
	return node
}

// rendezvousScore is a worker's score at a node; the chance to be the largest of several
// is as their weights.
func rendezvousScore(node, worker string, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(node) // never fails
	_, _ = d.Write([]byte{0})  // separates the names; never fails
	_, _ = d.WriteString(worker)
	uniform := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(uniform)
}
