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

// This file serves workers' heartbeats over HTTP. Package routing decides to which node
// a worker should send them; heartbeat_response.go makes the leader's answers.

// heartbeatHeader holds the fields of a heartbeat that every node needs: the sender, its
// epoch and the sequence number within it. The tags are the protocol's field names.
// Only the leader decodes the rest.
type heartbeatHeader struct {
	Machine    string `msgpack:"poste"`
	AgentEpoch uint64 `msgpack:"quart"`
	Seq        uint64 `msgpack:"numero"`
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
		n.metrics.CountRefusal("too many reports")
		w.Header().Set("Connection", "close")
		writeError(w, http.StatusServiceUnavailable, "too many reports under way", 1)
		return
	}
	defer n.heartbeatLimiter.Release()
	a := n.answerOrForward(ctx, who, body)
	if a.Status == http.StatusOK && !a.Repeated {
		// The answer to a duplicate does not prove that the worker receives this node's
		// answers, so it is not recorded. If the duplicate overtook the original, the
		// worker's lease looks shorter than it is, which only raises its priority.
		n.lastAnswered.Record(who.Machine, time.Now())
	}
	if n.workerConnsFull() {
		// A worker needs a connection only while it sends a heartbeat; idle ones
		// would use up the sockets that this node needs for its own requests.
		w.Header().Set("Connection", "close")
	}
	writeAnswer(w, a)
}

// workerLeaseLeft estimates how many seconds are left of a worker's lease, from the most
// recent answer that this node knows of. sinceAnswerS is the age of the last answer as another
// node knows it, negative if it does not. A worker without a known answer counts as
// having nothing left, so that it is served first.
func (n *Node) workerLeaseLeft(machine string, sinceAnswerS float64) float64 {
	if ago, ok := n.lastAnswered.Since(machine, time.Now()); ok && (sinceAnswerS < 0 || ago.Seconds() < sinceAnswerS) {
		sinceAnswerS = ago.Seconds()
	}
	if sinceAnswerS < 0 {
		return 0
	}
	return n.cfg.Cluster.Workers.LeaseS - sinceAnswerS
}

func redirectTo(leader string) peerrpc.Answer {
	return newAnswer(http.StatusMisdirectedRequest, wire.Redirect{Leader: leader}, 0)
}

// answerOrForward serves a heartbeat: it answers it if this node leads, and otherwise
// forwards it to the leader or redirects the worker to another node.
func (n *Node) answerOrForward(ctx context.Context, who heartbeatHeader, body []byte) peerrpc.Answer {
	machine := who.Machine
	if l := n.activeLeadership(); l != nil && l.lease.Valid() {
		if l.isNewHeartbeat(who) { // a delayed duplicate must not redirect its worker
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

// isNewHeartbeat reports whether a heartbeat is newer than the last one that the model has
// applied for its worker.
func (l *leadership) isNewHeartbeat(who heartbeatHeader) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.IsNewerHeartbeat(who.Machine, who.AgentEpoch, who.Seq)
}

// answeredRecently reports whether this node answered a worker so recently that its
// lease survives a redirect which fails.
func (n *Node) answeredRecently(machine string) bool {
	w := n.cfg.Cluster.Workers
	ago, ok := n.lastAnswered.Since(machine, time.Now())
	return ok && ago < config.Seconds(min(2*w.HeartbeatS+0.5, w.LeaseS/2))
}
