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
	minRemaining = 30.0                   // seconds that a task with long to go runs on, at least
	cancelSpread = 200 * time.Millisecond // from the first request of CancelRunning to the last
	maxHung      = 8                      // machines that CancelRunning makes hang
)

// CancelRunning cancels n jobs, within a fifth of a second, that run and have long to go.
// If hang is not 0, some of their machines hang for that long, from before the first
// request. It does not wait for the answers.
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
			if call.Pause(w.ctx, cancelSpread*time.Duration(i)/time.Duration(len(ids))) {
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
	for name, ms := range w.machinesOfTasks {
		id, _, _ := wire.ParseTaskName(name)
		j := w.jobs[id]
		if !j.accepted || j.cancelRequested {
			continue
		}
		for m := range ms {
			for _, t := range m.tasks {
				if t.name == name && t.present && w.hasLongToGo(t, now) {
					machinesOf[id] = append(machinesOf[id], m)
				}
			}
		}
	}
	return machinesOf
}

// hasLongToGo reports whether a task that is on its machine has long to go.
func (w *Cluster) hasLongToGo(t *task, now time.Time) bool {
	return t.job.Kind == wire.KindService || t.job.EstimateS-w.progress[t.name]-now.Sub(t.presentSince).Seconds() > minRemaining
}

// hangSome makes machines of the jobs hang, a few at most; the lock is held.
func hangSome(ids []string, machinesOf map[string][]*machine) (hung []*machine) {
	for _, id := range ids {
		slices.SortFunc(machinesOf[id], func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
		for _, m := range machinesOf[id] {
			if len(hung) < maxHung && !m.hung {
				m.hung = true
				hung = append(hung, m)
			}
		}
	}
	return hung
}

// completionCancel has jobs cancelled as their last task ends. The cluster's lock guards it.
type completionCancel struct {
	share     float64
	random    *rand.Rand
	requested []string
}

// CancelOnCompletion has the users of a share of the jobs that end cancel them at that moment; 0
// ends that.
func (w *Cluster) CancelOnCompletion(share float64, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completionCancel.share, w.completionCancel.random = share, rand.New(rand.NewPCG(seed, 43))
}

// CancelledOnCompletion lists the jobs whose users have asked so.
func (w *Cluster) CancelledOnCompletion() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.completionCancel.requested)
}

// noteCompletion records that a task has completed, as the last of its job or not; the lock is
// held.
func (w *Cluster) noteCompletion(j *job, task int) {
	if j.done[task] {
		return
	}
	j.done[task] = true
	if len(j.done) < j.spec.Tasks || j.cancelRequested || !wire.ValidUserID(j.spec.ID) ||
		w.completionCancel.share == 0 || w.completionCancel.random.Float64() >= w.completionCancel.share {
		return
	}
	j.cancelRequested = true
	w.completionCancel.requested = append(w.completionCancel.requested, j.spec.ID)
	w.wg.Go(func() { w.Cancel(j.spec.ID) })
}

// StartedAfterCancel is how many tasks got on a machine after their job's user was
// told that it is cancelled. Those whose launch was on its way then are allowed to
// for as long as cancel_s, after which the checker calls the rule broken.
func (w *Cluster) StartedAfterCancel() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startedAfterCancel
}

// checkCancelledTask checks that what is on a machine is not of a job cancelled
// more than cancel_s ago. The lock is held.
func (w *Cluster) checkCancelledTask(t *task, now time.Time) {
	j := w.jobs[t.job.ID]
	if j.cancelConfirmedAt.IsZero() || now.Sub(j.cancelConfirmedAt) <= secs(w.Settings.Cluster.Workers.CancelS) {
		return
	}
	how := ""
	if t.machine.hung {
		how = ", which hangs"
	}
	w.violations.add("ran_cancelled: %s is on %s%s", t.name, t.machine.name, how)
	j.cancelConfirmedAt = now // reported once for each cancel_s
}
