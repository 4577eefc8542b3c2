package cluster

import (
	"fmt"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is about fetches: reserved jobs of one task that does nothing, on a
// machine of a pool, for which the worker fetches the weights.

// prefetchOwner marks the jobs that fetch a pool's weights.
func prefetchOwner(pool string) string { return prefetchOwnerPrefix + pool }

const prefetchOwnerPrefix = jobstore.PlanStatePrefix + "pools/"

// isPrefetch says whether a job is one that fetches weights.
func (m *Model) isPrefetch(j *Job) bool {
	return j.reservation != nil && strings.HasPrefix(j.reservation.Owner, prefetchOwnerPrefix)
}

// pendingPrefetches lists the machines that a pool's fetches are for, and ends those
// that are for nothing any more.
func (m *Model) pendingPrefetches(p *warmPool, now time.Time) map[string]bool {
	out := map[string]bool{}
	owner, im := prefetchOwner(p.Name), m.images.intern(p.record.Image, p.record.WeightsGB)
	for _, idx := range m.openIndexes {
		j := m.Jobs[idx]
		if j == nil || j.Cancelled || j.Finished || j.DoneTasks > 0 || j.reservation == nil || j.reservation.Owner != owner || len(j.reservation.OnlyMachines) == 0 {
			continue
		}
		i, known := m.names.machines[j.reservation.OnlyMachines[0]]
		var e *warmpool.Member
		if known && !m.Machines[i].Gone {
			e = p.member(m.Machines[i])
		}
		vain := e == nil || e.Leaving || j.Image != im
		switch t := &j.Tasks[0]; {
		case t.Phase == TaskIdle && (vain || m.Machines[i].hasImage(im)):
			m.finishOnlyAttempt(j, 0, jobstore.OutcomeReleased, now)
			continue
		case vain && t.Placement != nil && t.Placement.Stop == nil:
			m.stopUnderPlan(TaskRef{Job: j.Index}, StopReleased, now)
			continue
		}
		out[j.reservation.OnlyMachines[0]] = true
	}
	return out
}

// Prefetch is a job that the controller is to record. Its single task does no work; placing
// it on a machine of a warm pool makes the worker fetch the model weights.
type Prefetch struct {
	ID     string
	Record jobstore.JobRecord
}

// NextPrefetches takes at most n prefetches off the queues of the warm pools.
func (m *Model) NextPrefetches(n int, now time.Time) []Prefetch {
	var out []Prefetch
	for _, p := range m.pools.all {
		for len(p.fetchQueue) > 0 && len(out) < n {
			mc := m.Machines[p.fetchQueue[0]]
			p.fetchQueue = p.fetchQueue[1:]
			if m.poolOf(mc) != p {
				continue
			}
			p.fetchRequestedAt[mc.Index] = now
			m.pools.prefetchCount++
			id := prefetchID(m.FencingToken, m.pools.prefetchCount)
			out = append(out, Prefetch{ID: id, Record: jobstore.JobRecord{
				Job: wire.Job{ID: id, Class: "weights", Team: p.Payer, Kind: wire.KindArray, Priority: wire.PriorityLow, Tasks: 1,
					CPUs: prefetchCPUs, Image: p.record.Image, ImageGB: p.record.WeightsGB, Spot: true},
				AcceptedAtMs: now.UnixMilli(),
				Reservation:  &jobstore.Reservation{Owner: prefetchOwner(p.Name), LaunchRanges: []int{0, 0}, OnlyMachines: []string{mc.Name}},
			}})
		}
	}
	return out
}

// prefetchID is an id that no user and no other door has, and none of another leader.
func prefetchID(token uint64, n int) string {
	return fmt.Sprintf("%s9%011d%08d", wire.JobPrefix, token%1e11, n%1e8)
}

// prefetchEnded takes in that a fetch has ended without having run: where workers
// know no such job, weights are not fetched ahead for a while.
func (m *Model) prefetchEnded(j *Job, how jobstore.TaskOutcome, now time.Time) {
	if how != jobstore.OutcomeRefused && how != jobstore.OutcomeFailed || !m.isPrefetch(j) {
		return
	}
	for _, p := range m.pools.all {
		if j.reservation.Owner == prefetchOwner(p.Name) && !now.Before(p.fetchesPausedUntil) {
			p.fetchPause = min(max(time.Minute, 2*p.fetchPause), 32*time.Minute)
			p.fetchesPausedUntil = now.Add(p.fetchPause)
			p.record.FetchRefused = "workers refuse to run " + j.ID + ", which only fetches"
			m.log.Warn("workers refuse a pool's fetch", "pool", p.Name, "job", j.ID, "againInS", p.fetchPause.Seconds())
		}
	}
}
