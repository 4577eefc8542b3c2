package cluster

import (
	"slices"
	"sort"
	"time"
)

// This file moves jobs that must start now, by the starvation bound, forward in the
// queue of a scheduling pass.

// prioritizeMustStart moves the jobs that must start now to the front of their priority. Of
// an array only the first task moves; the others keep their position.
func (m *Model) prioritizeMustStart(out []*queued, now time.Time) []*queued {
	if m.StarvationBound <= 0 {
		return out
	}
	heads := 0
	var list []*queued
	for lo := 0; lo < len(out); {
		hi := lo + 1
		for hi < len(out) && out[hi].withinQuota == out[lo].withinQuota && out[hi].job.Priority == out[lo].job.Priority {
			hi++
		}
		var first, floored, rest []*queued
		for _, k := range out[lo:hi] {
			tail := &rest
			if k.job.start.mustFinish {
				k.req.Owed = true
				tail = &floored
			}
			if !k.job.start.mustStart || k.job.placesToStart() == 0 || heads >= maxMustStarts {
				*tail = append(*tail, k)
				continue
			}
			heads++
			head := *k
			head.mustStart, head.req.Owed = true, true
			head.req.Hold, head.req.HoldSeconds = true, boundHoldSeconds
			if !k.job.Gang() {
				head.req.Tasks = k.req.Tasks[:1]
				// A job with zone constraints can't be split: its two requests
				// would be placed without regard to each other's zones.
				if len(k.req.Tasks) > 1 && !k.job.Spec.OneZone && !k.job.Spec.Spread {
					others := *k
					others.req.Tasks = k.req.Tasks[1:]
					others.req.PlacedByZone = slices.Clone(k.req.PlacedByZone)
					*tail = append(*tail, &others)
				}
			}
			first = append(first, &head)
		}
		sort.SliceStable(first, func(a, b int) bool {
			x, y := first[a].job, first[b].job
			if x.start.infeasible != y.start.infeasible {
				return y.start.infeasible
			}
			return x.start.startBy.Before(y.start.startBy)
		})
		sort.SliceStable(floored, func(a, b int) bool { return floored[a].job.AcceptedAt.Before(floored[b].job.AcceptedAt) })
		list = append(append(append(list, floored...), first...), rest...)
		lo = hi
	}
	return m.promoteLastCalls(list, now)
}

// truncateQueue cuts the queue to the given length, from its end, but never drops requests
// that the starvation bound or the completion floor has moved forward.
func truncateQueue(list []*queued, most int) []*queued {
	cut := len(list) - most
	if cut <= 0 {
		return list
	}
	for i := len(list) - 1; i >= 0 && cut > 0; i-- {
		if !list[i].req.Owed {
			list = slices.Delete(list, i, i+1)
			cut--
		}
	}
	return list
}

// promoteLastCalls moves jobs that are about to miss the bound ahead of new starts of higher
// priority, but behind all work within a quota. Nothing is preempted for them. Their number
// is bounded to one place per lastCallMachines ready machines, or a single job, and includes
// starts that are still protected.
func (m *Model) promoteLastCalls(list []*queued, now time.Time) []*queued {
	at := slices.IndexFunc(list, func(k *queued) bool { return !k.withinQuota })
	if at < 0 || list[at].job.Priority == list[len(list)-1].job.Priority {
		return list
	}
	ready, settling := 0, 0
	for _, mc := range m.Machines {
		if !m.Ready(mc, now) {
			continue
		}
		ready++
		for ref := range mc.Tasks {
			if m.isStartProtected(m.Jobs[ref.Job], now) {
				settling++
			}
		}
	}
	places := max(1, ready/lastCallMachines) - settling
	var called, others []*queued
	for _, k := range list[at:] {
		n, j := len(k.req.Tasks), k.job
		late := k.mustStart && j.start.startBy.Sub(now) < lastCall+min(j.start.startDelay, boundHoldSeconds*time.Second)
		if late && j.Priority > list[at].job.Priority && places > 0 && (n <= places || len(called) == 0) {
			places -= n
			called = append(called, k)
		} else {
			others = append(others, k)
		}
	}
	return slices.Concat(list[:at], called, others)
}
