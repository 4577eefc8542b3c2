package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// This file makes the leader's responses to heartbeats.

// answerHeartbeat applies a heartbeat and answers it as the leader. receivedBy is the node that
// received it from the worker, and sinceAnswerS the seconds since that node last relayed an
// answer to the worker, negative if it does not know.
func (l *leadership) answerHeartbeat(ctx context.Context, body []byte, sinceAnswerS float64, receivedBy string) peerrpc.Answer {
	unsure := newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "not sure of leading"}, 1)
	if !l.lease.Valid() {
		return unsure
	}
	var r wire.Heartbeat
	if err := wire.Unmarshal(body, &r); err != nil || r.Machine == "" || r.AgentEpoch == 0 {
		l.log.Info("malformed heartbeat", "err", err)
		return newAnswer(http.StatusBadRequest, wire.Error{Error: "malformed report"}, 0)
	}
	if err := l.heartbeatLimiter.Acquire(ctx, l.node.workerLeaseLeft(r.Machine, sinceAnswerS)); err != nil {
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "too many reports under way"}, 1)
	}
	l.mu.Lock()
	now := time.Now()
	if r.Token > l.model.FencingToken {
		l.mu.Unlock()
		l.heartbeatLimiter.Release()
		l.log.Info("worker has seen a higher fencing token", "machine", r.Machine, "token", r.Token)
		l.lease.Resign()
		return redirectTo("")
	}
	freed := l.model.PlacesFreed
	mc := l.model.ApplyHeartbeat(&r, now)
	if mc == nil && l.lease.Valid() {
		if cmds, ok := l.model.AnswerRetry(&r, receivedBy); ok {
			l.mu.Unlock()
			l.heartbeatLimiter.Release()
			a := l.commandResponse(cmds)
			a.Repeated = true
			return a
		}
	}
	if mc != nil {
		l.model.RecordReceivingNode(mc, receivedBy, now)
		if receivedBy == l.node.cfg.Node {
			// Only a new heartbeat counts: a delayed duplicate does not prove that
			// workers can reach this node now.
			l.lastDirectHeartbeat = now
		}
	}
	l.heartbeatLimiter.Release()
	if mc != nil && l.model.PlacesFreed != freed {
		mc.DelayAnswer()
		l.awaitSchedulingPass()
		mc.EndAnswerDelay()
	}
	// Check the leader lease as late as possible: the model counts the worker's lease
	// from this answer. A worker that has sent a newer heartbeat while this one waited
	// no longer waits for this answer.
	if mc == nil || mc.Seq != r.Seq || mc.AgentEpoch != r.AgentEpoch || !l.lease.Valid() {
		l.mu.Unlock()
		return unsure
	}
	cmds := l.model.AnswerHeartbeat(mc, &r, time.Now())
	l.mu.Unlock()
	wake(l.schedulerWake)
	wake(l.committerWake)
	return l.commandResponse(cmds)
}

// commandResponse makes the 200 response that carries cmds. The caller must have checked
// the leader lease when it made them.
func (l *leadership) commandResponse(cmds []wire.Command) peerrpc.Answer {
	if cmds == nil {
		cmds = []wire.Command{}
	}
	return newAnswer(http.StatusOK, wire.HeartbeatAnswer{Token: l.lease.FencingToken, Commands: cmds}, 0)
}

// maxResponseDelay is how long an answer may be delayed so that it can carry launches
// for the resources that its heartbeat has freed. Waiting pays off more where the next
// heartbeat is further away. Workers time out after 4 s.
func (l *leadership) maxResponseDelay() time.Duration {
	return config.Seconds(min(max(0.4, l.node.cfg.Cluster.Workers.HeartbeatS/4), 1.5))
}

// awaitSchedulingPass delays an answer, for maxResponseDelay at most, until a scheduling
// pass has used the resources that the heartbeat freed and its placements are committed.
// The launch then goes out with this answer instead of the next one, a heartbeat interval
// later. The caller holds l.mu, which is released during the wait.
func (l *leadership) awaitSchedulingPass() {
	target := l.passCount + 1
	timer := time.NewTimer(l.maxResponseDelay())
	defer timer.Stop()
	wake(l.schedulerWake)
	for l.passCount < target || l.committing || !l.model.NothingToWrite() {
		turned := l.progress
		l.mu.Unlock()
		late := false
		select {
		case <-turned:
		case <-timer.C:
			late = true
		}
		l.mu.Lock()
		if late {
			return
		}
	}
}

// broadcastProgress wakes everyone who waits for a scheduling pass or a commit to end.
// The caller holds l.mu.
func (l *leadership) broadcastProgress() {
	close(l.progress)
	l.progress = make(chan struct{})
}
