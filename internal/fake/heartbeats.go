// Heartbeats of workers and the handling of the answers.

package fake

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// replyTimeout is how long after its heartbeat a worker accepts the answer.
	replyTimeout = 4 * time.Second
	// maxReplyBytes is the largest accepted answer of a controller.
	maxReplyBytes = 1 << 20
	// minHeartbeatInterval is the shortest time between two heartbeats, even after changes.
	minHeartbeatInterval = 500 * time.Millisecond
)

// heartbeat returns the next heartbeat, with a new sequence number. The caller holds the cluster's
// lock.
func (m *machine) heartbeat() wire.Heartbeat {
	m.lastSeq++
	heartbeat := wire.Heartbeat{Machine: m.name, Addr: m.addr, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		AgentEpoch: m.epoch, Seq: m.lastSeq, Token: m.token, NoticeS: m.interruptionNotice}
	for _, k := range m.order {
		t := m.tasks[k]
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, ExitReason: t.exitReason, Saved: t.saved})
	}
	return heartbeat
}

// sendHeartbeats sends heartbeats at intervals with a jitter of 25 %, and earlier after changes,
// until the machine is killed.
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

// send sends one heartbeat and handles the answer. It reports false if the worker should wait
// before it tries another controller.
func (m *machine) send(sentAt time.Time) bool {
	heartbeat, node, overtaken := m.nextHeartbeat()
	copyToken := uint64(0)
	if overtaken {
		copyToken = m.cluster.sendCopiesAhead(heartbeat)
	}
	ctx, cancel := context.WithTimeout(m.ctx, replyTimeout)
	defer cancel()
	status, body, err := call.Do(ctx, m.client, http.MethodPost, "http://"+node.addr+wire.PathHeartbeat, heartbeat, maxReplyBytes)
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.awaitResume(sentAt)
	if m.dead {
		return true
	}
	if err == nil {
		m.cluster.answeredHeartbeats[nodeAndMachine{node.name, m.name}] = sentAt
		m.cluster.countOvertaken(heartbeat, copyToken, status)
	}
	if err != nil || status != http.StatusOK {
		m.heartbeatDue = true
		if err == nil && m.redirect(status, body) {
			return true
		}
		m.heartbeatTarget = (m.heartbeatTarget + 1) % len(m.cluster.nodes)
		return false
	}
	m.handleAnswer(heartbeat, node, body, sentAt)
	return true
}

// nextHeartbeat returns the next heartbeat, the controller to send it to, and whether copies
// overtake it.
func (m *machine) nextHeartbeat() (heartbeat wire.Heartbeat, to *node, overtaken bool) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.heartbeatDue = false
	heartbeat = m.heartbeat()
	m.cluster.maybeDuplicate(heartbeat)
	m.cluster.keepForFailover(heartbeat)
	to = m.cluster.nodes[m.heartbeatTarget%len(m.cluster.nodes)]
	overtaken = m.cluster.failoverCopies.overtakeOneIn > 0 && m.cluster.pick(m.cluster.failoverCopies.overtakeOneIn) == 0
	return heartbeat, to, overtaken
}

// awaitResume waits while the machine hangs, at most until the answer to a heartbeat sent at the
// given time is too old to be accepted. An answer that arrives while the machine hangs is handled
// when it resumes. The caller holds the cluster's lock, which is released during the wait.
func (m *machine) awaitResume(sent time.Time) {
	for m.hung && !m.dead && time.Since(sent) < replyTimeout {
		m.cluster.mu.Unlock()
		time.Sleep(stepInterval)
		m.cluster.mu.Lock()
	}
}

// redirect handles an answer that names another controller as the leader: the machine sends its
// next heartbeat there. It reports false for other answers.
func (m *machine) redirect(status int, body []byte) bool {
	var to wire.Redirect
	if status != http.StatusMisdirectedRequest || wire.Unmarshal(body, &to) != nil {
		return false
	}
	for i, n := range m.cluster.nodes {
		if n.name == to.Node && i != m.heartbeatTarget {
			m.heartbeatTarget = i
			return true
		}
	}
	return false
}

// handleAnswer renews the lease and executes the commands in the answer to a heartbeat. It drops an
// answer that is late, of a former leader, or for an ended epoch. The caller holds the cluster's
// lock.
func (m *machine) handleAnswer(heartbeat wire.Heartbeat, from *node, body []byte, sent time.Time) {
	var a wire.HeartbeatAnswer
	if wire.Unmarshal(body, &a) != nil || a.Token < m.token || heartbeat.AgentEpoch != m.epoch || m.hung || time.Since(sent) >= replyTimeout {
		return
	}
	if time.Since(sent) > time.Second {
		m.lateReplies++
	}
	m.lastAnswered = answeredHeartbeat{m.name, heartbeat.AgentEpoch, heartbeat.Seq, a.Token}
	m.noteToken(a.Token, sent)
	m.leaseRenewedAt = sent
	m.cluster.acceptedAnswers[nodeAndMachine{from.name, m.name}] = sent
	m.execute(a.Commands, time.Now())
}

// noteToken records the fencing token of an answer or a command. A higher token makes a heartbeat
// due, at most once in half a lease, so that a new leader soon learns that the worker has seen its
// token.
func (m *machine) noteToken(token uint64, now time.Time) {
	if token > m.token {
		m.token = token
		if now.Sub(m.tokenChangedAt) > secs(m.cluster.Settings.Cluster.Workers.LeaseS/2) {
			m.heartbeatDue, m.tokenChangedAt = true, now
		}
	}
}
