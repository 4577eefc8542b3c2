package fake

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// This file sends workers' heartbeats and receives the answers to them.

const (
	// replyTimeout is how long after its heartbeat a worker accepts the answer.
	replyTimeout = 4 * time.Second
	// maxReply is the most that is read of an answer, in bytes.
	maxReply = 1 << 20
	// minHeartbeatInterval is the least between two heartbeats, also where something has changed.
	minHeartbeatInterval = 500 * time.Millisecond
)

// heartbeat is the worker's message; the cluster's lock is held.
func (m *machine) heartbeat() wire.Heartbeat {
	m.lastSeq++
	r := wire.Heartbeat{Machine: m.name, Addr: m.addr, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		AgentEpoch: m.epoch, Seq: m.lastSeq, Token: m.token, NoticeS: m.interruptionNotice}
	for _, k := range m.order {
		t := m.tasks[k]
		r.Tasks = append(r.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, ExitReason: t.exitReason, Saved: t.saved})
	}
	return r
}

// sendHeartbeats sends a heartbeat at each interval, and sooner where something has changed, until
// the machine ends.
func (m *machine) sendHeartbeats() {
	last := time.Time{}
	for m.ctx.Err() == nil {
		m.cluster.mu.Lock()
		interval := secs(m.cluster.Settings.Cluster.Workers.HeartbeatS * (0.75 + 0.5*m.cluster.random.Float64()))
		hung, changed := m.hung, m.heartbeatDue
		m.cluster.mu.Unlock()
		since := time.Since(last)
		if hung || since < interval && (!changed || since < minHeartbeatInterval) {
			if !call.Pause(m.ctx, stepInterval) {
				return
			}
			continue
		}
		last = time.Now()
		if !m.send(last) && !call.Pause(m.ctx, time.Second) {
			return
		}
	}
}

// send makes one heartbeat; false says that another node is to be tried.
func (m *machine) send(at time.Time) bool {
	r, node, overtaken := m.nextHeartbeat()
	copied := uint64(0)
	if overtaken {
		copied = m.cluster.sendCopiesAhead(r)
	}
	ctx, cancel := context.WithTimeout(m.ctx, replyTimeout)
	defer cancel()
	status, body, err := call.Do(ctx, m.client, http.MethodPost, "http://"+node.addr+wire.PathHeartbeat, r, maxReply)
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.awaitResume(at)
	if m.dead {
		return true
	}
	if err == nil {
		m.cluster.answeredHeartbeats[nodeAndMachine{node.name, m.name}] = at
		m.cluster.countOvertaken(r, copied, status)
	}
	if err != nil || status != http.StatusOK {
		m.heartbeatDue = true
		if err == nil && m.redirect(status, body) {
			return true
		}
		m.heartbeatsTo = (m.heartbeatsTo + 1) % len(m.cluster.nodes)
		return false
	}
	m.takeAnswer(r, node, body, at)
	return true
}

// nextHeartbeat composes a heartbeat, chooses the node that it is sent to, and draws whether
// copies of it go ahead.
func (m *machine) nextHeartbeat() (r wire.Heartbeat, to *node, overtaken bool) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.heartbeatDue = false
	r = m.heartbeat()
	m.cluster.maybeDuplicate(r)
	m.cluster.keepForFailover(r)
	to = m.cluster.nodes[m.heartbeatsTo%len(m.cluster.nodes)]
	overtaken = m.cluster.failoverCopies.overtakeOneIn > 0 && m.cluster.pick(m.cluster.failoverCopies.overtakeOneIn) == 0
	return r, to, overtaken
}

// awaitResume waits while the machine hangs, at most until it drops the answer to the
// report that it sent at a time: what came while it hung is there when it resumes. The
// cluster's lock is held, but not while it waits.
func (m *machine) awaitResume(sent time.Time) {
	for m.hung && !m.dead && time.Since(sent) < replyTimeout {
		m.cluster.mu.Unlock()
		time.Sleep(stepInterval)
		m.cluster.mu.Lock()
	}
}

// redirect makes the machine report to the leader that a node has named, and reports whether
// it has named another.
func (m *machine) redirect(status int, body []byte) bool {
	var to wire.Redirect
	if status != http.StatusMisdirectedRequest || wire.Unmarshal(body, &to) != nil {
		return false
	}
	for i, n := range m.cluster.nodes {
		if n.name == to.Node && i != m.heartbeatsTo {
			m.heartbeatsTo = i
			return true
		}
	}
	return false
}

// takeAnswer renews the lease and carries out what a node has answered to a heartbeat, unless
// the answer is late, or of a former leader or epoch; the cluster's lock is held.
func (m *machine) takeAnswer(r wire.Heartbeat, from *node, body []byte, sent time.Time) {
	var a wire.HeartbeatAnswer
	if wire.Unmarshal(body, &a) != nil || a.Token < m.token || r.AgentEpoch != m.epoch || m.hung || time.Since(sent) >= replyTimeout {
		return
	}
	if time.Since(sent) > time.Second {
		m.lateReplies++
	}
	m.lastAnswered = answeredHeartbeat{m.name, r.AgentEpoch, r.Seq, a.Token}
	m.noteToken(a.Token, sent)
	m.leaseRenewedAt = sent
	m.cluster.acceptedAnswers[nodeAndMachine{from.name, m.name}] = sent
	m.execute(a.Commands, time.Now())
}

// noteToken records a fencing token that the worker has seen. A new leader is to learn soon
// that it has, so that a heartbeat is due.
func (m *machine) noteToken(token uint64, now time.Time) {
	if token > m.token {
		m.token = token
		if now.Sub(m.tokenChangedAt) > secs(m.cluster.Settings.Cluster.Workers.LeaseS/2) {
			m.heartbeatDue, m.tokenChangedAt = true, now
		}
	}
}
