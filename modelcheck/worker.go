// Workers: the execution of commands and the life of their tasks.

package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	name    string // name of the task
	attempt uint64
}

// task is an attempt in a worker's list of tasks.
type task struct {
	attemptKey
	jobIndex   int    // index of the job in the scenario; -1 if the scenario has no such task
	state      string // wire.TaskFetching and similar
	exitReason string // wire.ExitDone and similar; "" until the task exits
}

// occupiesMachine reports whether the task has started on its machine and has not exited.
func (t *task) occupiesMachine() bool {
	return t.state == wire.TaskWaiting || t.state == wire.TaskRunning
}

// worker is the agent of a machine.
type worker struct {
	name          string
	zone          string
	epoch         uint64 // agent epoch; the tasks end with it
	seq           uint64 // sequence number of the last message
	token         uint64 // highest fencing token that the worker has seen
	renewedAt     int    // step in which the last heartbeat with a response was sent
	tasks         []*task
	pending       *heartbeat         // heartbeat that waits for its response; nil: none
	lastHeartbeat *heartbeat         // last heartbeat, while it may be duplicated; otherwise nil
	unreachable   bool               // neither responses nor pushes arrive
	reachedToken  uint64             // fencing token of the last leader that received a heartbeat of the worker, excluding duplicates
	launchOrder   map[attemptKey]int // value of launchCount at the launch of each attempt
	launchCount   int                // number of launches so far
}

// firstInState returns the first task in a state, or nil if there is none.
func (w *worker) firstInState(state string) *task {
	i := slices.IndexFunc(w.tasks, func(t *task) bool { return t.state == state })
	if i < 0 {
		return nil
	}
	return w.tasks[i]
}

// executeCommands lets a worker execute the commands of a response or a push according to the
// protocol specification (PROTOCOL).
func (s *System) executeCommands(w *worker, commands []wire.Command) {
	for _, c := range commands {
		key := attemptKey{c.Task, c.Attempt}
		i := slices.IndexFunc(w.tasks, func(t *task) bool { return t.attemptKey == key })
		switch {
		case c.Op == wire.OpStart && i < 0:
			s.startTask(w, key)
		case i < 0:
			// The worker does not have the attempt, so there is nothing to stop or to forget.
		case c.Op == wire.OpStop && w.tasks[i].state != wire.TaskExited:
			s.exitTask(w.tasks[i], wire.ExitStopped)
		case c.Op == wire.OpForget && w.tasks[i].state == wire.TaskExited:
			s.forgetTask(w, i)
		}
	}
}

// startTask launches an attempt. The worker refuses it, or fetches its image before it runs.
func (s *System) startTask(w *worker, key attemptKey) {
	t := &task{attemptKey: key, state: wire.TaskFetching, jobIndex: s.jobIndexOf(key.name)}
	if reason := s.startRefusal(w, t); reason != "" {
		t.state, t.exitReason = wire.TaskExited, reason
	}
	w.tasks = append(w.tasks, t)
	if w.launchOrder == nil {
		w.launchOrder = map[attemptKey]int{}
	}
	w.launchCount++
	w.launchOrder[key] = w.launchCount
}

// jobIndexOf returns the index of a task's job in the scenario, or -1 if there is no such task.
func (s *System) jobIndexOf(taskName string) int {
	id, number, _ := wire.ParseTaskName(taskName)
	return slices.IndexFunc(s.scenario.Jobs, func(j wire.Job) bool { return j.ID == id && number < j.Tasks })
}

// startRefusal returns the reason for which a worker refuses a start, or "" if it accepts.
func (s *System) startRefusal(w *worker, t *task) string {
	if t.jobIndex < 0 {
		return wire.ExitUnknown
	}
	used := 0.0
	for _, other := range w.tasks {
		if other.state == wire.TaskExited {
			continue
		}
		if other.name == t.name {
			return wire.ExitBusy
		}
		used += s.jobOf(other).CPUs
	}
	if used+s.jobOf(t).CPUs > s.scenario.Capacity {
		return wire.ExitNoRoom
	}
	return ""
}

// refuseStart makes a worker refuse the first task whose image it is fetching.
func (s *System) refuseStart(i int) {
	s.refusedStarts++
	s.exitTask(s.workers[i].firstInState(wire.TaskFetching), wire.ExitNoRoom)
}

// imageFetched makes a worker start the first task whose image it is fetching. The tasks of a gang
// wait until all of them have started.
func (s *System) imageFetched(i int) {
	w := s.workers[i]
	t := w.firstInState(wire.TaskFetching)
	s.checkStart(w, t)
	if s.completed[t.name] {
		s.exitTask(t, wire.ExitDone) // the result of an earlier attempt is still available
		return
	}
	if !s.isGang(t) {
		t.state = wire.TaskRunning
		return
	}
	t.state = wire.TaskWaiting
	if waiting := s.gangInState(t, wire.TaskWaiting); len(waiting) == s.jobOf(t).Tasks {
		for _, member := range waiting {
			member.state = wire.TaskRunning
		}
	}
}

// completeTask completes a worker's first running task and all running tasks of its gang.
func (s *System) completeTask(i int) {
	t := s.workers[i].firstInState(wire.TaskRunning)
	if !s.isGang(t) {
		s.exitTask(t, wire.ExitDone)
		return
	}
	for _, member := range s.gangInState(t, wire.TaskRunning) {
		s.exitTask(member, wire.ExitDone)
	}
}

// exitTask ends a task. If the task was running and has not completed, the running tasks of its
// gang end with it.
func (s *System) exitTask(t *task, reason string) {
	wasRunning := t.state == wire.TaskRunning
	t.state, t.exitReason = wire.TaskExited, reason
	switch {
	case reason == wire.ExitDone:
		s.completed[t.name] = true
	case wasRunning && s.isGang(t):
		s.exitGangPeers(t)
	}
}

// exitGangPeers ends the other running tasks of a gang.
func (s *System) exitGangPeers(t *task) {
	for _, peer := range s.gangInState(t, wire.TaskRunning) {
		if peer != t {
			peer.state, peer.exitReason = wire.TaskExited, wire.ExitPeers
		}
	}
}

// forgetTask removes an exited task from its worker's list.
func (s *System) forgetTask(w *worker, i int) {
	t := w.tasks[i]
	if t.exitReason == wire.ExitDone {
		s.checkOutcomeRecorded(t)
		if s.scenario.MaxDelayedCommits > 0 {
			s.forgotten[t.name] = true
		}
	}
	w.tasks = slices.Delete(w.tasks, i, i+1)
}

// expireLease ends a worker's lease. The worker's tasks end and its agent starts a new epoch.
func (s *System) expireLease(w *worker) {
	ended := w.tasks
	w.tasks, w.renewedAt = nil, s.step
	w.epoch++
	for _, t := range ended {
		if t.state == wire.TaskRunning && s.isGang(t) {
			s.exitGangPeers(t)
		}
	}
}

// gangInState returns the tasks of a gang's attempt that are in a state, on all workers.
func (s *System) gangInState(t *task, state string) (members []*task) {
	for _, w := range s.workers {
		for _, other := range w.tasks {
			if other.jobIndex == t.jobIndex && other.attempt == t.attempt && other.state == state {
				members = append(members, other)
			}
		}
	}
	return members
}

// jobOf returns the job of a task. The task must belong to a job of the scenario.
func (s *System) jobOf(t *task) *wire.Job { return &s.scenario.Jobs[t.jobIndex] }

func (s *System) isGang(t *task) bool { return s.jobOf(t).Kind == wire.KindGang }
