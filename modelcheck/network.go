package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

// This file is what becomes of direct commands, which arrive at any time after they were
// sent: after newer ones, after the next leader's, and in a later session of their worker.

// heartbeat is a report on its way, and its answer.
type heartbeat struct {
	worker   int
	report   wire.Report
	sentAt   int
	received bool
	token    uint64
	commands []wire.Command
}

type push struct {
	worker      int
	batch       wire.DirectCommands
	launchCount int // of its worker before it was sent
}

// sendHeartbeat makes a worker's report.
func (s *System) sendHeartbeat(i int) *heartbeat {
	k := s.workers[i]
	k.seq++
	f := &heartbeat{worker: i, sentAt: s.step, report: wire.Report{Machine: k.name, Addr: k.name, Type: "m", Zone: k.zone, Session: k.epoch, Seq: k.seq, Token: k.token}}
	for _, t := range k.tasks {
		f.report.Tasks = append(f.report.Tasks, wire.TaskReport{Task: t.name, Attempt: t.attempt, State: t.state, Why: t.exitReason})
	}
	k.pending = f
	if s.duplicateCount < s.scenario.MaxDuplicates {
		k.lastHeartbeat = f
	}
	return f
}

// receiveResponse lets a worker take the answer that it waits for.
func (s *System) receiveResponse(f *heartbeat) {
	k := s.workers[f.worker]
	if k.pending == f {
		k.pending = nil
	}
	if f.token == 0 || f.token < k.token || f.report.Session != k.epoch {
		return
	}
	k.token, k.renewedAt = f.token, f.sentAt
	s.executeCommands(f.worker, f.commands)
}

// duplicateHeartbeat keeps a copy of a worker's last report.
func (s *System) duplicateHeartbeat(k *worker) {
	c := *k.lastHeartbeat
	s.duplicates = append(s.duplicates, &c)
	if s.duplicateCount++; s.duplicateCount == s.scenario.MaxDuplicates {
		for _, o := range s.workers {
			o.lastHeartbeat = nil
		}
	}
	k.lastHeartbeat = nil
}

func (s *System) abandonHeartbeat(k *worker) {
	f := k.pending
	k.pending = nil
	late := 0
	for _, o := range s.delayedHeartbeats {
		if o.worker == f.worker {
			late++
		}
	}
	if !f.received && late < maxAbandoned {
		s.delayedHeartbeats = append(s.delayedHeartbeats, f)
	}
	if f.received && s.mutation == ExecuteAbandonedResponses && len(s.abandonedResponses) < maxAbandoned {
		s.abandonedResponses = append(s.abandonedResponses, f)
	}
}

// What a direct batch meets when it arrives.
const (
	eventPushOfFormerLeader  = "executed, of a former leader"
	eventPushRefusedForToken = "refused for its token"
	eventPushRefusedForEpoch = "refused for its session"
	eventStopAfterRestart    = "a stop met its own attempt, launched later"
)

// receivePush has a worker take a direct batch, if token and session still match.
func (s *System) receivePush(d push) {
	k := s.workers[d.worker]
	k.seq++
	switch {
	case d.batch.Session != k.epoch:
		s.Events = append(s.Events, eventPushRefusedForEpoch)
		return
	case d.batch.Token < k.token:
		s.Events = append(s.Events, eventPushRefusedForToken)
		return
	}
	if d.batch.Token < s.fencingToken {
		s.Events = append(s.Events, eventPushOfFormerLeader)
	}
	for _, c := range d.batch.Commands {
		key := attemptKey{c.Task, c.Attempt}
		running := slices.ContainsFunc(k.tasks, func(t *task) bool { return t.attemptKey == key && t.state != wire.TaskExited })
		if c.Op == wire.OpStop && running && k.launchOrder[key] > d.launchCount {
			s.Events = append(s.Events, eventStopAfterRestart)
		}
	}
	k.token = d.batch.Token
	s.executeCommands(d.worker, d.batch.Commands)
}

// forgetByPush sends the outcomes that an answer forgets by a direct batch as well.
func (s *System) forgetByPush(f *heartbeat, token uint64) {
	var forgets []wire.Command
	for _, c := range f.commands {
		if c.Op == wire.OpForget {
			forgets = append(forgets, c)
		}
	}
	if len(forgets) == 0 || len(s.pushes) >= maxPushes {
		return
	}
	batch := wire.DirectCommands{Token: token, Session: f.report.Session, Commands: forgets}
	s.pushes = append(s.pushes, push{f.worker, batch, s.workers[f.worker].launchCount})
}

// What meets where a copy overtakes the report that is being sent.
const (
	eventRetryAfterDuplicate = "answered as it came after its copy"
	eventRetryAtNextLeader   = eventRetryAfterDuplicate + ", at the next leader"
)

// noteDuplicate notes what a copy meets that arrives now.
func (s *System) noteDuplicate(f *heartbeat) {
	k := s.workers[f.worker]
	if s.failovers == 0 || f.report.Token >= s.leader.FencingToken || k.reachedToken == s.fencingToken {
		return
	}
	s.Events = append(s.Events, "first at the next leader")
	if f.report.Session < k.epoch {
		s.Events = append(s.Events, "of an earlier session")
	}
	for _, t := range f.report.Tasks {
		if t.State != wire.TaskExited && !slices.ContainsFunc(k.tasks, func(o *task) bool { return o.name == t.Task && o.attempt == t.Attempt && o.state != wire.TaskExited }) {
			s.Events = append(s.Events, "of an earlier attempt")
		}
	}
}
