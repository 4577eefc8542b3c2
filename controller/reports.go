package controller

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/mesh"
	"github.com/umberdeal/umberdeal/wire"
)

// sentAwayFor is for how long a worker that comes back is taken not to reach
// the leader it was sent to.
const sentAwayFor = 20 * time.Second

func (n *Node) serveReport(w http.ResponseWriter, r *http.Request) {
	select {
	case n.reports <- struct{}{}:
		defer func() { <-n.reports }()
	default:
		writeError(w, http.StatusServiceUnavailable, "too many reports under way", 1)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		writeError(w, http.StatusBadRequest, "unreadable", 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), 3500*time.Millisecond)
	defer cancel()
	write(w, n.report(ctx, body))
}

func redirect(leader string) mesh.Answer {
	return answer(http.StatusMisdirectedRequest, wire.Redirect{Leader: leader}, 0)
}

// report serves a worker's report: here if this node leads, and otherwise by
// naming the leader, or by passing the report on where the worker has come
// back from there.
func (n *Node) report(ctx context.Context, body []byte) mesh.Answer {
	if l := n.leadership(); l != nil && l.term.Valid() {
		return l.report(body, true)
	}
	var who struct {
		Machine string `msgpack:"poste"`
	}
	if err := wire.Unmarshal(body, &who); err != nil || who.Machine == "" {
		return answer(http.StatusBadRequest, wire.Error{Error: "malformed report"}, 0)
	}
	leader := n.awaitLeader(ctx)
	if l := n.leadership(); l != nil {
		return l.report(body, true)
	}
	if leader == "" || leader == n.cfg.Node {
		return redirect(n.elsewhere(who.Machine))
	}
	now := time.Now()
	n.mu.Lock()
	away, back := n.sentAway[who.Machine]
	// One that was sent to an earlier leader has not tried this one yet.
	back = back && away.leader == leader && now.Sub(away.at) < sentAwayFor
	if !back {
		if len(n.sentAway) > 5000 {
			clear(n.sentAway)
		}
		n.sentAway[who.Machine] = sentAway{leader: leader, at: now}
	}
	n.mu.Unlock()
	if !back {
		return redirect(leader)
	}
	if p := n.peer(leader); p != nil {
		if a, err := p.Report(ctx, body); err == nil {
			if a.Status != http.StatusOK {
				return answer(http.StatusServiceUnavailable, wire.Error{Error: "the leader does not answer"}, 1)
			}
			// Sent away again after a while, in case it reaches the leader by
			// then.
			n.mu.Lock()
			if !away.relayed {
				n.sentAway[who.Machine] = sentAway{leader: leader, at: now, relayed: true}
				n.log.Info("passing reports on", "machine", who.Machine, "leader", leader)
			}
			n.mu.Unlock()
			return a
		}
	}
	return answer(http.StatusServiceUnavailable, wire.Error{Error: "the leader is not reached"}, 1)
}

// Report implements mesh.Handler.
func (n *Node) Report(_ context.Context, body []byte) mesh.Answer {
	if l := n.leadership(); l != nil {
		return l.report(body, false)
	}
	return answer(http.StatusServiceUnavailable, wire.Error{Error: "not the leader"}, 1)
}
