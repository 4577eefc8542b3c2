// Writes digests of a model's state, by which the model check recognizes equivalent states.

package cluster

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
)

// DigestBase supplies the current values of counters that only grow. A digest contains such
// counters relative to these values, so that equivalent states at different counts are equal.
type DigestBase interface {
	// Version returns the version of a key in the key-value store, or 0 if the key does not exist.
	Version(key string) uint64
	// LastMessage returns the worker's current epoch and its last sequence number.
	LastMessage(machine string) (epoch, seq uint64)
}

// maxDigestAgeSeconds is the age above which the exact value has no effect. Leases are shorter,
// and so is the silence after which a machine gets no tasks.
const maxDigestAgeSeconds = 60

// digestWriter writes the parts of a digest of one model at one time.
type digestWriter struct {
	out   io.Writer
	model *Model
	base  DigestBase
	now   time.Time
}

// Digest writes the part of the state that determines which commands and records the model
// may produce. Models with equal digests behave alike, and the model check merges such states.
// Times are written as ages in whole seconds, versions as current or not, and sequence numbers
// as distances from the last one. State that only affects the choice between machines is left out
// (estimates, speeds, images, boot times).
func (m *Model) Digest(w io.Writer, base DigestBase, now time.Time) {
	d := &digestWriter{out: w, model: m, base: base, now: now}
	d.printf("t%d;%d|", m.FencingToken, d.age(m.ElectedAt))
	for _, mc := range m.Machines {
		d.machine(mc)
	}
	for _, j := range m.Jobs {
		if j != nil {
			d.job(j)
		}
	}
	for _, p := range m.writes.placementPages.pages {
		d.placementPage(p)
	}
	d.printf("|%d,%d", len(m.directCommands.stops), len(m.directCommands.launches))
}

func (d *digestWriter) printf(format string, values ...any) { fmt.Fprintf(d.out, format, values...) }

// age returns the age of a time in whole seconds, at most maxDigestAgeSeconds. It returns -1 for
// the zero time.
func (d *digestWriter) age(t time.Time) int {
	if t.IsZero() {
		return -1
	}
	return int(min(d.now.Sub(t).Seconds(), maxDigestAgeSeconds))
}

// behind returns the distance of a machine's heartbeat from the worker's last one. The distance is
// in sequence numbers within the current epoch, and in epochs otherwise.
func (d *digestWriter) behind(machine string, epoch, seq uint64) string {
	lastEpoch, lastSeq := d.base.LastMessage(machine)
	if epoch != lastEpoch {
		return fmt.Sprintf("s%d", int64(lastEpoch-epoch))
	}
	return fmt.Sprintf("q%d", int64(lastSeq-seq))
}

func (d *digestWriter) machine(mc *Machine) {
	d.printf("M%s,%t,%t,%t,%t,%s,%d,%d,%d,%g", mc.Name, mc.alive, mc.tokenShown, mc.Gone, mc.scalingIn,
		d.behind(mc.Name, mc.AgentEpoch, mc.Seq), d.age(mc.lastAnswered), d.age(mc.lastSeen), d.age(mc.interruptionAt), mc.orphaned.CPU)
	h := &mc.reachability
	fmt.Fprint(d.out, d.exits(mc), h.answerPending, (heartbeatID{mc.AgentEpoch, mc.Seq}) == h.answeredTwice, h.tokenEverShown,
		mc.unreachable(), d.model.mayProveReachable(mc, d.now), d.model.unreachableTooLong(mc, d.now), "|")
}

// exits returns, sorted, the exits that a machine has reported and those that its next heartbeat
// must reflect.
func (d *digestWriter) exits(mc *Machine) []string {
	names := make([]string, 0, len(mc.reportedExits))
	for k, e := range mc.reportedExits {
		committed := true
		if j := d.model.Jobs[e.job]; j != nil {
			committed = j.Chunks[e.chunk].isCommitted(e.generation)
		}
		names = append(names, fmt.Sprintf("e%s.%d,%t", k.name, k.attempt, committed))
	}
	h := &mc.reachability
	for _, k := range append(h.pendingForgets, h.pendingProbe) {
		names = append(names, fmt.Sprintf("f%s.%d", k.name, k.attempt))
	}
	slices.Sort(names)
	return names
}

func (d *digestWriter) job(j *Job) {
	d.printf("J%s,%d,%t,%t,%t,%t,%t,%t,%t", j.ID, j.lastAttempt, j.Cancelled, j.Finished, j.gangStarted, j.gangEnding, j.dirty,
		d.now.Before(j.notBefore), j.isCurrent(d.base))
	for _, mc := range d.model.Machines {
		if until, ok := j.avoidUntil[mc.index]; ok && d.now.Before(until) {
			d.printf("a%s%d", mc.Name, d.age(until))
		}
	}
	for i := range j.Tasks {
		t := &j.Tasks[i]
		d.printf("T%d,%d,%t", t.Phase, t.outcome, d.now.UnixMilli() < t.notBefore)
		if t.Placement != nil {
			d.placement(t.Placement, &j.Chunks[i/jobstore.ChunkSize])
		}
	}
	for i := range j.Chunks {
		c := &j.Chunks[i]
		d.printf("C%t,%t", !c.HasNewPlacements(), c.isCommitted(c.generation))
	}
}

func (d *digestWriter) placement(p *Placement, c *Chunk) {
	d.printf("g%tP%s,%d,%t,%t,%d,%t,%s", c.isCommitted(p.chunkGeneration), p.machineName, p.Attempt, p.Inherited, p.launchSent, p.reportedState,
		d.now.Sub(p.wokenAt) < wakeUpRetry, d.behind(p.machineName, p.launchEpoch, p.launchSeq))
	if p.launchSeq > 0 && (heartbeatID{p.launchEpoch, p.launchSeq}) == d.model.Machines[p.Machine].reachability.answeredTwice {
		d.printf("2")
	}
	if p.StopHeld {
		d.printf("H")
	}
	if p.Stop != nil {
		d.printf("S%g,%t", p.Stop.Grace, p.Stop.pushedAt.IsZero())
	}
}

// placementPage also writes whether the page has version 0, which means that it is not in the
// store. Such a page is not written while it is empty (addTo).
func (d *digestWriter) placementPage(p *placementPage) {
	current := p.version == d.base.Version(jobstore.PlacementPageKey(p.number))
	d.printf("|p%d,%t,%t,%t", p.number, current, p.version == 0, !p.isChanged())
}
