// Cancellations by users at moments that provoke races, and the check that tasks of cancelled jobs
// end.

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

const (
	minRemainingS = 30.0                   // least remaining run time, in seconds, of the tasks that CancelRunning selects
	cancelSpread  = 200 * time.Millisecond // from the first request of CancelRunning to the last
	maxHung       = 8                      // machines that CancelRunning makes hang
)

// CancelRunning sends cancellations of up to n jobs within 200 ms, without waiting for the
// answers. It draws jobs that have running tasks with more than 30 seconds to go. If hang is not
// 0, up to eight machines of these tasks hang for that long, beginning before the first request.
// It returns the ids of the jobs and the names of the machines.
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

// jobsWithLongToGo returns the machines of tasks with a long remaining run time, by the ids of
// their jobs. It leaves out jobs whose cancellation was requested. The caller holds the lock.
func (w *Cluster) jobsWithLongToGo(now time.Time) map[string][]*machine {
	machinesOf := map[string][]*machine{}
	for name, machines := range w.machinesOfTasks {
		id, _, _ := wire.ParseTaskName(name)
		j := w.jobs[id]
		if !j.accepted || j.cancelRequested {
			continue
		}
		for m := range machines {
			for _, t := range m.tasks {
				if t.name == name && t.present && w.hasLongToGo(t, now) {
					machinesOf[id] = append(machinesOf[id], m)
				}
			}
		}
	}
	return machinesOf
}

// hasLongToGo reports whether a running task has more than minRemainingS seconds left.
func (w *Cluster) hasLongToGo(t *task, now time.Time) bool {
	return t.job.Kind == wire.KindService || t.job.EstimateS-w.progress[t.name]-now.Sub(t.presentSince).Seconds() > minRemainingS
}

// hangSome makes up to maxHung machines of the jobs hang. The caller holds the lock.
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

// completionCancel makes users cancel jobs at the moment when the last task completes. The
// cluster's lock guards it.
type completionCancel struct {
	share     float64 // of the jobs that complete
	random    *rand.Rand
	requested []string // ids of the jobs whose users sent a cancellation for this fault
}

// CancelOnCompletion makes the users of a share of the jobs send a cancellation at the moment when
// the last task completes. A share of 0 ends that.
func (w *Cluster) CancelOnCompletion(share float64, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completionCancel.share, w.completionCancel.random = share, rand.New(rand.NewPCG(seed, 43))
}

// CancelledOnCompletion returns the ids of the jobs whose users sent a cancellation because of
// CancelOnCompletion.
func (w *Cluster) CancelledOnCompletion() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.completionCancel.requested)
}

// noteCompletion records that a task has completed. If it is the last of its job, the user may
// cancel the job (see CancelOnCompletion). The caller holds the lock.
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

// StartedAfterCancel returns the number of tasks that started after their job's user was told that
// the job is cancelled. Starts are allowed up to cancel_s seconds later, because a launch may have
// been on its way. Later starts are violations.
func (w *Cluster) StartedAfterCancel() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.startedAfterCancel
}

// checkCancelledTask checks that a task on a machine doesn't belong to a job that was cancelled
// more than cancel_s seconds ago. The caller holds the lock.
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
	j.cancelConfirmedAt = now // limits reports to one per cancel_s seconds
}
