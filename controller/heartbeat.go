// The HTTP handler for workers' heartbeats. Package routing decides to which node a worker
// should send heartbeats. The leader's answers are created in heartbeat_response.go.

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

// heartbeatHeader holds the fields of a heartbeat that every node needs: the worker, the
// epoch of its agent and the sequence number within the epoch. The tags are the protocol's
// field names. Only the leader decodes the other fields.
type heartbeatHeader struct {
	Machine    string `msgpack:"poste"`
	AgentEpoch uint64 `msgpack:"quart"`
	Seq        uint64 `msgpack:"numero"`
}

// serveHeartbeat handles a heartbeat that a worker sends to this node.
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
	var header heartbeatHeader
	if err := wire.Unmarshal(body, &header); err != nil || header.Machine == "" {
		writeError(w, http.StatusBadRequest, "malformed report", 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 3500*time.Millisecond)
	defer cancel()
	if err := n.heartbeatLimiter.Acquire(ctx, n.workerLeaseLeft(header.Machine, -1)); err != nil {
		n.metrics.CountRefusal("too many reports")
		w.Header().Set("Connection", "close")
		writeError(w, http.StatusServiceUnavailable, "too many reports under way", 1)
		return
	}
	defer n.heartbeatLimiter.Release()
	answer := n.answerOrForward(ctx, header, body)
	if answer.Status == http.StatusOK && !answer.Repeated {
		// The answer to a duplicate is not recorded, because it does not prove that the
		// worker receives this node's answers. If the duplicate overtook the original,
		// the worker's lease is underestimated. This only raises the worker's priority.
		n.lastAnswered.Record(header.Machine, time.Now())
	}
	if n.workerConnsFull() {
		// A worker needs a connection only while it sends a heartbeat. Idle connections
		// would take the sockets that this node needs for its own requests.
		w.Header().Set("Connection", "close")
	}
	writeAnswer(w, answer)
}

// workerLeaseLeft estimates how many seconds are left of a worker's lease, from the most
// recent known answer to the worker. sinceAnswerS is the time in seconds since the last answer
// of the node that forwarded the heartbeat, negative if there is none. If no answer is known,
// it returns 0, so that the worker is served first. An expired lease is negative.
func (n *Node) workerLeaseLeft(machine string, sinceAnswerS float64) float64 {
	if age, ok := n.lastAnswered.Since(machine, time.Now()); ok && (sinceAnswerS < 0 || age.Seconds() < sinceAnswerS) {
		sinceAnswerS = age.Seconds()
	}
	if sinceAnswerS < 0 {
		return 0
	}
	return n.cfg.Cluster.Workers.LeaseS - sinceAnswerS
}

// redirectTo returns the answer that redirects a worker to a node. If node is "", the answer
// names no target.
func redirectTo(node string) peerrpc.Answer {
	return newAnswer(http.StatusMisdirectedRequest, wire.Redirect{Leader: node}, 0)
}

// answerOrForward answers a heartbeat if this node leads. Otherwise it forwards the heartbeat
// to the leader or redirects the worker to another node.
func (n *Node) answerOrForward(ctx context.Context, header heartbeatHeader, body []byte) peerrpc.Answer {
	machine := header.Machine
	if l := n.activeLeadership(); l != nil && l.lease.Valid() {
		if l.isNewHeartbeat(header) { // a delayed duplicate must not redirect the worker
			if target := n.routeAsLeader(machine); target != "" {
				n.recordRedirect(machine, target)
				return redirectTo(target)
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
	target, forward := n.routeAsFollower(machine, leader)
	if !forward {
		n.recordRedirect(machine, target)
		return redirectTo(target)
	}
	return n.forwardHeartbeat(ctx, machine, leader, body)
}

// isNewHeartbeat reports whether a heartbeat is newer than the last one that the model has
// applied for its worker.
func (l *leadership) isNewHeartbeat(header heartbeatHeader) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.IsNewerHeartbeat(header.Machine, header.AgentEpoch, header.Seq)
}

// answeredRecently reports whether this node answered a worker so recently that the worker's
// lease survives a failed redirect.
func (n *Node) answeredRecently(machine string) bool {
	workers := n.cfg.Cluster.Workers
	age, ok := n.lastAnswered.Since(machine, time.Now())
	return ok && age < config.Seconds(min(2*workers.HeartbeatS+0.5, workers.LeaseS/2))
}
