// Digests of system states, by which the search recognizes states that it has seen.

package modelcheck

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Version implements cluster.DigestBase. It returns the current version of a key, or 0 if the key
// does not exist.
func (s *System) Version(key string) uint64 { return s.store[key].version }

// LastMessage implements cluster.DigestBase. It returns the agent epoch and the last sequence
// number of a machine's worker, or zeros if the machine is unknown.
func (s *System) LastMessage(machine string) (epoch, seq uint64) {
	for _, w := range s.workers {
		if w.name == machine {
			return w.epoch, w.seq
		}
	}
	return 0, 0
}

// Digest writes the part of the state that determines the possible successors. The search merges
// states with equal digests. Counters that only grow are written relative to the values that they
// are compared with, so equivalent states have equal digests at different counts.
func (s *System) Digest(out io.Writer) {
	fmt.Fprintf(out, "%d,%t|", s.failovers, s.watchedRevision < s.revision)
	for _, w := range s.workers {
		s.digestWorker(out, w)
	}
	s.digestNetwork(out)
	for _, key := range slices.Sorted(maps.Keys(s.store)) {
		fmt.Fprintf(out, "|%s", key)
		digestRecord(out, s.store[key].value)
	}
	s.digestJobs(out)
	s.digestPlan(out)
	s.digestStore(out)
	s.leader.Digest(out, s, s.now())
	if s.formerLeader != nil {
		s.formerLeader.Digest(out, s, s.now())
	}
}

func (s *System) digestWorker(out io.Writer, w *worker) {
	fmt.Fprintf(out, "W%d,%d,%d", min(w.epoch, 2), w.token, min(s.step-w.renewedAt, leaseSteps))
	for _, t := range w.tasks {
		fmt.Fprintf(out, ";%s.%d%s%s", t.name, t.attempt, t.state, t.exitReason)
	}
	fmt.Fprint(out, w.unreachable)
	if w.pending != nil {
		s.digestHeartbeat(out, w.pending)
	}
	if w.lastHeartbeat != nil {
		fmt.Fprint(out, "K")
		s.digestHeartbeat(out, w.lastHeartbeat)
	}
}

// digestNetwork writes the messages in transit without a waiting receiver, and the number of faults
// so far.
func (s *System) digestNetwork(out io.Writer) {
	fmt.Fprintf(out, "m%d,%d,%d", s.partitionCount, s.duplicateCount, s.refusedStarts)
	for _, h := range s.duplicates {
		fmt.Fprint(out, "C")
		s.digestHeartbeat(out, h)
	}
	for _, h := range s.delayedHeartbeats {
		fmt.Fprint(out, "L")
		s.digestHeartbeat(out, h)
	}
	for _, h := range s.abandonedResponses {
		fmt.Fprint(out, "A")
		s.digestHeartbeat(out, h)
	}
	for _, p := range s.pushes {
		fmt.Fprintf(out, "D%d,%d,%d", p.worker, p.batch.Token, s.workers[p.worker].epoch-p.batch.AgentEpoch)
		digestCommands(out, p.batch.Commands)
	}
}

func (s *System) digestHeartbeat(out io.Writer, h *heartbeat) {
	w := s.workers[h.worker]
	fmt.Fprintf(out, "r%d,%d,%d,%d,%d,%t,%d", h.worker, s.step-h.sentAt, w.epoch-h.message.AgentEpoch, w.seq-h.message.Seq, h.message.Token, h.received, h.token)
	for _, t := range h.message.Tasks {
		fmt.Fprintf(out, ";%s.%d%s%s", t.Task, t.Attempt, t.State, t.ExitReason)
	}
	digestCommands(out, h.commands)
}

func digestCommands(out io.Writer, commands []wire.Command) {
	for _, c := range commands {
		fmt.Fprintf(out, ";%s%s.%d", c.Op, c.Task, c.Attempt)
	}
}

// digestRecord writes the relevant part of a value in the key-value store.
func digestRecord(out io.Writer, value any) {
	switch record := value.(type) {
	case jobstore.JobRecord:
		fmt.Fprint(out, record.State)
	case jobstore.JobPage:
		for _, entry := range record.Entries {
			fmt.Fprint(out, ",", entry.ID)
		}
	case jobstore.PlacementPage:
		for _, chunk := range record.Chunks {
			fmt.Fprintf(out, ",%s%d%v%v", chunk.Job, chunk.MaxAttempt, chunk.Placements, chunk.DoneRanges)
		}
	}
}

// digestJobs writes which tasks have completed and how long ago jobs were cancelled.
func (s *System) digestJobs(out io.Writer) {
	for i := range s.scenario.Jobs {
		job := &s.scenario.Jobs[i]
		fmt.Fprint(out, "|")
		for number := range job.Tasks {
			fmt.Fprint(out, s.completed[wire.TaskName(job.ID, number)])
		}
		if cancelledAt, ok := s.cancelledAt[job.ID]; ok {
			fmt.Fprint(out, min(s.step-cancelledAt, cancelDeadlineSteps))
		}
	}
}

// digestPlan writes the versions of the plan and which decisions were made under the current one.
func (s *System) digestPlan(out io.Writer) {
	if s.scenario.MaxPlans == 0 {
		return
	}
	inForce := s.planVersion()
	fmt.Fprintf(out, "|O%d,%d,%t", s.planNumber, s.loadedPlan, s.leader.PlanGuard().Version == inForce)
	for p := range s.placements() {
		if !p.placement.Inherited {
			fmt.Fprintf(out, ";%s%t%t", p.key.name, p.committed, s.placedUnder[p.key] == inForce)
		}
	}
	held := slices.SortedFunc(maps.Keys(s.heldPreemptions), func(a, b attemptKey) int { return strings.Compare(a.name, b.name) })
	for _, key := range held {
		fmt.Fprintf(out, ";v%s%t", key.name, s.heldPreemptions[key] == inForce)
	}
}

// digestStore writes the pending transactions and the state of the leader's lease.
func (s *System) digestStore(out io.Writer) {
	if s.scenario.MaxDelayedCommits+s.scenario.AsyncCancellations+s.scenario.MaxStoreRefusals == 0 {
		return
	}
	fmt.Fprintf(out, "|L%d", s.delayedCount)
	for _, t := range s.delayedCommits {
		s.digestTransaction(out, t)
	}
	for _, id := range slices.Sorted(maps.Keys(s.cancelRequested)) {
		fmt.Fprint(out, "|a", id)
		if t, ok := s.cancellations[id]; ok {
			s.digestTransaction(out, t)
		}
	}
	fmt.Fprint(out, slices.Sorted(maps.Keys(s.forgotten)))
	if s.scenario.MaxStoreRefusals == 0 {
		return
	}
	fmt.Fprintf(out, "R%t%d,%d,%t", s.storeRefuses, s.refusalCount, min(s.step-s.leaseStart, leaseSteps), s.renewalPending)
	if s.renewalPending {
		fmt.Fprint(out, min(s.step-s.renewalSentAt, leaseSteps))
	}
}

func (s *System) digestTransaction(out io.Writer, t transaction) {
	fmt.Fprintf(out, ";%t", t.token == s.fencingToken)
	for _, g := range t.guards {
		// A failed guard on an existing version can never hold again, because versions are
		// not reused. A guard on a missing key can, once the key is deleted.
		fmt.Fprintf(out, "g%s%t%t", g.Key, g.Version == s.store[g.Key].version, g.Version == 0)
	}
	for _, op := range t.ops {
		fmt.Fprintf(out, "o%s%s", op.Put, op.Delete)
		digestRecord(out, op.Value)
	}
}
