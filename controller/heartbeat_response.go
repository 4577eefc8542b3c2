// The leader's responses to heartbeats.

package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// answerHeartbeat applies a heartbeat to the model and answers it as the leader. receivedBy is
// the node that received the heartbeat from the worker. sinceAnswerS is the time in seconds
// since that node last relayed an answer to the worker, negative if unknown.
func (l *leadership) answerHeartbeat(ctx context.Context, body []byte, sinceAnswerS float64, receivedBy string) peerrpc.Answer {
	unsure := newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "not sure of leading"}, 1)
	if !l.lease.Valid() {
		return unsure
	}
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(body, &heartbeat); err != nil || heartbeat.Machine == "" || heartbeat.AgentEpoch == 0 {
		l.log.Info("malformed heartbeat", "err", err)
		return newAnswer(http.StatusBadRequest, wire.Error{Error: "malformed report"}, 0)
	}
	if err := l.heartbeatLimiter.Acquire(ctx, l.node.workerLeaseLeft(heartbeat.Machine, sinceAnswerS)); err != nil {
		return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "too many reports under way"}, 1)
	}
	l.mu.Lock()
	now := time.Now()
	if heartbeat.Token > l.model.FencingToken {
		l.mu.Unlock()
		l.heartbeatLimiter.Release()
		l.log.Info("worker has seen a higher fencing token", "machine", heartbeat.Machine, "token", heartbeat.Token)
		l.lease.Resign()
		return redirectTo("")
	}
	placesFreedBefore := l.model.PlacesFreed
	machine := l.model.ApplyHeartbeat(&heartbeat, now)
	if machine == nil && l.lease.Valid() {
		if commands, ok := l.model.AnswerRetry(&heartbeat, receivedBy); ok {
			l.mu.Unlock()
			l.heartbeatLimiter.Release()
			answer := l.commandResponse(commands)
			answer.Repeated = true
			return answer
		}
	}
	if machine != nil {
		l.model.RecordReceivingNode(machine, receivedBy, now)
		if receivedBy == l.node.cfg.Node {
			// Only a new heartbeat counts. A delayed duplicate does not prove that
			// workers can reach this node now.
			l.lastDirectHeartbeat = now
		}
	}
	l.heartbeatLimiter.Release()
	if machine != nil && l.model.PlacesFreed != placesFreedBefore {
		machine.DelayAnswer()
		l.awaitSchedulingPass()
		machine.EndAnswerDelay()
	}
	// Check the leader lease as late as possible, because the worker's lease in the model
	// starts with this answer. A worker that has sent a newer heartbeat in the meantime no
	// longer waits for this answer.
	if machine == nil || machine.Seq != heartbeat.Seq || machine.AgentEpoch != heartbeat.AgentEpoch || !l.lease.Valid() {
		l.mu.Unlock()
		return unsure
	}
	commands := l.model.AnswerHeartbeat(machine, &heartbeat, time.Now())
	l.mu.Unlock()
	wake(l.schedulerWake)
	wake(l.committerWake)
	return l.commandResponse(commands)
}

// commandResponse returns the 200 response that carries commands. The caller must have checked
// the leader lease when the commands were created.
func (l *leadership) commandResponse(commands []wire.Command) peerrpc.Answer {
	if commands == nil {
		commands = []wire.Command{}
	}
	return newAnswer(http.StatusOK, wire.HeartbeatAnswer{Token: l.lease.FencingToken, Commands: commands}, 0)
}

// maxResponseDelay returns how long an answer may be delayed so that it can carry launches
// for the resources that its heartbeat has freed. The delay grows with the heartbeat interval,
// because without it a launch waits for the next heartbeat. Workers time out after 4 s.
func (l *leadership) maxResponseDelay() time.Duration {
	return config.Seconds(min(max(0.4, l.node.cfg.Cluster.Workers.HeartbeatS/4), 1.5))
}

// awaitSchedulingPass delays an answer, for at most maxResponseDelay, until a scheduling pass
// has used the resources that the heartbeat freed and its placements are committed. A launch
// is then sent with this answer instead of the next one, which comes a heartbeat interval
// later. The caller holds l.mu, which is released during the wait.
func (l *leadership) awaitSchedulingPass() {
	targetPass := l.passCount + 1
	timer := time.NewTimer(l.maxResponseDelay())
	defer timer.Stop()
	wake(l.schedulerWake)
	for l.passCount < targetPass || l.committing || !l.model.NothingToWrite() {
		progress := l.progress
		l.mu.Unlock()
		timedOut := false
		select {
		case <-progress:
		case <-timer.C:
			timedOut = true
		}
		l.mu.Lock()
		if timedOut {
			return
		}
	}
}

// broadcastProgress wakes all goroutines that wait for the end of a scheduling pass or a commit.
// The caller holds l.mu.
func (l *leadership) broadcastProgress() {
	close(l.progress)
	l.progress = make(chan struct{})
}
