package controller

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/admission"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// This file serves workers' heartbeats over HTTP. Where each worker belongs is decided
// in package routing, and what a leader answers in heartbeat_response.go.

// heartbeatHeader is what a heartbeat says of whose it is, and how new. The field names in the
// tags are the protocol's; the rest of the heartbeat is decoded by the leader alone.
type heartbeatHeader struct {
	Machine string `msgpack:"poste"`
	Session uint64 `msgpack:"quart"`
	Seq     uint64 `msgpack:"numero"`
}

func (n *Node) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	conn := admission.ConnFromContext(r.Context())
	if conn != nil {
		conn.SetKind(admission.KindWorker)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		writeError(w, http.StatusBadRequest, "unreadable", 0)
		return
	}
	var who heartbeatHeader
	if err := wire.Unmarshal(body, &who); err != nil || who.Machine == "" {
		writeError(w, http.StatusBadRequest, "malformed report", 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 3500*time.Millisecond)
	defer cancel()
	if err := n.heartbeatLimiter.Acquire(ctx, n.workerLeaseLeft(who.Machine, -1)); err != nil {
		n.metrics.Refused("too many reports")
		w.Header().Set("Connection", "close")
		writeError(w, http.StatusServiceUnavailable, "too many reports under way", 1)
		return
	}
	defer n.heartbeatLimiter.Release()
	a := n.answerOrForward(ctx, who, body)
	if a.Status == http.StatusOK && !a.Repeated {
		// A copy that came to this node shows nothing of whether the worker is answered
		// here. Where it was the copy that came first, its worker counts as longer
		// unanswered than it is, and waits the shorter.
		n.lastAnswered.Record(who.Machine, time.Now())
	}
	if n.workerConnsFull() {
		// It needs a connection for its report only. Sockets that workers keep
		// are missed by this node's own calls.
		w.Header().Set("Connection", "close")
	}
	writeAnswer(w, a)
}

// workerLeaseLeft is how many seconds a worker's lease has left, as far as is known
// here; agoS is what another node knows of its last answer, negative for
// nothing. Of one that nobody knows the worst is assumed.
func (n *Node) workerLeaseLeft(machine string, agoS float64) float64 {
	if ago, ok := n.lastAnswered.Since(machine, time.Now()); ok && (agoS < 0 || ago.Seconds() < agoS) {
		agoS = ago.Seconds()
	}
	if agoS < 0 {
		return 0
	}
	return n.cfg.Cluster.Workers.LeaseS - agoS
}

func redirectTo(leader string) peerrpc.Answer {
	return newAnswer(http.StatusMisdirectedRequest, wire.Redirect{Leader: leader}, 0)
}

// answerOrForward serves a worker's report: here if this node leads, and otherwise by
// passing it on to the leader, or by naming the node where the worker belongs.
func (n *Node) answerOrForward(ctx context.Context, who heartbeatHeader, body []byte) peerrpc.Answer {
	machine := who.Machine
	if l := n.activeLeadership(); l != nil && l.lease.Valid() {
		if l.isCurrent(who) { // nobody is moved by a late copy
			if to := n.routeAsLeader(machine); to != "" {
				n.recordRedirect(machine, to)
				return redirectTo(to)
			}
		}
		return l.answerHeartbeat(ctx, body, -1, n.cfg.Node)
	}
	leader := n.awaitLeader(ctx)
	if l := n.activeLeadership(); l != nil {
		return l.answerHeartbeat(ctx, body, -1, n.cfg.Node)
	}
	if leader == "" || leader == n.cfg.Node {
		return redirectTo(n.fallbackNode(machine))
	}
	to, pass := n.routeAsFollower(machine, leader)
	if !pass {
		n.recordRedirect(machine, to)
		return redirectTo(to)
	}
	return n.forwardHeartbeat(ctx, machine, leader, body)
}

// isCurrent says whether a report is not older than what is known of its worker.
func (l *leadership) isCurrent(who heartbeatHeader) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.IsNewerHeartbeat(who.Machine, who.Session, who.Seq)
}

// answeredRecently says whether a worker was answered here so lately that a move which
// fails does not bring its lease near its end.
func (n *Node) answeredRecently(machine string) bool {
	w := n.cfg.Cluster.Workers
	ago, ok := n.lastAnswered.Since(machine, time.Now())
	return ok && ago < config.Seconds(min(2*w.ReportS+0.5, w.LeaseS/2))
}
