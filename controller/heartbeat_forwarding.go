package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// forwardHeartbeat forwards a heartbeat to the leader and relays the answer. A 200 renews
// the worker's lease, so it is only ever the leader's own, given under a valid leader
// lease and with its fencing token. Everything else becomes a redirect to the leader or
// a 503.
func (n *Node) forwardHeartbeat(ctx context.Context, machine, leader string, body []byte) peerrpc.Answer {
	stream := n.peerStream(leader)
	if stream == nil {
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "no such leader"}, 1)
	}
	r := peerrpc.Request{From: n.cfg.Node, Body: body, SinceAnswerS: -1}
	if ago, ok := n.lastAnswered.Since(machine, time.Now()); ok {
		r.SinceAnswerS = ago.Seconds()
	}
	a, err := stream.Forward(ctx, r)
	if err != nil {
		n.log.Debug("heartbeat not forwarded", "machine", machine, "leader", leader, "err", err)
		n.countForwarding(func(c *forwardingCounts) { c.failed++ })
		if !stream.Reachable() && ctx.Err() == nil && !n.workerHistory(machine).BouncedFrom(leader) {
			n.recordRedirect(machine, leader)
			return redirectTo(leader)
		}
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the leader is not reached"}, 1)
	}
	if a.Status == http.StatusMisdirectedRequest && !n.workerHistory(machine).BouncedFrom(leader) {
		// The leader has been elected but is still loading its records. After a 503 the
		// worker would try the next node, possibly the failed old leader, and lose
		// seconds of its lease. At the leader itself, its heartbeat waits for the load.
		n.recordRedirect(machine, leader)
		return redirectTo(leader)
	}
	if a.Status != http.StatusOK {
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the leader does not answer"}, 1)
	}
	n.countForwarding(func(c *forwardingCounts) { c.forwarded++ })
	return a
}

// HandleHeartbeat implements peerrpc.Handler: it answers a heartbeat that a follower
// forwards.
func (n *Node) HandleHeartbeat(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	if !n.isLeader() {
		// Wait for an election in progress: an immediate refusal would make every
		// worker retry within a second through another node, all at the same time.
		n.awaitLeader(ctx)
	}
	l := n.activeLeadership()
	if l == nil {
		return redirectTo("") // the records are not loaded yet, or leadership was lost
	}
	return l.answerHeartbeat(ctx, r.Body, r.SinceAnswerS, r.From)
}
