// Moves jobs that must start now, by the starvation bound, forward in the queue of a scheduling
// pass.

package cluster

import (
	"slices"
	"sort"
	"time"
)

// prioritizeMustStart moves the jobs that must start now to the front of their priority,
// behind those that the completion floor protects. Only the first task of an array moves. Its
// other tasks keep their position.
func (m *Model) prioritizeMustStart(queue []*queueEntry, now time.Time) []*queueEntry {
	if m.StarvationBound <= 0 {
		return queue
	}
	promoted := 0
	var out []*queueEntry
	for lo := 0; lo < len(queue); {
		hi := lo + 1
		for hi < len(queue) && queue[hi].withinGuarantee == queue[lo].withinGuarantee && queue[hi].job.priority == queue[lo].job.priority {
			hi++
		}
		split := splitMustStart(queue[lo:hi], maxMustStarts-promoted)
		promoted += len(split.mustStart)
		out = split.appendTo(out)
		lo = hi
	}
	return m.escalateNearBound(out, now)
}

// mustStartSplit is the queue of one priority, split by the demands of the starvation bound and
// the completion floor.
type mustStartSplit struct {
	mustFinish []*queueEntry // protected by the completion floor
	mustStart  []*queueEntry // the tasks of each job that must start now
	others     []*queueEntry
}

// splitMustStart splits the queue of one priority. At most limit jobs go into mustStart.
func splitMustStart(group []*queueEntry, limit int) mustStartSplit {
	var s mustStartSplit
	for _, entry := range group {
		rest := &s.others
		if entry.job.start.mustFinish {
			entry.req.StartDue = true
			rest = &s.mustFinish
		}
		if !entry.job.start.mustStart || entry.job.placesToStart() == 0 || len(s.mustStart) >= limit {
			*rest = append(*rest, entry)
			continue
		}
		head, tail := entry.splitFirstStart()
		s.mustStart = append(s.mustStart, head)
		if tail != nil {
			*rest = append(*rest, tail)
		}
	}
	return s
}

// splitFirstStart splits off the tasks that must be placed for a job to start: all tasks of a
// gang, or the first task of an array. Resources are held for them. The tail is nil if no task
// is left, or if the other tasks wait for the next pass.
func (entry *queueEntry) splitFirstStart() (head, tail *queueEntry) {
	first := *entry
	first.mustStart, first.req.StartDue = true, true
	first.req.Hold, first.req.HoldSeconds = true, boundHoldSeconds
	if entry.job.Gang() {
		return &first, nil
	}
	first.req.Tasks = entry.req.Tasks[:1]
	// The other tasks of a job with zone constraints wait for the next pass, since placement
	// would not coordinate the zones of two requests.
	if len(entry.req.Tasks) == 1 || entry.job.Spec.OneZone || entry.job.Spec.Spread {
		return &first, nil
	}
	others := *entry
	others.req.Tasks = entry.req.Tasks[1:]
	others.req.PlacedByZone = slices.Clone(entry.req.PlacedByZone)
	return &first, &others
}

// appendTo appends the queue of one priority in its new order.
func (s *mustStartSplit) appendTo(queue []*queueEntry) []*queueEntry {
	sort.SliceStable(s.mustStart, func(a, b int) bool {
		x, y := &s.mustStart[a].job.start, &s.mustStart[b].job.start
		if x.infeasible != y.infeasible {
			return y.infeasible
		}
		return x.startBy.Before(y.startBy)
	})
	sort.SliceStable(s.mustFinish, func(a, b int) bool {
		return s.mustFinish[a].job.AcceptedAt.Before(s.mustFinish[b].job.AcceptedAt)
	})
	return append(append(append(queue, s.mustFinish...), s.mustStart...), s.others...)
}

// truncateQueue cuts the queue from its end to the given length. It keeps all requests with
// StartDue set, which the starvation bound, the completion floor or the longest wait of their tier
// has moved forward, so the queue may stay longer.
func truncateQueue(queue []*queueEntry, length int) []*queueEntry {
	excess := len(queue) - length
	if excess <= 0 {
		return queue
	}
	for i := len(queue) - 1; i >= 0 && excess > 0; i-- {
		if !queue[i].req.StartDue {
			queue = slices.Delete(queue, i, i+1)
			excess--
		}
	}
	return queue
}

// escalateNearBound moves jobs that are about to miss the bound ahead of new starts of higher
// priority, but behind all work within a guaranteed quota. Nothing is preempted for them. They
// may use one place per machinesPerEscalation ready machines, or run a single job. Starts that are
// still protected count against that limit.
func (m *Model) escalateNearBound(queue []*queueEntry, now time.Time) []*queueEntry {
	beyondGuarantee := slices.IndexFunc(queue, func(entry *queueEntry) bool { return !entry.withinGuarantee })
	if beyondGuarantee < 0 || queue[beyondGuarantee].job.priority == queue[len(queue)-1].job.priority {
		return queue
	}
	highest := queue[beyondGuarantee].job.priority
	places := m.escalationPlaces(now)
	var escalated, others []*queueEntry
	for _, entry := range queue[beyondGuarantee:] {
		tasks := len(entry.req.Tasks)
		if entry.needsEscalation(now) && entry.job.priority > highest && places > 0 && (tasks <= places || len(escalated) == 0) {
			places -= tasks
			escalated = append(escalated, entry)
		} else {
			others = append(others, entry)
		}
	}
	return slices.Concat(queue[:beyondGuarantee], escalated, others)
}

// escalationPlaces returns how many places escalated jobs may take in this pass. The result may
// be negative.
func (m *Model) escalationPlaces(now time.Time) int {
	ready, protected := 0, 0
	for _, mc := range m.Machines {
		if !m.Ready(mc, now) {
			continue
		}
		ready++
		for ref := range mc.Tasks {
			if m.isStartProtected(m.Jobs[ref.Job], now) {
				protected++
			}
		}
	}
	return max(1, ready/machinesPerEscalation) - protected
}

// needsEscalation reports whether a request is about to miss the starvation bound.
func (entry *queueEntry) needsEscalation(now time.Time) bool {
	start := &entry.job.start
	return entry.mustStart && start.startBy.Sub(now) < escalationLead+min(start.startDelay, boundHoldSeconds*time.Second)
}
