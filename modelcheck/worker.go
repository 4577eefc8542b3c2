package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

type taskKey struct {
	name    string
	attempt uint64
}

type task struct {
	taskKey
	job   int
	idx   int
	state string
	why   string
}

func (t *task) here() bool {
	return t.state == wire.TaskWaiting || t.state == wire.TaskRunning
}

type worker struct {
	name    string
	zone    string
	session uint64
	seq     uint64
	token   uint64
	renewed int // the step in which its last answered report was sent
	tasks   []*task
	out     *flight // the report that it waits for an answer to
	mute    bool    // neither answers nor commands reach it
	last    *flight // its last report, while a copy of it may be made
	heardBy uint64  // the last leader that has had a report of it which is no copy
	// launches are when, by their count, its tasks were launched.
	launches map[taskKey]int
	launched int
}

func (w *World) trip(i int) {
	f := w.send(i)
	w.handle(f, w.model)
	if w.workers[i].mute {
		w.workers[i].out = nil
		return
	}
	w.answer(f)
}

// execute is a worker's, as PROTOCOL has it.
func (w *World) execute(i int, cmds []wire.Command) {
	k := w.workers[i]
	for _, c := range cmds {
		at := slices.IndexFunc(k.tasks, func(t *task) bool { return t.taskKey == taskKey{c.Task, c.Attempt} })
		switch c.Op {
		case wire.OpStart:
			if at < 0 {
				k.tasks = append(k.tasks, w.launch(k, c))
				k.noteLaunch(c)
			}
		case wire.OpStop:
			if at >= 0 && k.tasks[at].state != wire.TaskExited {
				w.exit(k.tasks[at], wire.WhyStopped)
			}
		case wire.OpForget:
			if at >= 0 && k.tasks[at].state == wire.TaskExited {
				t := k.tasks[at]
				if t.why == wire.WhyDone && !w.recorded(t) {
					w.broke("outcome lost", t.name+" is forgotten and nowhere recorded")
				}
				if t.why == wire.WhyDone && w.sc.Lates > 0 {
					if w.forgotten == nil {
						w.forgotten = map[string]bool{}
					}
					w.forgotten[t.name] = true
				}
				k.tasks = slices.Delete(k.tasks, at, at+1)
			}
		}
	}
}

func (w *World) launch(k *worker, c wire.Command) *task {
	t := &task{taskKey: taskKey{c.Task, c.Attempt}, state: wire.TaskFetching, job: -1}
	id, n, _ := wire.SplitTask(c.Task)
	used := 0.0
	busy := false
	for _, o := range k.tasks {
		if o.state != wire.TaskExited {
			busy = busy || o.name == c.Task
			used += w.sc.Jobs[o.job].CPUs
		}
	}
	for i := range w.sc.Jobs {
		if w.sc.Jobs[i].ID == id && n < w.sc.Jobs[i].Tasks {
			t.job, t.idx = i, n
		}
	}
	switch {
	case t.job < 0:
		t.state, t.why = wire.TaskExited, wire.WhyUnknown
	case busy:
		t.state, t.why = wire.TaskExited, wire.WhyBusy
	case used+w.sc.Jobs[t.job].CPUs > w.sc.Capacity:
		t.state, t.why = wire.TaskExited, wire.WhyNoRoom
	}
	return t
}

// image brings a worker's first waiting image: its task starts.
func (w *World) image(i int) {
	k := w.workers[i]
	t := k.tasks[slices.IndexFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskFetching })]
	j := &w.sc.Jobs[t.job]
	w.checkStart(k, t)
	if w.completed[t.name] {
		w.exit(t, wire.WhyDone) // its result is kept
		return
	}
	t.state = wire.TaskRunning
	if j.Kind != wire.KindGang {
		return
	}
	t.state = wire.TaskWaiting
	var all []*task
	for _, o := range w.workers {
		for _, p := range o.tasks {
			if p.job == t.job && p.attempt == t.attempt && p.state == wire.TaskWaiting {
				all = append(all, p)
			}
		}
	}
	if len(all) == j.Tasks {
		for _, p := range all {
			p.state = wire.TaskRunning
		}
	}
}

// finish completes a worker's first running task, and with it its gang.
func (w *World) finish(i int) {
	k := w.workers[i]
	t := k.tasks[slices.IndexFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskRunning })]
	if w.sc.Jobs[t.job].Kind != wire.KindGang {
		w.exit(t, wire.WhyDone)
		return
	}
	for _, o := range w.workers {
		for _, p := range o.tasks {
			if p.job == t.job && p.attempt == t.attempt && p.state == wire.TaskRunning {
				w.exit(p, wire.WhyDone)
			}
		}
	}
}

// exit ends a task. What is left of a gang that ran ends with it.
func (w *World) exit(t *task, why string) {
	ran := t.state == wire.TaskRunning
	t.state, t.why = wire.TaskExited, why
	if why == wire.WhyDone {
		w.completed[t.name] = true
		return
	}
	if ran && w.sc.Jobs[t.job].Kind == wire.KindGang {
		w.peers(t)
	}
}

func (w *World) peers(t *task) {
	for _, o := range w.workers {
		for _, p := range o.tasks {
			if p != t && p.job == t.job && p.attempt == t.attempt && p.state == wire.TaskRunning {
				p.state, p.why = wire.TaskExited, wire.WhyPeers
			}
		}
	}
}

// noteLaunch notes when a task was launched, among all of its worker.
func (k *worker) noteLaunch(c wire.Command) {
	if k.launches == nil {
		k.launches = map[taskKey]int{}
	}
	k.launched++
	k.launches[taskKey{c.Task, c.Attempt}] = k.launched
}

// fail has a worker refuse the first of its tasks that wait for their image.
func (w *World) fail(i int) {
	k := w.workers[i]
	at := slices.IndexFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskFetching })
	w.errors++
	w.exit(k.tasks[at], wire.WhyNoRoom)
}
