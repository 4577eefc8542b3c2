package modelcheck

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is what comes late or is lost between nodes and the state service: a
// transaction that gets no answer and is carried out after newer ones, a user's
// cancellation that races with the end of its job's last task, and a leader that the
// state service refuses alone, while another node serves users.

// Guards that are taken away here.
const (
	UnknownCounts  Breach = 110 + iota // a transaction without an answer counts as committed
	PageUnguarded                      // a page's version is no condition of its next change
	CancelUnguards                     // a user's cancellation has no conditions
	DoneUnguarded                      // the end of a job is no matter of its record's version
	TermIgnored                        // a leader answers past its term, while nobody else leads
	TermFromAnswer                     // the term counts from the renewal's answer, not from its sending
	CopyShows                          // a late copy counts as having shown the leader's token
)

var lateBreaches = map[Breach]string{UnknownCounts: "no answer counts as committed", PageUnguarded: "page unguarded", CancelUnguards: "cancellation unguarded",
	DoneUnguarded: "done unguarded", TermIgnored: "term ignored", TermFromAnswer: "term from the answer", CopyShows: "copy shows the token"}

// What may happen, where a scenario has any of it.
const (
	PassLate Kind = 120 + iota // a pass whose first transaction gets no answer, and is carried out later
	LateTxn                    // it is carried out
	Ask                        // a user's cancellation is read for and sent
	AskHeard                   // it is carried out, and the user told
	AskLost                    // it is carried out, and its answer lost
	Again                      // the user asks again, and is told what is final
	Refuse                     // the state service refuses the leader alone, or no longer
	Renewed                    // the answer comes to a renewal sent before that
)

var lateNames = map[Kind]string{PassLate: "pass, to be carried out late", LateTxn: "late transaction is carried out,", Ask: "cancellation sent, job", AskHeard: "cancellation carried out, job",
	AskLost: "cancellation carried out and its answer lost, job", Again: "cancelled again, job", Refuse: "leader refused, or no longer", Renewed: "late answer to a renewal"}

// What meets where a copy overtakes the report that is being sent.
const (
	repeated       = "answered as it came after its copy"
	repeatedAtNext = repeated + ", at the next leader"
)

// txn is a transaction on its way.
type txn struct {
	token  uint64 // of the leader that sent it; 0: a user's
	guards []wire.Guard
	ops    []wire.Op
}

// late is what a world knows of them.
type late struct {
	txns      []txn          // sent, not answered, not carried out
	lates     int            // how many there have been
	asks      map[string]txn // users' cancellations on their way, by job
	asked     map[string]bool
	forgotten map[string]bool // tasks whose done their workers have forgotten
	refused   bool
	refusals  int
	termFrom  int  // the step in which the last renewal was sent that was answered
	renewal   int  // the step in which one was sent that is on its way
	renewing  bool // there is such a one
}

// LateTransactions is an array of two whose leader's transactions may be carried out
// late, and whose user may cancel it at any time.
func LateTransactions() *Scenario {
	sc := Pair()
	sc.Name, sc.Lates, sc.Asks, sc.Cancels = "late transactions", 1, 1, 0
	return sc
}

// LateOfOne is a task with one machine, on which the same happens; it goes deeper.
func LateOfOne() *Scenario {
	sc := Alone()
	sc.Name, sc.Lates, sc.Asks, sc.Cancels, sc.Takeovers = "late transactions of one task", 2, 1, 0, 1
	return sc
}

// RefusedAlone is a task whose leader the state service refuses for a while.
func RefusedAlone() *Scenario {
	sc := OneTask()
	sc.Name, sc.Refusals, sc.Takeovers = "refused alone", 1, 1
	return sc
}

// NextLeader is a task and a copy of a report that may be kept for the next leader.
func NextLeader() *Scenario {
	sc := OneTask()
	sc.Name, sc.Copies, sc.Cancels, sc.Takeovers = "copy for the next leader", 1, 0, 1
	return sc
}

// hold leaves a leader's transaction without an answer, to be carried out later.
func (w *World) hold(b *cluster.WriteBatch) {
	w.lates++
	w.txns = append(w.txns, txn{w.token, b.Guards, b.Ops})
	if w.breach == UnknownCounts {
		b.OnCommit(w.rev, w.now())
		return
	}
	w.model.RequeueBatch(b)
}

// carryOut has the state service come to a transaction: a leader's has the leader
// key's revision as a condition besides.
func (w *World) carryOut(t txn) bool {
	if t.token != 0 && t.token != w.token {
		return false
	}
	return w.commit(t.guards, t.ops) == nil
}

// ask makes a user's cancellation from what a node has read (jobstore.Store.Cancel).
func (w *World) ask(i int) {
	id := w.sc.Jobs[i].ID
	rec, _ := w.active(id)
	rec.State = wire.JobCancelled
	key := jobstore.JobKey(id)
	t := txn{guards: []wire.Guard{{Key: key, Version: w.store[key].version}, {Key: jobstore.FinalKey(id)}},
		ops: []wire.Op{{Delete: key}, {Put: jobstore.FinalKey(id), Value: rec}}}
	if w.breach == CancelUnguards {
		t.guards = nil
	}
	if w.asks == nil {
		w.asks, w.asked = map[string]txn{}, map[string]bool{}
	}
	w.asks[id], w.asked[id] = t, true
}

