package routing

import "time"

const (
	// returnWindow is for how long a worker that comes back is taken not to reach the
	// node that it was redirected to.
	returnWindow = 20 * time.Second
	// slackFraction: a leader redirects workers once it has one in so many more than
	// planned.
	slackFraction = 16
)

// WorkerHistory is what a node remembers of a worker.
type WorkerHistory struct {
	RedirectedTo  string        // the node it was redirected to last, "" if to none
	SinceRedirect time.Duration // since then
	ServedHere    bool          // it has had answers here lately
}

// ReturnedFrom reports whether the worker was redirected to a node a moment ago and is
// here again: it may not reach that node. An answer that is missing there for other
// reasons costs one more hop, nothing else.
func (h WorkerHistory) ReturnedFrom(node string) bool {
	return h.RedirectedTo == node && h.SinceRedirect < returnWindow
}

// Route is what a follower does with a heartbeat.
type Route struct {
	Forward    bool   // to the leader
	RedirectTo string // where the worker is redirected otherwise
}

// FollowerInput is what a follower knows when a heartbeat arrives.
type FollowerInput struct {
	Self, Leader    string
	Worker          string
	Plan            *Plan // nil where the leader's is not known: just elected, or not reached from here
	History         WorkerHistory
	ConnsFull       bool // this node has no room for one more worker's connection
	LeaderReachable bool // heartbeats can be forwarded to the leader at all
}

// RouteAtFollower says what a node that does not lead does with a worker's heartbeat.
func RouteAtFollower(in FollowerInput) Route {
	forward, redirectToLeader := Route{Forward: true}, Route{RedirectTo: in.Leader}
	switch {
	case in.History.ReturnedFrom(in.Leader):
		return forward
	case !in.LeaderReachable:
		return redirectToLeader
	case in.Plan == nil || in.Plan.Leader != in.Leader:
		// Through a change of leader each is answered where it is: nothing is
		// gained by a crowd at the new one, which has everything to do.
		return forward
	}
	home := in.Plan.NodeFor(in.Worker)
	if home == in.Self || home == in.Leader && in.History.ServedHere && in.Plan.UsesRelays() {
		return forward
	}
	if home != in.Leader && (!in.ConnsFull || in.History.ReturnedFrom(home)) {
		return forward
	}
	// One that is new here is answered first, and moved with a fresh lease. A machine
	// that does not receive answers goes from node to node: redirected by each of them,
	// the leader heard of it every 15 s, and what was launched there waited as long.
	if !in.History.ServedHere && !in.ConnsFull {
		return forward
	}
	return Route{RedirectTo: home}
}

// LeaderInput is what the leader knows when a heartbeat has arrived at it directly.
type LeaderInput struct {
	Worker     string
	Plan       *Plan
	History    WorkerHistory
	OpenConns  int  // workers' connections that are open here
	LeaseFresh bool // the worker was answered so lately that a failing move does not endanger its lease
}

// RedirectFromLeader says where the leader redirects a worker, "" to keep it. Only one
// whose lease is fresh is moved, since the move may fail and then costs it seconds.
func RedirectFromLeader(in LeaderInput) string {
	if !in.Plan.UsesRelays() || !in.LeaseFresh || in.OpenConns <= in.Plan.Direct+in.Plan.Direct/slackFraction {
		return ""
	}
	home := in.Plan.NodeFor(in.Worker)
	if home == in.Plan.Leader || in.History.ReturnedFrom(home) {
		return ""
	}
	return home
}
