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

// Version and Message make World a cluster.Reference.
func (s *System) Version(key string) uint64 { return s.store[key].version }

// LastMessage implements cluster.Reference.
func (s *System) LastMessage(machine string) (session, seq uint64) {
	for _, k := range s.workers {
		if k.name == machine {
			return k.epoch, k.seq
		}
	}
	return 0, 0
}

// Digest writes all that bears on what may follow.
func (s *System) Digest(out io.Writer) {
	fmt.Fprintf(out, "%d,%t|", s.failovers, s.watchedRevision < s.revision)
	for _, k := range s.workers {
		fmt.Fprintf(out, "W%d,%d,%d", min(k.epoch, 2), k.token, min(s.step-k.renewedAt, 2))
		for _, t := range k.tasks {
			fmt.Fprintf(out, ";%s.%d%s%s", t.name, t.attempt, t.state, t.exitReason)
		}
		fmt.Fprint(out, k.unreachable)
		if k.pending != nil {
			s.writeHeartbeat(out, k.pending)
		}
		if k.lastHeartbeat != nil {
			fmt.Fprint(out, "K")
			s.writeHeartbeat(out, k.lastHeartbeat)
		}
	}
	fmt.Fprintf(out, "m%d,%d,%d", s.partitionCount, s.duplicateCount, s.refusedStarts)
	for _, f := range s.duplicates {
		fmt.Fprint(out, "C")
		s.writeHeartbeat(out, f)
	}
	for _, f := range s.delayedHeartbeats {
		fmt.Fprint(out, "L")
		s.writeHeartbeat(out, f)
	}
	for _, f := range s.abandonedResponses {
		fmt.Fprint(out, "A")
		s.writeHeartbeat(out, f)
	}
	for _, d := range s.pushes {
		fmt.Fprintf(out, "D%d,%d,%d", d.worker, d.batch.Token, s.workers[d.worker].epoch-d.batch.Session)
		writeCommands(out, d.batch.Commands)
	}
	keys := slices.Sorted(maps.Keys(s.store))
	for _, k := range keys {
		fmt.Fprintf(out, "|%s", k)
		writeRecord(out, s.store[k].value)
	}
	for i := range s.scenario.Jobs {
		j := &s.scenario.Jobs[i]
		fmt.Fprint(out, "|")
		for n := range j.Tasks {
			fmt.Fprint(out, s.completed[wire.TaskName(j.ID, n)])
		}
		if since, ok := s.cancelledAt[j.ID]; ok {
			fmt.Fprint(out, min(s.step-since, cancelDeadlineSteps))
		}
	}
	s.digestPlan(out)
	s.digestDelays(out)
	s.leader.Digest(out, s, s.now())
	if s.formerLeader != nil {
		s.formerLeader.Digest(out, s, s.now())
	}
}

func (s *System) writeHeartbeat(out io.Writer, f *heartbeat) {
	k := s.workers[f.worker]
	fmt.Fprintf(out, "r%d,%d,%d,%d,%d,%t,%d", f.worker, s.step-f.sentAt, k.epoch-f.report.Session, k.seq-f.report.Seq, f.report.Token, f.received, f.token)
	for _, t := range f.report.Tasks {
		fmt.Fprintf(out, ";%s.%d%s%s", t.Task, t.Attempt, t.State, t.Why)
	}
	writeCommands(out, f.commands)
}

func writeCommands(out io.Writer, cmds []wire.Command) {
	for _, c := range cmds {
		fmt.Fprintf(out, ";%s%s.%d", c.Op, c.Task, c.Attempt)
	}
}

// digestDelays writes what of it bears on what may follow.
func (s *System) digestDelays(out io.Writer) {
	if s.scenario.MaxDelayedCommits+s.scenario.AsyncCancellations+s.scenario.MaxStoreRefusals == 0 {
		return
	}
	fmt.Fprintf(out, "|L%d", s.delayedCount)
	write := func(t transaction) {
		fmt.Fprintf(out, ";%t", t.token == s.fencingToken)
		for _, g := range t.guards {
			// One that does not hold now never will, but for a key that is not there.
			fmt.Fprintf(out, "g%s%t%t", g.Key, g.Version == s.store[g.Key].version, g.Version == 0)
		}
		for _, o := range t.ops {
			fmt.Fprintf(out, "o%s%s", o.Put, o.Delete)
			writeRecord(out, o.Value)
		}
	}
	for _, t := range s.delayedCommits {
		write(t)
	}
	for _, id := range slices.Sorted(maps.Keys(s.cancelRequested)) {
		fmt.Fprint(out, "|a", id)
		if t, ok := s.cancellations[id]; ok {
			write(t)
		}
	}
	fmt.Fprint(out, slices.Sorted(maps.Keys(s.forgotten)))
	if s.scenario.MaxStoreRefusals > 0 {
		fmt.Fprintf(out, "R%t%d,%d,%t", s.storeRefuses, s.refusalCount, min(s.step-s.leaseStart, 2), s.renewalPending)
		if s.renewalPending {
			fmt.Fprint(out, min(s.step-s.renewalSentAt, 2))
		}
	}
}

// writeRecord writes what of a record bears on what may follow.
func writeRecord(out io.Writer, v any) {
	switch v := v.(type) {
	case jobstore.JobRecord:
		fmt.Fprint(out, v.State)
	case jobstore.JobPage:
		for _, e := range v.Entries {
			fmt.Fprint(out, ",", e.ID)
		}
	case jobstore.PlacementPage:
		for _, c := range v.Chunks {
			fmt.Fprintf(out, ",%s%d%v%v", c.Job, c.MaxAttempt, c.Placements, c.DoneRanges)
		}
	}
}

// digestPlan writes what of the order bears on what may follow.
func (s *System) digestPlan(out io.Writer) {
	if s.scenario.MaxPlans == 0 {
		return
	}
	head := s.store[jobstore.PlanHeadKey].version
	fmt.Fprintf(out, "|O%d,%d,%t", s.planNumber, s.loadedPlan, s.leader.PlanGuard().Version == head)
	s.eachPlacement(func(k attemptKey, committed bool) {
		fmt.Fprintf(out, ";%s%t%t", k.name, committed, s.placedUnder[k] == head)
	})
	for _, k := range slices.SortedFunc(maps.Keys(s.heldPreemptions), func(a, b attemptKey) int { return strings.Compare(a.name, b.name) }) {
		fmt.Fprintf(out, ";v%s%t", k.name, s.heldPreemptions[k] == head)
	}
}
