package cluster

import (
	"fmt"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// This file prefetches model weights: by reserved jobs of one task that does no work, on a
// machine of a pool, for which the worker fetches the weights as the task's image.

const (
	prefetchOwnerPrefix = jobstore.PlanStatePrefix + "pools/"

	minPrefetchPause = time.Minute // after the first refusal; doubled with each further one
	maxPrefetchPause = 32 * time.Minute
)

// prefetchOwner is the owner of the reserved jobs that prefetch a pool's weights.
func prefetchOwner(pool string) string { return prefetchOwnerPrefix + pool }

// isPrefetch reports whether a job prefetches weights.
func (m *Model) isPrefetch(j *Job) bool {
	return j.reservation != nil && strings.HasPrefix(j.reservation.Owner, prefetchOwnerPrefix)
}

// pendingPrefetches returns the machines that a pool's unfinished prefetches are for. It ends
// those that are obsolete, and those not placed yet whose machine has the weights.
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
		i, known := m.names.machines[name]
		var member *warmpool.Member
		if known && !m.Machines[i].Gone {
			member = p.member(m.Machines[i])
		}
		obsolete := member == nil || member.Leaving || j.image != image
		switch t := &j.Tasks[0]; {
		case t.Phase == TaskIdle && (obsolete || m.Machines[i].hasImage(image)):
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

// Prefetch is a job that the controller is to record. Its single task does no work; placing
// it on a machine of a warm pool makes the worker fetch the model weights.
type Prefetch struct {
	ID     string
	Record jobstore.JobRecord
}

// NextPrefetches takes at most n prefetches off the queues of the warm pools.
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

// prefetchID is the id of a leader's n-th prefetch job. No user's job, no other reserved job
// and no prefetch of another leader has it.
func prefetchID(token uint64, n int) string {
	return fmt.Sprintf("%s9%011d%08d", wire.JobPrefix, token%1e11, n%1e8)
}

// prefetchEnded pauses the prefetches of a pool whose prefetch job was refused or has failed:
// its workers don't support such jobs.
func (m *Model) prefetchEnded(j *Job, how jobstore.TaskOutcome, now time.Time) {
	if how != jobstore.OutcomeRefused && how != jobstore.OutcomeFailed || !m.isPrefetch(j) {
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
