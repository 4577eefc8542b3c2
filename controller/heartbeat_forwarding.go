package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// forwardHeartbeat passes a report on to the leader. What comes back is the leader's own
// answer with its token: a 200 is the leader's, given while it was sure of its
// lease, and everything else is a 503 here.
func (n *Node) forwardHeartbeat(ctx context.Context, machine, leader string, body []byte) peerrpc.Answer {
	lane := n.peerStream(leader)
	if lane == nil {
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "no such leader"}, 1)
	}
	r := peerrpc.Request{From: n.cfg.Node, Body: body, SinceAnswerS: -1}
	if ago, ok := n.lastAnswered.Since(machine, time.Now()); ok {
		r.SinceAnswerS = ago.Seconds()
	}
	a, err := lane.Forward(ctx, r)
	if err != nil {
		n.log.Debug("heartbeat not forwarded", "machine", machine, "leader", leader, "err", err)
		n.countForwarding(func(c *forwardingCounts) { c.failed++ })
		if !lane.Reachable() && ctx.Err() == nil && !n.workerHistory(machine).ReturnedFrom(leader) {
			n.recordRedirect(machine, leader)
			return redirectTo(leader)
		}
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the leader is not reached"}, 1)
	}
	if a.Status == http.StatusMisdirectedRequest && !n.workerHistory(machine).ReturnedFrom(leader) {
		// It was elected and has not read the records yet. Refused here, the worker would
		// go on to the next node, which may be the one that has ended, and lose seconds of
		// its lease to that; at the leader its report waits until that is ready.
		n.recordRedirect(machine, leader)
		return redirectTo(leader)
	}
	if a.Status != http.StatusOK {
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the leader does not answer"}, 1)
	}
	n.countForwarding(func(c *forwardingCounts) { c.forwarded++ })
	return a
}

// HandleHeartbeat implements peerrpc.Handler: a report that another node received.
func (n *Node) HandleHeartbeat(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	if !n.isLeader() {
		// Sent away, the worker would come back in a second, by way of another
		// node, and so would all others.
		n.awaitLeader(ctx)
	}
	l := n.activeLeadership()
	if l == nil {
		return redirectTo("") // it has not read the records yet, or leads no more
	}
	return l.answerHeartbeat(ctx, r.Body, r.SinceAnswerS, r.From)
}
