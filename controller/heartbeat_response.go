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

// answerHeartbeat answers a worker. agoS is how long ago the node that passes the report
// on last had an answer for it, negative if that is not known; via is the node that
// it came to.
func (l *leadership) answerHeartbeat(ctx context.Context, body []byte, agoS float64, via string) peerrpc.Answer {
	unsure := newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "not sure of leading"}, 1)
	if !l.lease.Valid() {
		return unsure
	}
	var r wire.Report
	if err := wire.Unmarshal(body, &r); err != nil || r.Machine == "" || r.Session == 0 {
		l.log.Info("malformed heartbeat", "err", err)
		return newAnswer(http.StatusBadRequest, wire.Error{Error: "malformed report"}, 0)
	}
	if err := l.heartbeatLimiter.Acquire(ctx, l.node.workerLeaseLeft(r.Machine, agoS)); err != nil {
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
		if cmds, ok := l.model.AnswerRetry(&r, via); ok {
			l.mu.Unlock()
			l.heartbeatLimiter.Release()
			a := l.commandResponse(cmds)
			a.Repeated = true
			return a
		}
	}
	if mc != nil {
		l.model.ObserveReceivingNode(mc, via, now)
		if via == l.node.cfg.Node {
			l.lastDirectHeartbeat = now // a late copy shows nothing of whether workers reach this node
		}
	}
	l.heartbeatLimiter.Release()
	if mc != nil && l.model.PlacesFreed != freed {
		mc.HeldAnswers++
		l.awaitSchedulingPass()
		mc.HeldAnswers--
	}
	// The lease is looked at last: the answer counts from here. A worker that
	// has sent another report meanwhile waits for this answer no more.
	if mc == nil || mc.Seq != r.Seq || mc.AgentEpoch != r.Session || !l.lease.Valid() {
		l.mu.Unlock()
		return unsure
	}
	cmds := l.model.AnswerHeartbeat(mc, &r, time.Now())
	l.mu.Unlock()
	wake(l.schedulerWake)
	wake(l.committerWake)
	return l.commandResponse(cmds)
}

// commandResponse is the answer of a leader that was sure of its lease when it made them.
func (l *leadership) commandResponse(cmds []wire.Command) peerrpc.Answer {
	if cmds == nil {
		cmds = []wire.Command{}
	}
	return newAnswer(http.StatusOK, wire.ReportAnswer{Token: l.lease.FencingToken, Commands: cmds}, 0)
}

// maxResponseDelay is how long an answer waits for what is to follow from its report.
// It is worth the more the longer the worker's next report takes to come; a
// worker gives an answer up after 4 s.
func (l *leadership) maxResponseDelay() time.Duration {
	return config.Seconds(min(max(0.4, l.node.cfg.Cluster.Workers.ReportS/4), 1.5))
}

// awaitSchedulingPass holds an answer back until room that the report has freed is given
// out and recorded, so that the launch goes with this answer and not with that
// to the next report. The lock is held before and after, not meanwhile.
func (l *leadership) awaitSchedulingPass() {
	target := l.passCount + 1
	timer := time.NewTimer(l.maxResponseDelay())
	defer timer.Stop()
	wake(l.schedulerWake)
	for l.passCount < target || l.committing || !l.model.AllWritesIssued() {
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

// broadcastProgress wakes those who wait for a pass or a batch; the lock is held.
func (l *leadership) broadcastProgress() {
	close(l.progress)
	l.progress = make(chan struct{})
}
