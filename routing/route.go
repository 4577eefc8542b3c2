package routing

import "time"

const (
	// returnWindow is the time after a redirection within which the return of a worker
	// indicates that it can't reach the node it was redirected to.
	returnWindow = 20 * time.Second
	// connSlackDivisor determines how many connections more than Plan.Direct a leader
	// tolerates before it redirects workers: Plan.Direct divided by it.
	connSlackDivisor = 16
)

// WorkerHistory is what a node knows about its recent contact with a worker.
type WorkerHistory struct {
	RedirectedTo  string        // node that it was last redirected to from here; "" if none
	SinceRedirect time.Duration // time since that redirection
	ServedHere    bool          // it was answered here within its lease time
}

// BouncedFrom reports whether the worker, whose heartbeat has just arrived here, was
// redirected to the given node less than returnWindow ago. The worker then presumably
// can't reach that node. If it returned for another reason, the cost is one additional hop.
func (h WorkerHistory) BouncedFrom(node string) bool {
	return h.RedirectedTo == node && h.SinceRedirect < returnWindow
}

// Route is a follower's decision about a heartbeat.
type Route struct {
	Forward    bool   // forward it to the leader
	RedirectTo string // otherwise: the node to redirect the worker to
}

// FollowerInput is the input of RouteAtFollower.
type FollowerInput struct {
	Self, Leader    string
	Worker          string
	Plan            *Plan // nil if no recent plan is known: new or unreachable leader
	History         WorkerHistory
	ConnsFull       bool // this node holds more connections of workers than MaxWorkerConns
	LeaderReachable bool // peerrpc.HeartbeatStream.Reachable of the stream to the leader
}

// RouteAtFollower decides what a follower does with a worker's heartbeat.
func RouteAtFollower(in FollowerInput) Route {
	forward, redirectToLeader := Route{Forward: true}, Route{RedirectTo: in.Leader}
	switch {
	case in.History.BouncedFrom(in.Leader):
		return forward
	case !in.LeaderReachable:
		return redirectToLeader
	case in.Plan == nil || in.Plan.Leader != in.Leader:
		// During a change of leader no worker is moved: redirecting all of them
		// would add load to the new leader when it has the most to do.
		return forward
	}
	home := in.Plan.NodeFor(in.Worker)
	if home == in.Self || home == in.Leader && in.History.ServedHere && in.Plan.UsesRelays() {
		return forward
	}
	if home != in.Leader && (!in.ConnsFull || in.History.BouncedFrom(home)) {
		return forward
	}
	// A worker that is new here is answered first and redirected only later, with a
	// fresh lease. A machine whose incoming packets are lost gets no answer anywhere and
	// keeps changing nodes. If each node redirected it, its heartbeats would rarely reach
	// the leader, which would learn late whether a launched task runs there.
	if !in.History.ServedHere && !in.ConnsFull {
		return forward
	}
	return Route{RedirectTo: home}
}

// LeaderInput is the input of RedirectFromLeader.
type LeaderInput struct {
	Worker     string
	Plan       *Plan
	History    WorkerHistory
	OpenConns  int  // open connections of workers at the leader
	LeaseFresh bool // the worker's lease would outlast a failed redirection
}

// RedirectFromLeader returns the node to which the leader redirects a worker that sent its
// heartbeat to the leader directly, or "" if the worker stays. Only workers with a fresh
// lease are redirected, since a redirection that fails takes seconds of the lease.
func RedirectFromLeader(in LeaderInput) string {
	if !in.Plan.UsesRelays() || !in.LeaseFresh || in.OpenConns <= in.Plan.Direct+in.Plan.Direct/connSlackDivisor {
		return ""
	}
	home := in.Plan.NodeFor(in.Worker)
	if home == in.Plan.Leader || in.History.BouncedFrom(home) {
		return ""
	}
	return home
}
