package routing

import (
	"fmt"
	"testing"
	"time"
)

func plan(workers int, relays ...string) Plan {
	var nodes []Node
	for _, r := range relays {
		nodes = append(nodes, Node{Name: r, Room: MaxWorkerConns(2600)})
	}
	return NewPlan("a", 7, workers, 2600, nodes)
}

func worker(i int) string { return fmt.Sprintf("host-%06d", i) }

// A leader with 2,600 sockets and 2,600 workers serves about 650 of them directly, a quarter of its
// sockets. The relays share the others. In a small fleet, or without relays, all workers send their
// heartbeats to the leader.
func TestLeaderKeepsItsShareAndRelaysDivideTheRest(t *testing.T) {
	p := plan(2600, "c", "b")
	got := map[string]int{}
	for i := range p.Workers {
		got[p.NodeFor(worker(i))]++
	}
	if got["a"] < 560 || got["a"] > 740 || got["b"] < 850 || got["c"] < 850 {
		t.Errorf("distribution %v, want about 650 of 2,600 at the leader", got)
	}
	for _, small := range []Plan{plan(400, "b", "c"), plan(9000)} {
		if small.UsesRelays() || small.NodeFor(worker(1)) != "a" {
			t.Errorf("%+v assigns workers to relays", small)
		}
	}
	if large := plan(9000, "b", "c"); large.Direct < 9000-2*MaxWorkerConns(2600) {
		t.Errorf("the leader serves %d of 9,000 workers: the relays are assigned more than their capacity", large.Direct)
	}
}

// When another machine boots or a relay fails, the other workers must stay at their nodes, because
// each move costs a worker one heartbeat.
func TestPlanChangeMovesFewWorkers(t *testing.T) {
	p, moreWorkers, oneRelay := plan(2600, "b", "c"), plan(2650, "b", "c"), plan(2600, "b")
	moved, ofLostRelay, others := 0, 0, 0
	for i := range 2600 {
		home := p.NodeFor(worker(i))
		if moreWorkers.NodeFor(worker(i)) != home {
			moved++
		}
		switch now := oneRelay.NodeFor(worker(i)); {
		case home == "c":
			ofLostRelay++
		case now != home:
			others++
		}
	}
	if moved > 60 {
		t.Errorf("50 additional workers moved %d others, want at most 60", moved)
	}
	// The leader takes the workers for which the remaining relay has no room.
	if ofLostRelay < 800 || others > 800 {
		t.Errorf("a relay with %d workers is gone, and %d workers of other nodes moved, want at most 800", ofLostRelay, others)
	}
}

// Guards against workers redirected in circles or to a node that can't serve them. A follower
// redirects a worker only if the follower's connections are full, the leader is unreachable, or the
// fleet is small and the follower has served the worker before.
func TestRouteAtFollower(t *testing.T) {
	p := plan(2600, "b", "c")
	homes := map[string]string{}
	for i := 0; len(homes) < 3; i++ {
		homes[p.NodeFor(worker(i))] = worker(i)
	}
	small := plan(300, "b", "c")
	bounced := WorkerHistory{RedirectedTo: "a", SinceRedirect: 3 * time.Second}
	for _, c := range []struct {
		name           string
		worker         string
		plan           *Plan
		history        WorkerHistory
		connsFull      bool
		leaderCut      bool
		wantForward    bool
		wantRedirectTo string // checked unless the heartbeat is forwarded
	}{
		{name: "worker of this node", worker: homes["b"], plan: &p, wantForward: true},
		{name: "leader's worker, new here", worker: homes["a"], plan: &p, wantForward: true},
		{name: "leader's worker, connections full", worker: homes["a"], plan: &p, connsFull: true, wantRedirectTo: "a"},
		{name: "leader's worker, bounced from the leader", worker: homes["a"], plan: &p, history: bounced, wantForward: true},
		{name: "leader's worker, served here", worker: homes["a"], plan: &p, history: WorkerHistory{ServedHere: true}, wantForward: true},
		{name: "worker of another relay", worker: homes["c"], plan: &p, wantForward: true},
		{name: "worker of another relay, connections full", worker: homes["c"], plan: &p, connsFull: true, wantRedirectTo: "c"},
		{name: "worker of another relay, connections full, bounced from there", worker: homes["c"], plan: &p, connsFull: true, history: WorkerHistory{RedirectedTo: "c"}, wantForward: true},
		{name: "leader unreachable", worker: homes["b"], plan: &p, leaderCut: true, wantRedirectTo: "a"},
		{name: "small fleet, worker new here", worker: homes["b"], plan: &small, wantForward: true},
		{name: "small fleet, worker served here", worker: homes["b"], plan: &small, history: WorkerHistory{ServedHere: true}, wantRedirectTo: "a"},
		{name: "no plan of the new leader yet", worker: homes["b"], wantForward: true},
		{name: "no plan of the new leader, which is unreachable", worker: homes["b"], leaderCut: true, wantRedirectTo: "a"},
		{name: "leader's worker, connections full, redirected long ago", worker: homes["a"], plan: &p, history: WorkerHistory{RedirectedTo: "a", SinceRedirect: time.Minute}, connsFull: true, wantRedirectTo: "a"},
	} {
		r := RouteAtFollower(FollowerInput{Self: "b", Leader: "a", Worker: c.worker, Plan: c.plan, History: c.history, ConnsFull: c.connsFull, LeaderReachable: !c.leaderCut})
		if r.Forward != c.wantForward || !r.Forward && r.RedirectTo != c.wantRedirectTo {
			t.Errorf("%s: got forward %v, redirect to %q; want forward %v, redirect to %q", c.name, r.Forward, r.RedirectTo, c.wantForward, c.wantRedirectTo)
		}
	}
}

// The leader redirects a worker only if it holds too many connections, the worker's lease is fresh,
// and the worker has not bounced from its node. Any other redirection could cost the lease.
func TestRedirectFromLeader(t *testing.T) {
	p := plan(2600, "b", "c")
	w := worker(0)
	for i := 0; p.NodeFor(w) == "a"; i++ {
		w = worker(i)
	}
	home := p.NodeFor(w)
	if to := RedirectFromLeader(LeaderInput{Worker: w, Plan: &p, OpenConns: 2000, LeaseFresh: true}); to != home {
		t.Errorf("redirected to %q, want %q", to, home)
	}
	for name, to := range map[string]string{
		"few connections":       RedirectFromLeader(LeaderInput{Worker: w, Plan: &p, OpenConns: 600, LeaseFresh: true}),
		"lease not fresh":       RedirectFromLeader(LeaderInput{Worker: w, Plan: &p, OpenConns: 2000, LeaseFresh: false}),
		"bounced from its node": RedirectFromLeader(LeaderInput{Worker: w, Plan: &p, History: WorkerHistory{RedirectedTo: home, SinceRedirect: time.Second}, OpenConns: 2000, LeaseFresh: true}),
		"no relays":             RedirectFromLeader(LeaderInput{Worker: w, Plan: &Plan{Leader: "a", Workers: 2600, Direct: 2600}, OpenConns: 2500, LeaseFresh: true}),
		"worker of the leader":  RedirectFromLeader(LeaderInput{Worker: workerOfLeader(&p), Plan: &p, OpenConns: 2000, LeaseFresh: true}),
	} {
		if to != "" {
			t.Errorf("%s: redirected to %q, want no redirection", name, to)
		}
	}
}

func workerOfLeader(p *Plan) string {
	for i := 0; ; i++ {
		if p.NodeFor(worker(i)) == p.Leader {
			return worker(i)
		}
	}
}
