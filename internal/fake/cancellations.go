package fake

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// This file has users cancel jobs at moments at which that is hard to get right, and checks what
// becomes of the tasks of cancelled jobs.

const (
	longToGo  = 30.0                   // seconds
	cancelsIn = 200 * time.Millisecond // all that CancelNow asks for
	hangsMost = 8                      // machines
)

// CancelRunning cancels so many jobs, within a fifth of a second, that run and have
// long to go. With hang some of their machines hang for so long, from before the
// first is asked for. It does not wait for the answers.
func (w *Cluster) CancelRunning(n int, hang time.Duration) (ids, hung []string) {
	w.mu.Lock()
	machinesOf := w.jobsWithLongToGo(time.Now())
	ids = slices.Sorted(maps.Keys(machinesOf))
	w.random.Shuffle(len(ids), func(a, b int) { ids[a], ids[b] = ids[b], ids[a] })
	ids = ids[:min(n, len(ids))]
	var machines []*machine
	if hang > 0 {
		machines = hangSome(ids, machinesOf)
	}
	w.mu.Unlock()
	for i, id := range ids {
		w.wg.Go(func() {
			if call.Pause(w.ctx, cancelsIn*time.Duration(i)/time.Duration(len(ids))) {
				w.Cancel(id)
			}
		})
	}
	w.wg.Go(func() {
		if call.Pause(w.ctx, hang) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, m := range machines {
				m.hung = false
			}
		}
	})
	for _, m := range machines {
		hung = append(hung, m.name)
	}
	return ids, hung
}

// jobsWithLongToGo returns the jobs that nobody has asked to cancel and that have tasks
// with long to go, and the machines of these tasks; the lock is held.
func (w *Cluster) jobsWithLongToGo(now time.Time) map[string][]*machine {
	machinesOf := map[string][]*machine{}
	for name, ms := range w.tasksWithImage {
		id, _, _ := wire.SplitTask(name)
		j := w.jobs[id]
		if !j.accepted || j.asked {
			continue
		}
		for m := range ms {
			for _, t := range m.tasks {
				if t.name == name && t.here && w.hasLongToGo(t, now) {
					machinesOf[id] = append(machinesOf[id], m)
				}
			}
		}
	}
	return machinesOf
}

// hasLongToGo says whether a task that is on its machine has long to go.
func (w *Cluster) hasLongToGo(t *task, now time.Time) bool {
	return t.job.Kind == wire.KindService || t.job.EstimateS-w.progress[t.name]-now.Sub(t.waiting).Seconds() > longToGo
}

// hangSome makes machines of the jobs hang, a few at most; the lock is held.
func hangSome(ids []string, machinesOf map[string][]*machine) (hung []*machine) {
	for _, id := range ids {
		slices.SortFunc(machinesOf[id], func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
		for _, m := range machinesOf[id] {
			if len(hung) < hangsMost && !m.hung {
				m.hung = true
				hung = append(hung, m)
			}
		}
	}
	return hung
}

// completionCancel has jobs cancelled as their last task ends. The cluster's lock guards it.
type completionCancel struct {
	share float64
	rnd   *rand.Rand
	asked []string
}

// CancelOnCompletion has the users of a share of the jobs that end cancel them at that moment; 0
// ends that.
func (w *Cluster) CancelOnCompletion(share float64, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completionCancel.share, w.completionCancel.rnd = share, rand.New(rand.NewPCG(seed, 43))
}

// CancelledOnCompletion lists the jobs whose users have asked so.
func (w *Cluster) CancelledOnCompletion() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.completionCancel.asked)
}

// taskDone takes in that a task has completed, as the last of its job or not; the lock is
// held.
func (w *Cluster) taskDone(j *job, task int) {
	if j.done[task] {
		return
	}
	j.done[task] = true
	if len(j.done) < j.spec.Tasks || j.asked || !wire.ValidUserID(j.spec.ID) ||
		w.completionCancel.share == 0 || w.completionCancel.rnd.Float64() >= w.completionCancel.share {
		return
	}
	j.asked = true
	w.completionCancel.asked = append(w.completionCancel.asked, j.spec.ID)
	w.wg.Go(func() { w.Cancel(j.spec.ID) })
}

// StartedAfterCancel is how many tasks got on a machine after their job's user was
// told that it is cancelled. Those whose launch was on its way then are allowed to
// for as long as cancel_s, after which the checker calls the rule broken.
func (w *Cluster) StartedAfterCancel() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.afterCancel
}

// checkCancelled sees to it that what is on a machine is not of a job cancelled
// more than cancel_s ago. The lock is held.
func (w *Cluster) checkCancelled(t *task, now time.Time) {
	j := w.jobs[t.job.ID]
	if j.cancelled.IsZero() || now.Sub(j.cancelled) <= secs(w.Settings.Cluster.Workers.CancelS) {
		return
	}
	how := ""
	if t.m.hung {
		how = ", which hangs"
	}
	w.violations.add("ran_cancelled: %s is on %s%s", t.name, t.m.name, how)
	j.cancelled = now // said once for each cancel_s
}
