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

// A leader of 2,600 workers keeps a quarter of its sockets for them, and the
// others share the rest; where there are few workers, or nobody to pass heartbeats
// on, all send theirs to it.
func TestLeaderKeepsItsShareAndRelaysDivideTheRest(t *testing.T) {
	p := plan(2600, "c", "b")
	got := map[string]int{}
	for i := range p.Workers {
		got[p.NodeFor(worker(i))]++
	}
	if got["a"] < 560 || got["a"] > 740 || got["b"] < 850 || got["c"] < 850 {
		t.Errorf("spread %v, wanted about 650 of 2,600 at the leader", got)
	}
	for _, small := range []Plan{plan(400, "b", "c"), plan(9000)} {
		if small.UsesRelays() || small.NodeFor(worker(1)) != "a" {
			t.Errorf("%+v sends workers away", small)
		}
	}
	if crowd := plan(9000, "b", "c"); crowd.Direct < 9000-2*MaxWorkerConns(2600) {
		t.Errorf("the leader keeps %d of 9,000, more than the others have room for are lost", crowd.Direct)
	}
}

// A worker's home must not change whenever another machine boots or a node goes:
// each move costs it a heartbeat.
func TestPlanChangeMovesFewWorkers(t *testing.T) {
	p, more, less := plan(2600, "b", "c"), plan(2650, "b", "c"), plan(2600, "b")
	moved, orphans, strays := 0, 0, 0
	for i := range 2600 {
		home := p.NodeFor(worker(i))
		if more.NodeFor(worker(i)) != home {
			moved++
		}
		switch now := less.NodeFor(worker(i)); {
		case home == "c":
			orphans++
		case now != home:
			strays++
		}
	}
	if moved > 60 {
		t.Errorf("50 more workers moved %d", moved)
	}
	// The leader takes what the other has no room for, and only from there.
	if orphans < 800 || strays > 800 {
		t.Errorf("a node is gone: its %d workers, and %d others moved", orphans, strays)
	}
}

func TestRouteAtFollower(t *testing.T) {
	p := plan(2600, "b", "c")
	homes := map[string]string{}
	for i := 0; len(homes) < 3; i++ {
		homes[p.NodeFor(worker(i))] = worker(i)
	}
	small := plan(300, "b", "c")
	away := WorkerHistory{RedirectedTo: "a", SinceRedirect: 3 * time.Second}
	for _, c := range []struct {
		name      string
		worker    string
		p         *Plan
		g         WorkerHistory
		full, cut bool
		to        string
		pass      bool
	}{
		{name: "its own", worker: homes["b"], p: &p, pass: true},
		{name: "the leader's, and new here", worker: homes["a"], p: &p, pass: true},
		{name: "the leader's, and no room", worker: homes["a"], p: &p, full: true, to: "a"},
		{name: "the leader's, but it has come back from there", worker: homes["a"], p: &p, g: away, pass: true},
		{name: "the leader's, but served here for a while", worker: homes["a"], p: &p, g: WorkerHistory{ServedHere: true}, pass: true},
		{name: "another's: passed on all the same", worker: homes["c"], p: &p, pass: true},
		{name: "another's, and no room", worker: homes["c"], p: &p, full: true, to: "c"},
		{name: "another's, no room, but it has come back", worker: homes["c"], p: &p, full: true, g: WorkerHistory{RedirectedTo: "c"}, pass: true},
		{name: "the leader can't be reached from here", worker: homes["b"], p: &p, cut: true, to: "a"},
		{name: "a small fleet, and new here", worker: homes["b"], p: &small, pass: true},
		{name: "a small fleet, kept while it had come back", worker: homes["b"], p: &small, g: WorkerHistory{ServedHere: true}, to: "a"},
		{name: "a new leader: everybody is answered where they are", worker: homes["b"], pass: true},
		{name: "a new leader that can't be reached from here", worker: homes["b"], cut: true, to: "a"},
		{name: "sent there long ago", worker: homes["a"], p: &p, g: WorkerHistory{RedirectedTo: "a", SinceRedirect: time.Minute}, full: true, to: "a"},
	} {
		r := RouteAtFollower(FollowerInput{Self: "b", Leader: "a", Worker: c.worker, Plan: c.p, History: c.g, ConnsFull: c.full, LeaderReachable: !c.cut})
		if r.Forward != c.pass || !r.Forward && r.RedirectTo != c.to {
			t.Errorf("%s: forwarded %v, redirected to %q", c.name, r.Forward, r.RedirectTo)
		}
	}
}

// Only a worker whose lease is fresh is moved, only where there are too many,
// and not to where it has come back from.
func TestRedirectFromLeader(t *testing.T) {
	p := plan(2600, "b", "c")
	w := worker(0)
	for i := 0; p.NodeFor(w) == "a"; i++ {
		w = worker(i)
	}
	home := p.NodeFor(w)
	if to := RedirectFromLeader(LeaderInput{Worker: w, Plan: &p, OpenConns: 2000, LeaseFresh: true}); to != home {
		t.Errorf("sent to %q, not to %q", to, home)
	}
	for name, to := range map[string]string{
		"few are here":       RedirectFromLeader(LeaderInput{Worker: w, Plan: &p, OpenConns: 600, LeaseFresh: true}),
		"its lease is old":   RedirectFromLeader(LeaderInput{Worker: w, Plan: &p, OpenConns: 2000, LeaseFresh: false}),
		"it has come back":   RedirectFromLeader(LeaderInput{Worker: w, Plan: &p, History: WorkerHistory{RedirectedTo: home, SinceRedirect: time.Second}, OpenConns: 2000, LeaseFresh: true}),
		"no other is there":  RedirectFromLeader(LeaderInput{Worker: w, Plan: &Plan{Leader: "a", Workers: 2600, Direct: 2600}, OpenConns: 2500, LeaseFresh: true}),
		"it is at home here": RedirectFromLeader(LeaderInput{Worker: workerOfLeader(&p), Plan: &p, OpenConns: 2000, LeaseFresh: true}),
	} {
		if to != "" {
			t.Errorf("%s: sent to %q", name, to)
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
