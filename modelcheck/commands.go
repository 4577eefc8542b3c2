package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

// This file is what becomes of direct commands, which arrive at any time after they were
// sent: after newer ones, after the next leader's, and in a later session of their worker.

// DirectForget has outcomes forgotten by direct commands as well as in answers.
const DirectForget Breach = 130

// What a direct batch meets when it arrives.
const (
	formerLeader   = "executed, of a former leader"
	refusedToken   = "refused for its token"
	refusedSession = "refused for its session"
	newerStart     = "a stop met its own attempt, launched later"
)

// FailedGang is a gang of two on one machine, of which a start may be refused.
// What replaces it has the same attempt number, on the same machine.
func FailedGang() *Scenario {
	sc := Gang()
	sc.Name, sc.Zones, sc.Cancels, sc.Takeovers, sc.Errors = "failed gang", sc.Zones[:1], 1, 1, 1
	return sc
}

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

// noteLaunch notes when a task was launched, among all of its worker.
func (k *worker) noteLaunch(c wire.Command) {
	if k.launches == nil {
		k.launches = map[taskKey]int{}
	}
	k.launched++
	k.launches[taskKey{c.Task, c.Attempt}] = k.launched
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

// fail has a worker refuse the first of its tasks that wait for their image.
func (w *World) fail(i int) {
	k := w.workers[i]
	at := slices.IndexFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskFetching })
	w.errors++
	w.exit(k.tasks[at], wire.WhyNoRoom)
}
