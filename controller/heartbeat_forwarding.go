package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// forwardHeartbeat forwards a heartbeat to the leader and relays the answer. A 200 renews the
// worker's lease, so only a 200 of the leader itself is relayed. The leader sends it under a
// valid leader lease and with its fencing token. In all other cases the worker receives a
// redirect to the leader or a 503.
func (n *Node) forwardHeartbeat(ctx context.Context, machine, leader string, body []byte) peerrpc.Answer {
	stream := n.peerStream(leader)
	if stream == nil {
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "no such leader"}, 1)
	}
	request := peerrpc.Request{From: n.cfg.Node, Body: body, SinceAnswerS: -1}
	if age, ok := n.lastAnswered.Since(machine, time.Now()); ok {
		request.SinceAnswerS = age.Seconds()
	}
	answer, err := stream.Forward(ctx, request)
	if err != nil {
		n.log.Debug("heartbeat not forwarded", "machine", machine, "leader", leader, "err", err)
		n.countForwarding(func(c *forwardingCounts) { c.failed++ })
		if !stream.Reachable() && ctx.Err() == nil && !n.workerHistory(machine).BouncedFrom(leader) {
			n.recordRedirect(machine, leader)
			return redirectTo(leader)
		}
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the leader is not reached"}, 1)
	}
	if answer.Status == http.StatusMisdirectedRequest && !n.workerHistory(machine).BouncedFrom(leader) {
		// The leader has been elected but is still loading its records. After a 503 the
		// worker would try the next node, possibly the failed old leader, and lose
		// seconds of its lease. After a redirect to the leader, its heartbeat waits for the
		// load.
		n.recordRedirect(machine, leader)
		return redirectTo(leader)
	}
	if answer.Status != http.StatusOK {
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the leader does not answer"}, 1)
	}
	n.countForwarding(func(c *forwardingCounts) { c.forwarded++ })
	return answer
}

// HandleHeartbeat implements peerrpc.Handler. It answers a heartbeat that a follower forwards.
// If this node does not lead, it answers with a redirect without a target.
func (n *Node) HandleHeartbeat(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	if !n.isLeader() {
		// Wait for an election in progress. An immediate refusal would make all workers
		// retry through other nodes within the same second.
		n.awaitLeader(ctx)
	}
	l := n.activeLeadership()
	if l == nil {
		return redirectTo("") // the records are not loaded yet, or the leadership was lost
	}
	return l.answerHeartbeat(ctx, r.Body, r.SinceAnswerS, r.From)
}