// tell answers a user what is final, which a node has read or written.
func (w *World) tell(id string) {
	rec, ok := w.store[jobstore.FinalKey(id)].v.(jobstore.JobRecord)
	if _, told := w.cancelled[id]; ok && !told && rec.State == wire.JobCancelled {
		w.cancelled[id] = w.step
	}
}

// sure says whether the leader's term is valid: it has lasted no longer than a step
// since its renewal was sent.
func (w *World) sure() bool {
	return w.sc.Refusals == 0 || w.breach == TermIgnored || w.step-w.termFrom <= 1
}

// renew is the leader's renewal with its barrier, in the step that begins.
func (w *World) renew() {
	if w.refused {
		return
	}
	w.termFrom = w.step
	if w.breach != NoReadBarrier {
		w.learn()
	}
}

// finals holds every job's records against the rules, once a transaction has changed
// them: whoever asks in between is told what they say. It is asked with what was
// there before.
func (w *World) finals(was map[string]value) {
	for i := range w.sc.Jobs {
		id := w.sc.Jobs[i].ID
		_, active := w.active(id)
		is, final := w.store[jobstore.FinalKey(id)].v.(jobstore.JobRecord)
		before, had := was[id].v.(jobstore.JobRecord)
		switch {
		case i >= len(w.sc.Jobs)-w.sc.Later && !w.arrived:
		case active == final:
			w.broke("forgotten", fmt.Sprintf("%s is active: %t, and final: %t", id, active, final))
		case had && is.State != before.State:
			w.broke("went_back", fmt.Sprintf("%s was called %s and is called %s", id, before.State, is.State))
		case final && is.State == wire.JobCancelled && w.sc.Asks > 0 && !w.asked[id]:
			w.broke("went_back", id+" is called cancelled, and nobody asked for that")
		}
	}
	for name := range w.forgotten {
		if !w.recorded(&task{taskKey: taskKey{name, 0}}) {
			w.broke("outcome lost", name+" was forgotten and is recorded nowhere any more")
		}
	}
}

func (w *World) finalRecords() map[string]value {
	out := map[string]value{}
	for i := range w.sc.Jobs {
		id := w.sc.Jobs[i].ID
		out[id] = w.store[jobstore.FinalKey(id)]
	}
	return out
}

// unguarded takes conditions away as the breach has it.
func (w *World) unguarded(guards []wire.Guard) []wire.Guard {
	if w.breach != PageUnguarded && w.breach != DoneUnguarded {
		return guards
	}
	return slices.DeleteFunc(slices.Clone(guards), func(g wire.Guard) bool {
		_, page := jobstore.ParsePlacementPageKey(g.Key)
		return page == (w.breach == PageUnguarded)
	})
}

// meets notes what a copy meets that arrives now.
func (w *World) meets(f *flight) {
	k := w.workers[f.w]
	if w.takeover == 0 || f.rep.Token >= w.model.FencingToken || k.heardBy == w.token {
		return
	}
	w.Met = append(w.Met, "first at the next leader")
	if f.rep.Session < k.session {
		w.Met = append(w.Met, "of an earlier session")
	}
	for _, t := range f.rep.Tasks {
		if t.State != wire.TaskExited && !slices.ContainsFunc(k.tasks, func(o *task) bool { return o.name == t.Task && o.attempt == t.Attempt && o.state != wire.TaskExited }) {
			w.Met = append(w.Met, "of an earlier attempt")
		}
	}
}

// lateActions lists what of it may happen next.
func (w *World) lateActions() (out []Action) {
	if w.lates < w.sc.Lates {
		out = append(out, Action{Kind: PassLate})
	}
	for i := range w.txns {
		out = append(out, Action{LateTxn, uint8(i)})
	}
	for i := range w.sc.Asks {
		id := w.sc.Jobs[i].ID
		_, active := w.active(id)
		_, told := w.cancelled[id]
		if _, under := w.asks[id]; under {
			out = append(out, Action{AskHeard, uint8(i)}, Action{AskLost, uint8(i)})
		} else if active {
			out = append(out, Action{Ask, uint8(i)})
		} else if w.asked[id] && !told {
			out = append(out, Action{Again, uint8(i)})
		}
	}
	if w.refused || w.refusals < w.sc.Refusals {
		out = append(out, Action{Kind: Refuse})
	}
	if w.renewing {
		out = append(out, Action{Kind: Renewed})
	}
	return out
}

func (w *World) doLate(a Action) {
	i := int(a.Arg)
	switch a.Kind {
	case PassLate:
		w.pass(PassLate)
	case LateTxn:
		t := w.txns[i]
		w.txns = slices.Delete(w.txns, i, i+1)
		w.carryOut(t)
	case Ask:
		w.ask(i)
	case AskHeard, AskLost:
		id := w.sc.Jobs[i].ID
		t := w.asks[id]
		delete(w.asks, id)
		if w.carryOut(t) && a.Kind == AskHeard {
			w.tell(id)
		}
	case Again:
		w.tell(w.sc.Jobs[i].ID)
	case Refuse:
		if w.refused = !w.refused; w.refused {
			w.refusals++
			w.renewal, w.renewing = w.step, true
		} else {
			w.renew()
		}
	case Renewed:
		w.renewing = false
		if w.breach == TermFromAnswer {
			w.renewal = w.step
		}
		w.termFrom = max(w.termFrom, w.renewal)
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
