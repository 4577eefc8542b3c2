package cluster

import (
	"fmt"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// prefetchOwnerPrefix begins the owners of all prefetch jobs.
const prefetchOwnerPrefix = jobstore.PlanStatePrefix + "pools/"

// Bounds of the exponential backoff of prefetches after a refusal.
const (
	minPrefetchPause = time.Minute
	maxPrefetchPause = 32 * time.Minute
)

// prefetchOwner returns the owner of the reserved jobs that prefetch a pool's weights.
func prefetchOwner(pool string) string { return prefetchOwnerPrefix + pool }

// isPrefetch reports whether a job is a prefetch job.
func (m *Model) isPrefetch(j *Job) bool {
	return j.reservation != nil && strings.HasPrefix(j.reservation.Owner, prefetchOwnerPrefix)
}

// pendingPrefetches returns the names of the machines of a pool's unfinished prefetches. It ends
// prefetches that are obsolete, and those that are not placed and whose machine has the weights
// already.
func (m *Model) pendingPrefetches(p *warmPool, now time.Time) map[string]bool {
	pending := map[string]bool{}
	owner, image := prefetchOwner(p.Name), m.poolImage(p)
	for _, idx := range m.openIndexes {
		j := m.Jobs[idx]
		if j == nil || j.Cancelled || j.Finished || j.DoneTasks > 0 {
			continue
		}
		if j.reservation == nil || j.reservation.Owner != owner || len(j.reservation.OnlyMachines) == 0 {
			continue
		}
		name := j.reservation.OnlyMachines[0]
		index, known := m.names.machines[name]
		var member *warmpool.Member
		if known && !m.Machines[index].Gone {
			member = p.member(m.Machines[index])
		}
		obsolete := member == nil || member.Leaving || j.image != image
		switch t := &j.Tasks[0]; {
		case t.Phase == TaskIdle && (obsolete || m.Machines[index].hasImage(image)):
			m.finishOnlyAttempt(j, 0, jobstore.OutcomeReleased, now)
			continue
		case obsolete && t.Placement != nil && t.Placement.Stop == nil:
			m.stopUnderPlan(TaskRef{Job: j.Index}, StopReleased, now)
			continue
		}
		pending[name] = true
	}
	return pending
}

// Prefetch is a reserved job that prefetches model weights. The controller is to record it. Its
// single task does no work. When the task is launched on a machine of a warm pool, the worker
// fetches the weights as the task's image.
type Prefetch struct {
	ID     string
	Record jobstore.JobRecord
}

// NextPrefetches removes at most n prefetches from the queues of the warm pools and returns them.
func (m *Model) NextPrefetches(n int, now time.Time) []Prefetch {
	var prefetches []Prefetch
	for _, p := range m.pools.all {
		for len(p.fetchQueue) > 0 && len(prefetches) < n {
			mc := m.Machines[p.fetchQueue[0]]
			p.fetchQueue = p.fetchQueue[1:]
			if m.poolOf(mc) != p {
				continue
			}
			p.fetchRequestedAt[mc.index] = now
			m.pools.prefetchCount++
			id := prefetchID(m.FencingToken, m.pools.prefetchCount)
			prefetches = append(prefetches, Prefetch{ID: id, Record: jobstore.JobRecord{
				Job: wire.Job{ID: id, Class: "weights", Team: p.Payer, Kind: wire.KindArray, Priority: wire.PriorityLow, Tasks: 1,
					CPUs: prefetchCPUs, Image: p.record.Image, ImageGB: p.record.WeightsGB, Spot: true},
				AcceptedAtMs: now.UnixMilli(),
				Reservation:  &jobstore.Reservation{Owner: prefetchOwner(p.Name), LaunchRanges: []int{0, 0}, OnlyMachines: []string{mc.Name}},
			}})
		}
	}
	return prefetches
}

// prefetchID returns the id of a leader's n-th prefetch job. No job of a user, no other reserved
// job and no prefetch of another leader has this id.
func prefetchID(token uint64, n int) string {
	return fmt.Sprintf("%s9%011d%08d", wire.JobPrefix, token%1e11, n%1e8)
}

// prefetchEnded handles the end of a job. If the job is a prefetch that was refused or failed, the
// workers don't support prefetches, and the pool's prefetches are paused.
func (m *Model) prefetchEnded(j *Job, outcome jobstore.TaskOutcome, now time.Time) {
	if outcome != jobstore.OutcomeRefused && outcome != jobstore.OutcomeFailed || !m.isPrefetch(j) {
		return
	}
	for _, p := range m.pools.all {
		if j.reservation.Owner == prefetchOwner(p.Name) && !now.Before(p.fetchesPausedUntil) {
			p.fetchPause = min(max(minPrefetchPause, 2*p.fetchPause), maxPrefetchPause)
			p.fetchesPausedUntil = now.Add(p.fetchPause)
			p.record.FetchRefused = "workers refuse to run " + j.ID + ", which only fetches"
			m.log.Warn("workers refused a warm pool prefetch", "pool", p.Name, "job", j.ID, "againInS", p.fetchPause.Seconds())
		}
	}
}
