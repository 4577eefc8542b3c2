// Heartbeats, responses and pushes between workers and the leader, and the faults of the network.

package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

// heartbeat is a worker's heartbeat and the response to it.
type heartbeat struct {
	worker   int // index
	message  wire.Heartbeat
	sentAt   int            // step
	received bool           // received by a leader, which may have refused the heartbeat
	token    uint64         // fencing token of the response; 0: no response
	commands []wire.Command // commands of the response
}

// push is a batch of commands that the leader sends to a worker outside of a response. It may
// arrive at any time: after newer pushes, after pushes of the next leader, or in a later agent
// epoch.
type push struct {
	worker      int // index
	batch       wire.DirectCommands
	launchCount int // the worker's launchCount when the push was sent
}

// Event is a noteworthy situation that a transition may reach.
type Event string

// Situations in which a push arrives.
const (
	EventPushOfFormerLeader  Event = "push of a former leader executed"
	EventPushRefusedForToken Event = "push refused for its fencing token"
	EventPushRefusedForEpoch Event = "push refused for its agent epoch"
	EventStopAfterRestart    Event = "pushed stop reached an attempt launched after the push"
)

// Situations in which a duplicated heartbeat, or the heartbeat after it, arrives.
const (
	EventRetryAfterDuplicate       Event = "heartbeat responded to after its duplicate"
	EventRetryAtNextLeader         Event = "heartbeat responded to after its duplicate, at the next leader"
	EventDuplicateAtNextLeader     Event = "duplicate first at the next leader"
	EventDuplicateOfEarlierEpoch   Event = "duplicate of an earlier epoch first at the next leader"
	EventDuplicateOfEarlierAttempt Event = "duplicate with an earlier attempt first at the next leader"
)

// sendHeartbeat lets a worker send a heartbeat.
func (s *System) sendHeartbeat(i int) *heartbeat {
	w := s.workers[i]
	w.seq++
	h := &heartbeat{worker: i, sentAt: s.step, message: wire.Heartbeat{
		Machine: w.name, Addr: w.name, Type: machineTypeName, Zone: w.zone, AgentEpoch: w.epoch, Seq: w.seq, Token: w.token,
	}}
	for _, t := range w.tasks {
		h.message.Tasks = append(h.message.Tasks, wire.TaskStatus{Task: t.name, Attempt: t.attempt, State: t.state, ExitReason: t.exitReason})
	}
	w.pending = h
	if s.duplicateCount < s.scenario.MaxDuplicates {
		w.lastHeartbeat = h
	}
	return h
}

// receiveResponse lets a worker receive the response to its heartbeat. A valid response renews the
// worker's lease from the time at which the heartbeat was sent.
func (s *System) receiveResponse(h *heartbeat) {
	w := s.workers[h.worker]
	if w.pending == h {
		w.pending = nil
	}
	responded := h.token != 0
	if !responded || h.token < w.token || h.message.AgentEpoch != w.epoch {
		return
	}
	w.token, w.renewedAt = h.token, h.sentAt
	s.executeCommands(w, h.commands)
}

// roundTrip sends a worker's heartbeat to the leader and the response back. The response is lost
// if the worker is unreachable.
func (s *System) roundTrip(i int) {
	h := s.sendHeartbeat(i)
	s.receiveHeartbeat(h, s.leader)
	if w := s.workers[i]; w.unreachable {
		w.pending = nil
		return
	}
	s.receiveResponse(h)
}

// abandonHeartbeat lets a worker's request time out. The heartbeat may still arrive later. Its
// response may do so only under mutation ExecuteAbandonedResponses.
func (s *System) abandonHeartbeat(w *worker) {
	h := w.pending
	w.pending = nil
	if h.received {
		if s.mutation == ExecuteAbandonedResponses && len(s.abandonedResponses) < maxAbandoned {
			s.abandonedResponses = append(s.abandonedResponses, h)
		}
		return
	}
	delayed := 0
	for _, other := range s.delayedHeartbeats {
		if other.worker == h.worker {
			delayed++
		}
	}
	if delayed < maxAbandoned {
		s.delayedHeartbeats = append(s.delayedHeartbeats, h)
	}
}

// toggleReachability makes a worker unreachable, so that it receives no messages, or reachable
// again.
func (s *System) toggleReachability(i int) {
	w := s.workers[i]
	w.unreachable = !w.unreachable
	if w.unreachable {
		s.partitionCount++
	}
}

// duplicateHeartbeat duplicates a worker's last heartbeat. After the scenario's last duplicate, the
// heartbeats kept for duplication are dropped.
func (s *System) duplicateHeartbeat(w *worker) {
	duplicate := *w.lastHeartbeat
	s.duplicates = append(s.duplicates, &duplicate)
	w.lastHeartbeat = nil
	s.duplicateCount++
	if s.duplicateCount < s.scenario.MaxDuplicates {
		return
	}
	for _, other := range s.workers {
		other.lastHeartbeat = nil
	}
}

func (s *System) isDuplicate(h *heartbeat) bool { return slices.Contains(s.duplicates, h) }

// noteDuplicate records the events of a duplicate that is the first heartbeat of its worker at the
// next leader.
func (s *System) noteDuplicate(h *heartbeat) {
	w := s.workers[h.worker]
	if s.failovers == 0 || h.message.Token >= s.leader.FencingToken || w.reachedToken == s.fencingToken {
		return
	}
	s.Events = append(s.Events, EventDuplicateAtNextLeader)
	if h.message.AgentEpoch < w.epoch {
		s.Events = append(s.Events, EventDuplicateOfEarlierEpoch)
	}
	for _, t := range h.message.Tasks {
		if t.State != wire.TaskExited && !w.has(attemptKey{t.Task, t.Attempt}) {
			s.Events = append(s.Events, EventDuplicateOfEarlierAttempt)
		}
	}
}

// receivePush lets a worker execute a push. The worker refuses a push for another agent epoch or
// with a lower fencing token than it has seen.
func (s *System) receivePush(p push) {
	w := s.workers[p.worker]
	w.seq++
	switch {
	case p.batch.AgentEpoch != w.epoch:
		s.Events = append(s.Events, EventPushRefusedForEpoch)
		return
	case p.batch.Token < w.token:
		s.Events = append(s.Events, EventPushRefusedForToken)
		return
	}
	if p.batch.Token < s.fencingToken {
		s.Events = append(s.Events, EventPushOfFormerLeader)
	}
	for _, c := range p.batch.Commands {
		key := attemptKey{c.Task, c.Attempt}
		if c.Op == wire.OpStop && w.has(key) && w.launchOrder[key] > p.launchCount {
			s.Events = append(s.Events, EventStopAfterRestart)
		}
	}
	w.token = p.batch.Token
	s.executeCommands(w, p.batch.Commands)
}

// has reports whether the worker has an attempt that has not exited.
func (w *worker) has(key attemptKey) bool {
	return slices.ContainsFunc(w.tasks, func(t *task) bool { return t.attemptKey == key && t.state != wire.TaskExited })
}
