package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

type attemptKey struct {
	name    string
	attempt uint64
}

type task struct {
	attemptKey
	jobIndex   int
	idx        int
	state      string
	exitReason string
}

func (t *task) occupiesMachine() bool {
	return t.state == wire.TaskWaiting || t.state == wire.TaskRunning
}

type worker struct {
	name          string
	zone          string
	epoch         uint64
	seq           uint64
	token         uint64
	renewedAt     int // the step in which its last answered report was sent
	tasks         []*task
	pending       *heartbeat // the report that it waits for an answer to
	unreachable   bool       // neither answers nor commands reach it
	lastHeartbeat *heartbeat // its last report, while a copy of it may be made
	reachedToken  uint64     // the last leader that has had a report of it which is no copy
	// launches are when, by their count, its tasks were launched.
	launchOrder map[attemptKey]int
	launchCount int
}

func (s *System) roundTrip(i int) {
	f := s.sendHeartbeat(i)
	s.receiveHeartbeat(f, s.leader)
	if s.workers[i].unreachable {
		s.workers[i].pending = nil
		return
	}
	s.receiveResponse(f)
}

// executeCommands is a worker's, as PROTOCOL has it.
func (s *System) executeCommands(i int, cmds []wire.Command) {
	k := s.workers[i]
	for _, c := range cmds {
		at := slices.IndexFunc(k.tasks, func(t *task) bool { return t.attemptKey == attemptKey{c.Task, c.Attempt} })
		switch c.Op {
		case wire.OpStart:
			if at < 0 {
				k.tasks = append(k.tasks, s.startTask(k, c))
				k.recordLaunch(c)
			}
		case wire.OpStop:
			if at >= 0 && k.tasks[at].state != wire.TaskExited {
				s.exitTask(k.tasks[at], wire.WhyStopped)
			}
		case wire.OpForget:
			if at >= 0 && k.tasks[at].state == wire.TaskExited {
				t := k.tasks[at]
				if t.exitReason == wire.WhyDone && !s.outcomeRecorded(t) {
					s.violate("outcome lost", t.name+" is forgotten and nowhere recorded")
				}
				if t.exitReason == wire.WhyDone && s.scenario.MaxDelayedCommits > 0 {
					if s.forgotten == nil {
						s.forgotten = map[string]bool{}
					}
					s.forgotten[t.name] = true
				}
				k.tasks = slices.Delete(k.tasks, at, at+1)
			}
		}
	}
}

func (s *System) startTask(k *worker, c wire.Command) *task {
	t := &task{attemptKey: attemptKey{c.Task, c.Attempt}, state: wire.TaskFetching, jobIndex: -1}
	id, n, _ := wire.SplitTask(c.Task)
	used := 0.0
	busy := false
	for _, o := range k.tasks {
		if o.state != wire.TaskExited {
			busy = busy || o.name == c.Task
			used += s.scenario.Jobs[o.jobIndex].CPUs
		}
	}
	for i := range s.scenario.Jobs {
		if s.scenario.Jobs[i].ID == id && n < s.scenario.Jobs[i].Tasks {
			t.jobIndex, t.idx = i, n
		}
	}
	switch {
	case t.jobIndex < 0:
		t.state, t.exitReason = wire.TaskExited, wire.WhyUnknown
	case busy:
		t.state, t.exitReason = wire.TaskExited, wire.WhyBusy
	case used+s.scenario.Jobs[t.jobIndex].CPUs > s.scenario.Capacity:
		t.state, t.exitReason = wire.TaskExited, wire.WhyNoRoom
	}
	return t
}

// imageFetched brings a worker's first waiting image: its task starts.
func (s *System) imageFetched(i int) {
	k := s.workers[i]
	t := k.tasks[slices.IndexFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskFetching })]
	j := &s.scenario.Jobs[t.jobIndex]
	s.checkStart(k, t)
	if s.completed[t.name] {
		s.exitTask(t, wire.WhyDone) // its result is kept
		return
	}
	t.state = wire.TaskRunning
	if j.Kind != wire.KindGang {
		return
	}
	t.state = wire.TaskWaiting
	var all []*task
	for _, o := range s.workers {
		for _, p := range o.tasks {
			if p.jobIndex == t.jobIndex && p.attempt == t.attempt && p.state == wire.TaskWaiting {
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

// completeTask completes a worker's first running task, and with it its gang.
func (s *System) completeTask(i int) {
	k := s.workers[i]
	t := k.tasks[slices.IndexFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskRunning })]
	if s.scenario.Jobs[t.jobIndex].Kind != wire.KindGang {
		s.exitTask(t, wire.WhyDone)
		return
	}
	for _, o := range s.workers {
		for _, p := range o.tasks {
			if p.jobIndex == t.jobIndex && p.attempt == t.attempt && p.state == wire.TaskRunning {
				s.exitTask(p, wire.WhyDone)
			}
		}
	}
}

// exitTask ends a task. What is left of a gang that ran ends with it.
func (s *System) exitTask(t *task, why string) {
	ran := t.state == wire.TaskRunning
	t.state, t.exitReason = wire.TaskExited, why
	if why == wire.WhyDone {
		s.completed[t.name] = true
		return
	}
	if ran && s.scenario.Jobs[t.jobIndex].Kind == wire.KindGang {
		s.exitGangPeers(t)
	}
}

func (s *System) exitGangPeers(t *task) {
	for _, o := range s.workers {
		for _, p := range o.tasks {
			if p != t && p.jobIndex == t.jobIndex && p.attempt == t.attempt && p.state == wire.TaskRunning {
				p.state, p.exitReason = wire.TaskExited, wire.WhyPeers
			}
		}
	}
}

// recordLaunch notes when a task was launched, among all of its worker.
func (k *worker) recordLaunch(c wire.Command) {
	if k.launchOrder == nil {
		k.launchOrder = map[attemptKey]int{}
	}
	k.launchCount++
	k.launchOrder[attemptKey{c.Task, c.Attempt}] = k.launchCount
}

// refuseStart has a worker refuse the first of its tasks that wait for their image.
func (s *System) refuseStart(i int) {
	k := s.workers[i]
	at := slices.IndexFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskFetching })
	s.refusedStarts++
	s.exitTask(k.tasks[at], wire.WhyNoRoom)
}
