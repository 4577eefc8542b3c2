package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

// This file is what becomes of direct commands, which arrive at any time after they were
// sent: after newer ones, after the next leader's, and in a later session of their worker.

// flight is a report on its way, and its answer.
type flight struct {
	w        int
	rep      wire.Report
	sent     int
	handled  bool
	token    uint64
	commands []wire.Command
}

type direct struct {
	w        int
	batch    wire.DirectCommands
	launches int // of its worker before it was sent
}

// send makes a worker's report.
func (w *World) send(i int) *flight {
	k := w.workers[i]
	k.seq++
	f := &flight{w: i, sent: w.step, rep: wire.Report{Machine: k.name, Addr: k.name, Type: "m", Zone: k.zone, Session: k.session, Seq: k.seq, Token: k.token}}
	for _, t := range k.tasks {
		f.rep.Tasks = append(f.rep.Tasks, wire.TaskReport{Task: t.name, Attempt: t.attempt, State: t.state, Why: t.why})
	}
	k.out = f
	if w.copied < w.sc.Copies {
		k.last = f
	}
	return f
}

// answer lets a worker take the answer that it waits for.
func (w *World) answer(f *flight) {
	k := w.workers[f.w]
	if k.out == f {
		k.out = nil
	}
	if f.token == 0 || f.token < k.token || f.rep.Session != k.session {
		return
	}
	k.token, k.renewed = f.token, f.sent
	w.execute(f.w, f.commands)
}

// copyReport keeps a copy of a worker's last report.
func (w *World) copyReport(k *worker) {
	c := *k.last
	w.copies = append(w.copies, &c)
	if w.copied++; w.copied == w.sc.Copies {
		for _, o := range w.workers {
			o.last = nil
		}
	}
	k.last = nil
}

func (w *World) giveUp(k *worker) {
	f := k.out
	k.out = nil
	late := 0
	for _, o := range w.overdue {
		if o.w == f.w {
			late++
		}
	}
	if !f.handled && late < maxLate {
		w.overdue = append(w.overdue, f)
	}
	if f.handled && w.breach == LateAnswers && len(w.answers) < maxLate {
		w.answers = append(w.answers, f)
	}
}

// What a direct batch meets when it arrives.
const (
	formerLeader   = "executed, of a former leader"
	refusedToken   = "refused for its token"
	refusedSession = "refused for its session"
	newerStart     = "a stop met its own attempt, launched later"
)

// deliverDirect has a worker take a direct batch, if token and session still match.
func (w *World) deliverDirect(d direct) {
	k := w.workers[d.w]
	k.seq++
	switch {
	case d.batch.Session != k.session:
		w.Met = append(w.Met, refusedSession)
		return
	case d.batch.Token < k.token:
		w.Met = append(w.Met, refusedToken)
		return
	}
	if d.batch.Token < w.token {
		w.Met = append(w.Met, formerLeader)
	}
	for _, c := range d.batch.Commands {
		key := taskKey{c.Task, c.Attempt}
		running := slices.ContainsFunc(k.tasks, func(t *task) bool { return t.taskKey == key && t.state != wire.TaskExited })
		if c.Op == wire.OpStop && running && k.launches[key] > d.launches {
			w.Met = append(w.Met, newerStart)
		}
	}
	k.token = d.batch.Token
	w.execute(d.w, d.batch.Commands)
}

// forgetDirectly sends the outcomes that an answer forgets by a direct batch as well.
func (w *World) forgetDirectly(f *flight, token uint64) {
	var forgets []wire.Command
	for _, c := range f.commands {
		if c.Op == wire.OpForget {
			forgets = append(forgets, c)
		}
	}
	if len(forgets) == 0 || len(w.directs) >= maxDirects {
		return
	}
	batch := wire.DirectCommands{Token: token, Session: f.rep.Session, Commands: forgets}
	w.directs = append(w.directs, direct{f.w, batch, w.workers[f.w].launched})
}

// What meets where a copy overtakes the report that is being sent.
const (
	repeated       = "answered as it came after its copy"
	repeatedAtNext = repeated + ", at the next leader"
)

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
