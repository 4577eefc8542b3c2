// Package routing decides to which controller node each worker sends its heartbeats.
//
// Only the leader answers heartbeats, but a single node has too few sockets for the
// connections of a large fleet. The followers therefore act as relays: they hold
// connections of workers and forward heartbeats to the leader. The leader computes a
// Plan of how workers are spread over the nodes; followers receive it in the leader's
// answer to their periodic status query. When a heartbeat arrives, RouteAtFollower and
// RedirectFromLeader decide whether it is handled there (forwarded, at a follower) or
// whether its worker is redirected to another node.
//
// All functions are pure: they do no I/O, read no clock and have no state. Package
// controller holds the state that the decisions need.
package routing

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// leaderConnDivisor limits the connections of workers at a leader to one in so many of
	// its sockets while relays can serve the other workers. The remaining sockets are for the
	// leader's own calls, for users, and for workers that return when relays fail.
	leaderConnDivisor = 4
	// minLeaderWorkers is the number of workers that a leader serves itself in any case, as
	// far as MaxWorkerConns allows. For a small fleet, forwarding would only add a hop.
	minLeaderWorkers = 400
	// workerConnShare is the fraction of a node's sockets for workers' persistent connections.
	workerConnShare = 0.45
	// minWorkerConns is the smallest result of MaxWorkerConns.
	minWorkerConns = 8
)

// Node is a relay: a follower that can forward heartbeats to the leader. Controllers send
// it to each other with gob, so its field names must not change.
type Node struct {
	Name string
	Room int // number of workers whose connections it can hold
}

// Plan is the leader's distribution of workers over the nodes. Controllers send it to
// each other with gob, so its field names must not change.
type Plan struct {
	Leader  string
	Token   uint64 // the leader's fencing token
	Workers int    // expected number of workers
	Direct  int    // number of workers that connect to the leader itself
	Relays  []Node // sorted by name
}

// MaxLeaderWorkerConns returns how many persistent connections of workers a leader with
// the given number of sockets should hold while relays can take the rest.
func MaxLeaderWorkerConns(sockets int) int {
	return min(MaxWorkerConns(sockets), max(sockets/leaderConnDivisor, minLeaderWorkers))
}

// MaxWorkerConns returns how many persistent connections of workers a node with the given
// number of sockets holds. A node with more connections closes each one after the answer.
// It can still serve more workers than that, since each worker needs a connection only
// while its heartbeat is being answered.
func MaxWorkerConns(sockets int) int {
	return max(minWorkerConns, int(workerConnShare*float64(sockets)))
}

// NewPlan returns the plan of a leader that expects the given number of workers; sockets
// is the leader's own limit. The relays are copied and may be in any order.
func NewPlan(leader string, fencingToken uint64, workers, sockets int, relays []Node) Plan {
	p := Plan{Leader: leader, Token: fencingToken, Workers: workers, Relays: slices.Clone(relays)}
	slices.SortFunc(p.Relays, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	p.Direct = workers
	if len(relays) > 0 {
		// Workers beyond the relays' capacity stay with the leader.
		p.Direct = min(workers, max(MaxLeaderWorkerConns(sockets), workers-p.relayCapacity()))
	}
	return p
}

// relayCapacity returns how many workers' connections all relays together can hold.
func (p *Plan) relayCapacity() int {
	capacity := 0
	for _, r := range p.Relays {
		capacity += r.Room
	}
	return capacity
}

// UsesRelays reports whether the plan assigns any workers to relays.
func (p *Plan) UsesRelays() bool { return len(p.Relays) > 0 && p.Workers > p.Direct }

// NodeFor returns the name of the node that a worker should use. It uses weighted
// rendezvous hashing: each node has a score that depends on both names and on its share of
// the workers, and the node with the highest score is chosen. All nodes with the same plan
// therefore agree without coordination, and a change of the plan moves few workers.
func (p *Plan) NodeFor(worker string) string {
	if !p.UsesRelays() {
		return p.Leader
	}
	capacity := float64(max(p.relayCapacity(), 1))
	best, node := rendezvousScore(p.Leader, worker, float64(p.Direct)), p.Leader
	for _, r := range p.Relays {
		weight := float64(p.Workers-p.Direct) * float64(r.Room) / capacity
		if score := rendezvousScore(r.Name, worker, weight); score > best {
			best, node = score, r.Name
		}
	}
	return node
}

// rendezvousScore returns the score of a node for a worker. Among several nodes, the
// probability of having the highest score is proportional to the weight.
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
