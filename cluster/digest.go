package cluster

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
)

// DigestBase supplies the current values of counters that only ever grow. A digest contains
// such counters relative to them, so that equivalent states at different counts are equal.
type DigestBase interface {
	// Version returns the version of a key in the key-value store; 0 if there is none.
	Version(key string) uint64
	// LastMessage returns the worker's current session and its last sequence number.
	LastMessage(machine string) (session, seq uint64)
}

// maxDigestAge is an age, in seconds, beyond which the exact value has no effect: leases, and
// the silence after which a machine gets no tasks, are shorter.
const maxDigestAge = 60

// Digest writes the part of the state that determines which commands and records the model
// may produce, so that models with equal digests behave alike; the model check merges such
// states. Times are written as ages in whole seconds, versions as current or not, sequence
// numbers by their distance from the last one. What only affects which of several machines
// is chosen is left out (estimates, speeds, images, boot times).
func (m *Model) Digest(w io.Writer, ref DigestBase, now time.Time) {
	age := func(t time.Time) int {
		if t.IsZero() {
			return -1
		}
		return int(min(now.Sub(t).Seconds(), maxDigestAge))
	}
	behind := func(name string, session, seq uint64) string {
		s, q := ref.LastMessage(name)
		if session != s {
			return fmt.Sprintf("s%d", int64(s-session))
		}
		return fmt.Sprintf("q%d", int64(q-seq))
	}
	fmt.Fprintf(w, "t%d;%d|", m.FencingToken, age(m.ElectedAt))
	for _, mc := range m.Machines {
		fmt.Fprintf(w, "M%s,%t,%t,%t,%t,%s,%d,%d,%d,%g", mc.Name, mc.alive, mc.tokenShown, mc.Gone, mc.scalingIn,
			behind(mc.Name, mc.AgentEpoch, mc.Seq), age(mc.lastAnswered), age(mc.lastSeen), age(mc.interruptionAt), mc.orphaned.CPU)
		names := make([]string, 0, len(mc.reportedExits))
		for k, e := range mc.reportedExits {
			committed := true
			if j := m.Jobs[e.job]; j != nil {
				committed = j.Chunks[e.chunk].CommittedGen >= e.generation
			}
			names = append(names, fmt.Sprintf("e%s.%d,%t", k.name, k.attempt, committed))
		}
		h := &mc.reachability
		for _, k := range append(h.pendingForgets, h.pendingProbe) {
			names = append(names, fmt.Sprintf("f%s.%d", k.name, k.attempt))
		}
		slices.Sort(names)
		fmt.Fprint(w, names, h.answerPending, (heartbeatID{mc.AgentEpoch, mc.Seq}) == h.answeredTwice, h.tokenEverShown, mc.unreachable(), m.mayProveReachable(mc, now), m.unreachableTooLong(mc, now), "|")
	}
	for _, j := range m.Jobs {
		if j == nil {
			continue
		}
		fmt.Fprintf(w, "J%s,%d,%t,%t,%t,%t,%t,%t,%t", j.ID, j.LastAttempt, j.Cancelled, j.Finished, j.GangStarted, j.GangEnding, j.dirty,
			now.Before(j.NotBefore), j.isCurrent(ref))
		for _, mc := range m.Machines {
			if until, ok := j.avoidUntil[mc.Index]; ok && now.Before(until) {
				fmt.Fprintf(w, "a%s%d", mc.Name, age(until))
			}
		}
		for i := range j.Tasks {
			t := &j.Tasks[i]
			fmt.Fprintf(w, "T%d,%d,%t", t.Phase, t.Outcome, now.UnixMilli() < t.NotBefore)
			if p := t.Placement; p != nil {
				fmt.Fprintf(w, "g%tP%s,%d,%t,%t,%d,%t,%s", j.Chunks[i/jobstore.ChunkSize].CommittedGen >= p.chunkGeneration, p.machineName, p.Attempt, p.Inherited, p.LaunchSent, p.ReportedState, now.Sub(p.WokenAt) < wakeUpRetry,
					behind(p.machineName, p.LaunchEpoch, p.LaunchSeq))
				if p.LaunchSeq > 0 && (heartbeatID{p.LaunchEpoch, p.LaunchSeq}) == m.Machines[p.Machine].reachability.answeredTwice {
					fmt.Fprint(w, "2")
				}
				if p.StopHeld {
					fmt.Fprint(w, "H")
				}
				if p.Stop != nil {
					fmt.Fprintf(w, "S%g,%t", p.Stop.Grace, p.Stop.PushedAt.IsZero())
				}
			}
		}
		for i := range j.Chunks {
			c := &j.Chunks[i]
			fmt.Fprintf(w, "C%t,%t", c.CommittedGen >= c.PlacedGen, c.CommittedGen >= c.Generation)
		}
	}
	for _, p := range m.writes.placementPages.pages {
		// A page that was never written may be, once what is in the store is deleted.
		fmt.Fprintf(w, "|p%d,%t,%t,%t", p.number, p.version == ref.Version(jobstore.PlacementPageKey(p.number)), p.version == 0, !p.isChanged())
	}
	fmt.Fprintf(w, "|%d,%d", len(m.directCommands.stops), len(m.directCommands.launches))
}
