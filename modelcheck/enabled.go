package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

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

// orderActions lists what may happen to the order next.
func (w *World) orderActions() (out []Action) {
	if w.sc.Plans == 0 {
		return nil
	}
	out = append(out, Action{Kind: Decide})
	if w.applied < w.sc.Plans {
		out = append(out, Action{Kind: Apply})
	}
	if w.sc.Later > 0 && !w.arrived {
		out = append(out, Action{Kind: Arrive})
	}
	if w.model.PlanGuard().Version != w.store[jobstore.PlanHeadKey].version {
		out = append(out, Action{Kind: Hear})
	}
	return out
}

// Actions lists what may happen next.
func (w *World) Actions() []Action {
	out := w.all()
	if w.sc.Only != nil {
		out = slices.DeleteFunc(out, func(a Action) bool { return !slices.Contains(w.sc.Only, a.Kind) })
	}
	return out
}

func (w *World) all() []Action {
	out := append([]Action{{Kind: Pass}, {Kind: PassLost}, {Kind: Wait}}, append(w.orderActions(), w.lateActions()...)...)
	if w.takeover < w.sc.Takeovers {
		out = append(out, Action{Kind: Takeover})
	}
	for i, k := range w.workers {
		n := uint8(i)
		switch {
		case k.out == nil:
			out = append(out, Action{Trip, n})
			if i >= len(w.workers)-w.sc.Reliable {
				break
			}
			out = append(out, Action{Send, n})
			if w.old != nil && !k.mute {
				out = append(out, Action{Old, n})
			}
		case k.out.handled && k.mute:
			out = append(out, Action{GiveUp, n})
		case k.out.handled:
			out = append(out, Action{Answer, n}, Action{GiveUp, n})
		default:
			out = append(out, Action{Handle, n}, Action{GiveUp, n})
		}
		if k.mute || w.mutes < w.sc.Mutes {
			out = append(out, Action{Mute, n})
		}
		if k.last != nil {
			out = append(out, Action{Keep, n})
		}
		if slices.ContainsFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskFetching }) {
			out = append(out, Action{Image, n})
			if w.errors < w.sc.Errors {
				out = append(out, Action{Fail, n})
			}
		}
		if slices.ContainsFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskRunning }) {
			out = append(out, Action{Finish, n})
		}
	}
	for i := range w.overdue {
		out = append(out, Action{Late, uint8(i)})
	}
	for i := range w.answers {
		out = append(out, Action{LateAnswer, uint8(i)})
	}
	for i := range w.copies {
		out = append(out, Action{Copy, uint8(i)})
	}
	for i := range w.directs {
		if w.workers[w.directs[i].w].mute {
			continue
		}
		out = append(out, Action{Direct, uint8(i)})
	}
	for i := range w.sc.Cancels {
		if _, ok := w.active(w.sc.Jobs[i].ID); ok {
			out = append(out, Action{Cancel, uint8(i)})
		}
	}
	if len(w.cancelled)+len(w.asked) > 0 && w.seen < w.rev && !w.refused {
		out = append(out, Action{Kind: Learn})
	}
	return out
}
