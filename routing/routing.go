// Package routing decides at which controller node each worker reports. One
// node leads, but need not hold a connection of every worker: the others pass
// reports on to it. The package is pure: same plan, same answer; the time comes
// in as durations.
package routing

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Node is a node that can pass reports on.
type Node struct {
	Name string
	Room int // how many workers' connections it keeps
}

// Plan says how the leader wants workers spread. The leader makes it, and the
// others learn it with the leader's answers to their questions.
type Plan struct {
	Leader  string
	Token   uint64
	Workers int    // how many are expected
	Direct  int    // how many report to the leader itself
	Relays  []Node // by name
}

const (
	// leaderConnFraction is the part of a leader's sockets that workers may hold when
	// others can take the rest. What is left is for its own calls, for users, and
	// for a day on which the others are gone.
	leaderConnFraction = 4
	// minLeaderWorkers is how many workers a leader serves itself in any case: below
	// that, passing on gains nothing and costs a hop.
	minLeaderWorkers = 400
	// workerConnShare is the part of any node's sockets that workers may hold for good.
	workerConnShare = 0.45
)

// MaxLeaderWorkerConns is how many workers' connections a leader keeps for good, of so many
// sockets, while others can take the rest.
func MaxLeaderWorkerConns(sockets int) int {
	return min(MaxWorkerConns(sockets), max(sockets/leaderConnFraction, minLeaderWorkers))
}

// MaxWorkerConns is how many workers' connections a node keeps for good. Beyond that it
// answers and closes: a worker needs a connection for the time of its report
// only, so that there may be any number of them.
func MaxWorkerConns(sockets int) int { return max(8, int(workerConnShare*float64(sockets))) }

// NewPlan makes a leader's plan.
func NewPlan(leader string, token uint64, workers, sockets int, relays []Node) Plan {
	p := Plan{Leader: leader, Token: token, Workers: workers, Relays: slices.Clone(relays)}
	slices.SortFunc(p.Relays, func(a, b Node) int { return strings.Compare(a.Name, b.Name) })
	room := 0
	for _, r := range p.Relays {
		room += r.Room
	}
	p.Direct = workers
	if len(relays) > 0 {
		// What the others have no room for stays with the leader.
		p.Direct = min(workers, max(MaxLeaderWorkerConns(sockets), workers-room))
	}
	return p
}

// UsesRelays says whether some workers are to report to other nodes.
func (p *Plan) UsesRelays() bool { return len(p.Relays) > 0 && p.Workers > p.Direct }

// NodeFor names the node where a worker should report. It is the same at every
// node that knows the plan, and a change of the plan moves few workers: each
// node draws a number from the worker's and its own name, weighted by its part,
// and the largest wins (rendezvous hashing).
func (p *Plan) NodeFor(worker string) string {
	if !p.UsesRelays() {
		return p.Leader
	}
	room := 0
	for _, r := range p.Relays {
		room += r.Room
	}
	best, home := rendezvousWeight(p.Leader, worker, float64(p.Direct)), p.Leader
	for _, r := range p.Relays {
		part := float64(p.Workers-p.Direct) * float64(r.Room) / float64(max(room, 1))
		if d := rendezvousWeight(r.Name, worker, part); d > best {
			best, home = d, r.Name
		}
	}
	return home
}

// rendezvousWeight is a worker's number at a node; the chance to be the largest of several
// is as their weights.
func rendezvousWeight(node, worker string, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(node) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(worker)
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(u)
}

// WorkerHistory is what a node remembers of a worker.
type WorkerHistory struct {
	RedirectedTo  string        // where it was sent last, "" if nowhere
	SinceRedirect time.Duration // since then
	ServedHere    bool          // it has had answers here lately
}

// returnWindow is for how long a worker that comes back is taken not to reach the
// node that it was sent to.
const returnWindow = 20 * time.Second

// ReturnedFrom says whether the worker was sent to a node a moment ago and is here
// again: it may not reach that node. An answer that is missing there for other
// reasons costs one more hop, nothing else.
func (g WorkerHistory) ReturnedFrom(from string) bool {
	return g.RedirectedTo == from && g.SinceRedirect < returnWindow
}

// RouteAtFollower says what a node that does not lead does with a worker's report: it
// passes it on, or names the node where the worker is to go. The plan is nil
// where the leader's is not known (just elected, or not reached over the mesh);
// full says that this node has no room for one more connection; reach, whether
// reports can be passed on to the leader at all.
func RouteAtFollower(self, leader, worker string, p *Plan, g WorkerHistory, full, reach bool) (to string, pass bool) {
	switch {
	case g.ReturnedFrom(leader):
		return "", true
	case !reach:
		return leader, false
	case p == nil || p.Leader != leader:
		// Through a change of leader each is answered where it is: nothing is
		// gained by a crowd at the new one, which has everything to do.
		return "", true
	}
	home := p.NodeFor(worker)
	if home == self || home == leader && g.ServedHere && p.UsesRelays() {
		return "", true
	}
	if home != leader && (!full || g.ReturnedFrom(home)) {
		return "", true
	}
	// One that is new here is answered first, and moved with a fresh lease. A machine
	// that does not hear goes from node to node: sent on by each of them, it was
	// heard of by the leader every 15 s, and what was launched there waited as long.
	if !g.ServedHere && !full {
		return "", true
	}
	return home, false
}

// RedirectFromLeader says where the leader sends a worker that has reported to it, "" to
// keep it. Only one whose lease is fresh is moved, since the move may fail and
// then costs it seconds; open is how many workers are connected here.
func RedirectFromLeader(worker string, p *Plan, g WorkerHistory, open int, fresh bool) string {
	if !p.UsesRelays() || !fresh || open <= p.Direct+p.Direct/16 {
		return ""
	}
	home := p.NodeFor(worker)
	if home == p.Leader || g.ReturnedFrom(home) {
		return ""
	}
	return home
}
