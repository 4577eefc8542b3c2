package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
)

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

func (w *World) doOrder(k Kind) {
	switch k {
	case Decide:
		w.model.Tick(w.now())
		w.plans()
	case Apply:
		w.apply()
	case Hear:
		w.hear(w.model)
		w.seeStops()
	case Arrive:
		w.arrived = true
		w.rev++
		rec := jobstore.JobRecord{Job: w.last(), AcceptedAtMs: w.now().UnixMilli()}
		w.store[jobstore.JobKey(rec.Job.ID)] = value{rec, w.rev}
		w.model.ApplyJobRecord(rec.Job.ID, rec, w.rev, w.now())
		w.seen = max(w.seen, w.rev)
	}
}

// Do lets an action happen.
func (w *World) Do(a Action) {
	i := int(a.Arg)
	w.Met = nil
	switch a.Kind {
	case Decide, Apply, Hear, Arrive:
		w.doOrder(a.Kind)
	case PassLate, LateTxn, Ask, AskHeard, AskLost, Again, Refuse, Renewed:
		w.doLate(a)
	case Pass, PassLost:
		w.pass(a.Kind)
	case Trip:
		w.trip(i)
	case Send:
		w.send(i)
	case Handle:
		w.handle(w.workers[i].out, w.model)
	case Answer:
		w.answer(w.workers[i].out)
	case GiveUp:
		w.giveUp(w.workers[i])
	case Late:
		f := w.overdue[i]
		w.overdue = slices.Delete(w.overdue, i, i+1)
		w.handle(f, w.model)
	case LateAnswer:
		f := w.answers[i]
		w.answers = slices.Delete(w.answers, i, i+1)
		w.answer(f)
	case Direct:
		d := w.directs[i]
		w.directs = slices.Delete(w.directs, i, i+1)
		w.deliverDirect(d)
	case Image:
		w.image(i)
	case Fail:
		w.fail(i)
	case Finish:
		w.finish(i)
	case Cancel:
		w.cancel(i)
	case Learn:
		w.learn()
	case Wait:
		w.wait()
	case Takeover:
		w.takeover++
		if w.breach == LeaderGoesOn {
			w.old = w.model
		}
		w.lead()
	case Mute:
		k := w.workers[i]
		if k.mute = !k.mute; k.mute {
			w.mutes++
		}
	case Keep:
		w.copyReport(w.workers[i])
	case Copy:
		w.handle(w.copies[i], w.model)
		w.copies = slices.Delete(w.copies, i, i+1)
	case Old:
		f := w.send(i)
		w.handle(f, w.old)
		w.answer(f)
	}
}
