package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

// heartbeat is a worker's heartbeat and the response to it.
type heartbeat struct {
	worker   int // index
	message  wire.Heartbeat
	sentAt   int  // step
	received bool // by a leader, which may have refused it
	token    uint64
	commands []wire.Command
}

// push is a batch of commands on its way to a worker outside of a response. It may arrive
// at any time: after newer ones, after the next leader's, and in a later epoch.
type push struct {
	worker      int // index
	batch       wire.DirectCommands
	launchCount int // of the worker when the push was sent
}

// Event is a situation that a transition may reach.
type Event string

// What a push may meet when it arrives.
const (
	EventPushOfFormerLeader  Event = "push of a former leader executed"
	EventPushRefusedForToken Event = "push refused for its fencing token"
	EventPushRefusedForEpoch Event = "push refused for its agent epoch"
	EventStopAfterRestart    Event = "pushed stop reached its attempt, launched later"
)

// What a duplicated heartbeat may meet when it arrives, or the heartbeat that comes after it.
const (
	EventRetryAfterDuplicate       Event = "heartbeat responded to after its duplicate"
	EventRetryAtNextLeader         Event = "heartbeat responded to after its duplicate, at the next leader"
	EventDuplicateAtNextLeader     Event = "duplicate first at the next leader"
	EventDuplicateOfEarlierEpoch   Event = "duplicate of an earlier epoch first at the next leader"
	EventDuplicateOfEarlierAttempt Event = "duplicate with an earlier attempt first at the next leader"
)

// sendHeartbeat has a worker send a heartbeat.
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

// receiveResponse gives a worker the response to its heartbeat, which renews its lease.
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

// roundTrip sends a worker's heartbeat to the leader, and the response back if it reaches the
// worker.
func (s *System) roundTrip(i int) {
	h := s.sendHeartbeat(i)
	s.receiveHeartbeat(h, s.leader)
	if w := s.workers[i]; w.unreachable {
		w.pending = nil
		return
	}
	s.receiveResponse(h)
}

// abandonHeartbeat has a worker's request time out. What is under way of it may still arrive.
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

// toggleReachability makes a worker receive nothing, or receive again.
func (s *System) toggleReachability(i int) {
	w := s.workers[i]
	w.unreachable = !w.unreachable
	if w.unreachable {
		s.partitionCount++
	}
}

// duplicateHeartbeat makes a duplicate of a worker's last heartbeat. With the last duplicate
// of the scenario no heartbeat needs to be kept for one any more.
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

// noteDuplicate notes what a duplicate meets that is the next leader's first heartbeat of its
// worker.
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

// receivePush has a worker execute a push, if its token and epoch still hold.
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

// has says whether the worker has an attempt that has not exited.
func (w *worker) has(key attemptKey) bool {
	return slices.ContainsFunc(w.tasks, func(t *task) bool { return t.attemptKey == key && t.state != wire.TaskExited })
}
