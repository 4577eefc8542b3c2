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
func (w *World) Version(key string) uint64 { return w.store[key].version }

// LastMessage implements cluster.Reference.
func (w *World) LastMessage(machine string) (session, seq uint64) {
	for _, k := range w.workers {
		if k.name == machine {
			return k.session, k.seq
		}
	}
	return 0, 0
}

// Digest writes all that bears on what may follow.
func (w *World) Digest(out io.Writer) {
	fmt.Fprintf(out, "%d,%t|", w.takeover, w.seen < w.rev)
	for _, k := range w.workers {
		fmt.Fprintf(out, "W%d,%d,%d", min(k.session, 2), k.token, min(w.step-k.renewed, 2))
		for _, t := range k.tasks {
			fmt.Fprintf(out, ";%s.%d%s%s", t.name, t.attempt, t.state, t.why)
		}
		fmt.Fprint(out, k.mute)
		if k.out != nil {
			w.flight(out, k.out)
		}
		if k.last != nil {
			fmt.Fprint(out, "K")
			w.flight(out, k.last)
		}
	}
	fmt.Fprintf(out, "m%d,%d,%d", w.mutes, w.copied, w.errors)
	for _, f := range w.copies {
		fmt.Fprint(out, "C")
		w.flight(out, f)
	}
	for _, f := range w.overdue {
		fmt.Fprint(out, "L")
		w.flight(out, f)
	}
	for _, f := range w.answers {
		fmt.Fprint(out, "A")
		w.flight(out, f)
	}
	for _, d := range w.directs {
		fmt.Fprintf(out, "D%d,%d,%d", d.w, d.batch.Token, w.workers[d.w].session-d.batch.Session)
		writeCommands(out, d.batch.Commands)
	}
	keys := slices.Sorted(maps.Keys(w.store))
	for _, k := range keys {
		fmt.Fprintf(out, "|%s", k)
		writeRecord(out, w.store[k].v)
	}
	for i := range w.sc.Jobs {
		j := &w.sc.Jobs[i]
		fmt.Fprint(out, "|")
		for n := range j.Tasks {
			fmt.Fprint(out, w.completed[wire.TaskName(j.ID, n)])
		}
		if since, ok := w.cancelled[j.ID]; ok {
			fmt.Fprint(out, min(w.step-since, cancelSteps))
		}
	}
	w.orderDigest(out)
	w.lateDigest(out)
	w.model.Digest(out, w, w.now())
	if w.old != nil {
		w.old.Digest(out, w, w.now())
	}
}

func (w *World) flight(out io.Writer, f *flight) {
	k := w.workers[f.w]
	fmt.Fprintf(out, "r%d,%d,%d,%d,%d,%t,%d", f.w, w.step-f.sent, k.session-f.rep.Session, k.seq-f.rep.Seq, f.rep.Token, f.handled, f.token)
	for _, t := range f.rep.Tasks {
		fmt.Fprintf(out, ";%s.%d%s%s", t.Task, t.Attempt, t.State, t.Why)
	}
	writeCommands(out, f.commands)
}

func writeCommands(out io.Writer, cmds []wire.Command) {
	for _, c := range cmds {
		fmt.Fprintf(out, ";%s%s.%d", c.Op, c.Task, c.Attempt)
	}
}

// lateDigest writes what of it bears on what may follow.
func (w *World) lateDigest(out io.Writer) {
	if w.sc.Lates+w.sc.Asks+w.sc.Refusals == 0 {
		return
	}
	fmt.Fprintf(out, "|L%d", w.lates)
	write := func(t txn) {
		fmt.Fprintf(out, ";%t", t.token == w.token)
		for _, g := range t.guards {
			// One that does not hold now never will, but for a key that is not there.
			fmt.Fprintf(out, "g%s%t%t", g.Key, g.Version == w.store[g.Key].version, g.Version == 0)
		}
		for _, o := range t.ops {
			fmt.Fprintf(out, "o%s%s", o.Put, o.Delete)
			writeRecord(out, o.Value)
		}
	}
	for _, t := range w.txns {
		write(t)
	}
	for _, id := range slices.Sorted(maps.Keys(w.asked)) {
		fmt.Fprint(out, "|a", id)
		if t, ok := w.asks[id]; ok {
			write(t)
		}
	}
	fmt.Fprint(out, slices.Sorted(maps.Keys(w.forgotten)))
	if w.sc.Refusals > 0 {
		fmt.Fprintf(out, "R%t%d,%d,%t", w.refused, w.refusals, min(w.step-w.termFrom, 2), w.renewing)
		if w.renewing {
			fmt.Fprint(out, min(w.step-w.renewal, 2))
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

// orderDigest writes what of the order bears on what may follow.
func (w *World) orderDigest(out io.Writer) {
	if w.sc.Plans == 0 {
		return
	}
	head := w.store[jobstore.PlanHeadKey].version
	fmt.Fprintf(out, "|O%d,%d,%t", w.applied, w.known, w.model.PlanGuard().Version == head)
	w.placements(func(k taskKey, committed bool) {
		fmt.Fprintf(out, ";%s%t%t", k.name, committed, w.decided[k] == head)
	})
	for _, k := range slices.SortedFunc(maps.Keys(w.victims), func(a, b taskKey) int { return strings.Compare(a.name, b.name) }) {
		fmt.Fprintf(out, ";v%s%t", k.name, w.victims[k] == head)
	}
}
