package modelcheck

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/zeebo/xxh3"

	"github.com/umberdeal/umberdeal/wire"
)

// Action is something that may happen next.
type Action struct {
	Kind Kind
	Arg  uint8 // which worker, job or message
}

// Kind is what an action does.
type Kind uint8

// The kinds of actions.
const (
	Pass       Kind = iota // the leader plans, commits and sends
	PassLost               // the same, and the commit's answer is lost
	Trip                   // a worker reports, is answered, and executes
	Send                   // a worker reports
	Handle                 // the report arrives, and its answer is on its way
	Answer                 // the answer arrives
	GiveUp                 // the worker gives the answer up
	Late                   // a report that was given up arrives
	LateAnswer             // an answer that was given up arrives
	Direct                 // a direct batch arrives
	Image                  // a worker has an image
	Finish                 // a task completes
	Cancel                 // a user cancels, and is told so
	Learn                  // the leader learns of it
	Wait                   // 0.6 of a lease passes
	Takeover               // another leader takes over
	Old                    // the leader before answers a worker's whole round trip
	Mute                   // nothing reaches a worker any more, or again
	Keep                   // a copy is made of a worker's last report
	Copy                   // a copy arrives
	Fail                   // a start is refused
)

func (a Action) String() string {
	if name, ok := orderNames[a.Kind]; ok {
		return name
	}
	if name, ok := lateNames[a.Kind]; ok {
		return fmt.Sprintf("%s %d", name, a.Arg)
	}
	return fmt.Sprintf("%s %d", [...]string{"pass", "pass, answer lost", "round trip of", "report of", "report arrives of", "answer arrives at", "given up by",
		"late report arrives,", "late answer arrives,", "direct batch arrives,", "image at", "completes at", "cancelled, job", "leader learns", "time passes",
		"takeover", "former leader answers", "nothing reaches, or all again,", "copy made of report of", "copy arrives,", "refused at"}[a.Kind], a.Arg)
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

// Result is what a search found.
type Result struct {
	States      int // different ones, by digest
	Transitions int
	Depth       int  // actions from the beginning
	All         bool // no state was left to go on from
	Broken      string
	Path        []Action
	Met         map[string]int // transitions in which so much met (World.Met)
}

func (r Result) String() string {
	s := fmt.Sprintf("%d states, %d transitions, depth %d", r.States, r.Transitions, r.Depth)
	if r.Broken == "" {
		return s
	}
	steps := make([]string, len(r.Path))
	for i, a := range r.Path {
		steps[i] = a.String()
	}
	return s + ", " + r.Broken + " by: " + strings.Join(steps, "; ")
}

func replay(sc *Scenario, b Breach, path []Action) *World {
	w := NewWorld(sc, b)
	for _, a := range path {
		w.Do(a)
	}
	return w
}

func (w *World) hash() xxh3.Uint128 {
	h := xxh3.New()
	w.Digest(h)
	return h.Sum128()
}

type found struct {
	path   []Action
	hash   xxh3.Uint128
	broken string
	met    []string
}

// Search goes through all that may happen within so many actions, breadth
// first, and ends with the first rule broken or once it knows so many states.
// A state is the actions that lead to it: the leader's model is not copied, but
// made again.
func Search(sc *Scenario, b Breach, depth, states int) Result {
	first := NewWorld(sc, b)
	known := map[xxh3.Uint128]struct{}{first.hash(): {}}
	level := [][]Action{nil}
	res := Result{States: 1, Met: map[string]int{}}
	for res.Depth < depth && len(level) > 0 && res.States < states {
		res.Depth++
		next := expand(sc, b, level)
		level = level[:0:0]
		for _, f := range next {
			res.Transitions++
			for _, what := range f.met {
				res.Met[what]++
			}
			if f.broken != "" {
				res.Broken, res.Path = f.broken, f.path
				return res
			}
			if _, ok := known[f.hash]; !ok {
				known[f.hash] = struct{}{}
				level = append(level, f.path)
			}
		}
		res.States = len(known)
	}
	res.All = len(level) == 0
	return res
}

// expand makes every successor of a level's states, in their order.
func expand(sc *Scenario, b Breach, level [][]Action) []found {
	parts := make([][]found, len(level))
	var wg sync.WaitGroup
	n := runtime.GOMAXPROCS(0)
	for k := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := k; i < len(level); i += n {
				for _, a := range replay(sc, b, level[i]).Actions() {
					path := append(slices.Clip(slices.Clone(level[i])), a)
					w := replay(sc, b, path)
					parts[i] = append(parts[i], found{path, w.hash(), w.Broken, w.Met})
				}
			}
		}()
	}
	wg.Wait()
	return slices.Concat(parts...)
}
