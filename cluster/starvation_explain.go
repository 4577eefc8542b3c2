// Finds the jobs that can't start within the starvation bound, and the cause for each of them.

package cluster

import (
	"slices"
	"time"
)

const (
	explainInterval  = 10 * time.Second // time between two searches for causes
	relogInterval    = 30 * time.Second // minimum time between two logged causes of a job
	maxStarvedListed = 20               // maximum of jobs listed in a snapshot
)

// starvationCause is the reason why a job can't start in time, as shown to operators.
type starvationCause string

const (
	notBlocked                 starvationCause = ""
	blockedByFailures          starvationCause = "it fails wherever it starts"
	blockedByUnreadableRecords starvationCause = "its placements can't be read"
	blockedByQuota             starvationCause = "its team's limit"
	blockedByZone              starvationCause = "no machine of its zone answers"
	blockedByNoMachines        starvationCause = "no machine that it may use answers, and none is to be had"
	blockedByScaleOut          starvationCause = "machines that it may use are still to come"
	blockedByGangSize          starvationCause = "no zone or fleet with room for all of its tasks at once"
	blockedByStart             starvationCause = "its tasks are placed and have not started"
	blockedByBackoff           starvationCause = "its tasks failed and wait to be tried again"
	blockedByHigherPriority    starvationCause = "work of higher priority has the room"
	blockedByCompetition       starvationCause = "others that are due have the room"
)

// StarvedJob is a job that has not started within the starvation bound, or can't.
type StarvedJob struct {
	ID            string
	Class         string
	Team          string
	Tasks         int
	BlockedBy     string  // text of the starvationCause that prevents its start
	WaitedSeconds float64 // since it was accepted
}

// explainStarvation determines the cause for each open job that can't start within the bound, and
// logs new causes. It does so every explainInterval.
func (m *Model) explainStarvation(now time.Time) {
	if now.Before(m.starvation.nextExplain) {
		return
	}
	m.starvation.nextExplain = now.Add(explainInterval)
	for _, idx := range m.openIndexes {
		j := m.Jobs[idx]
		if j == nil {
			continue
		}
		cause := notBlocked
		if !j.Cancelled && !j.Finished && !j.hasStarted() && m.missesBound(j, now) {
			cause = m.diagnoseStarvation(j, now)
		}
		if j.start.setCause(cause, now) {
			m.log.Info("job can't start within the starvation bound", "id", j.ID, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", len(j.Tasks),
				"inTheWay", string(cause), "sinceAccept", now.Sub(j.AcceptedAt).Round(time.Millisecond).Seconds())
		}
	}
}

// missesBound reports whether a job is not expected to start within the bound. This is so if there
// is no capacity for the job, or if the time has passed by which it should hold its resources. A
// placed job misses the bound only once its wait exceeds it.
func (m *Model) missesBound(j *Job, now time.Time) bool {
	if j.PlacedTasks > 0 && !j.Gang() || j.PlacedTasks == len(j.Tasks) {
		return now.Sub(j.AcceptedAt) > m.StarvationBound
	}
	if should, _ := m.latestStart(j); now.Before(should) {
		return j.start.noCapacity && now.Sub(j.AcceptedAt) > m.StarvationBound/4
	}
	return true
}

// diagnoseStarvation determines why a job can't start in time.
func (m *Model) diagnoseStarvation(j *Job, now time.Time) starvationCause {
	switch {
	case j.quarantined:
		return blockedByUnreadableRecords
	case j.failures.atFault():
		return blockedByFailures
	case j.PlacedTasks == len(j.Tasks) || j.PlacedTasks > 0 && !j.Gang():
		return blockedByStart
	case !m.teamLimitAllows(j):
		return blockedByQuota
	}
	ready, coming := m.usableBy(j, now)
	switch {
	case ready > 0:
	case coming:
		return blockedByScaleOut
	case j.zone >= 0:
		return blockedByZone
	default:
		return blockedByNoMachines
	}
	if j.start.noCapacity {
		if coming {
			return blockedByScaleOut
		}
		return blockedByGangSize
	}
	if _, ok := m.buildRequest(j, now); !ok {
		return blockedByBackoff
	}
	if m.occupiedByHigherPriority(j, now) {
		return blockedByHigherPriority
	}
	return blockedByCompetition
}

// teamLimitAllows reports whether the team's limit allows the job to start.
func (m *Model) teamLimitAllows(j *Job) bool {
	if j.team < 0 {
		return true
	}
	t := &m.teams[j.team]
	want := t.Used.Add(j.Need, float64(j.placesToStart()))
	over := func(want, need, most float64) bool { return most > 0 && need > 0 && want > most+1e-6 }
	return !over(want.CPU, j.Need.CPU, t.Max.CPU) && !over(want.GPU, j.Need.GPU, t.Max.GPU)
}

// usableBy returns the number of ready machines that the job may use. coming reports whether such
// machines are booting or, if none is ready, may be rented.
func (m *Model) usableBy(j *Job, now time.Time) (ready int, coming bool) {
	for _, mc := range m.Machines {
		if !j.mayUse(mc) || !j.allowsZone(mc.Zone) || !j.Need.Fits(m.MachineTypes[mc.typeIndex].Capacity) {
			continue
		}
		if m.Ready(mc, now) {
			ready++
		} else if _, ok := m.estimateBootTimeLeft(mc, now); ok {
			coming = true
		}
	}
	if !coming && ready == 0 {
		offers, _ := m.offers(now)
		coming = m.anyOfferFits(j, offers)
	}
	return ready, coming
}

// occupiedByHigherPriority reports whether the machines that the job may use have tasks, all of
// which are of higher priority.
func (m *Model) occupiedByHigherPriority(j *Job, now time.Time) bool {
	higher := false
	for _, mc := range m.Machines {
		if !j.mayUse(mc) || !j.allowsZone(mc.Zone) || !m.Ready(mc, now) {
			continue
		}
		for ref := range mc.Tasks {
			if m.Jobs[ref.Job].priority >= j.priority {
				return false
			}
			higher = true
		}
	}
	return higher
}

// starvedJobs returns at most maxStarvedListed jobs that can't start in time, longest wait first,
// and the number of all such jobs.
func (m *Model) starvedJobs(now time.Time) (out []StarvedJob, all int) {
	for _, idx := range m.openIndexes {
		j := m.Jobs[idx]
		if j == nil || j.start.blockedBy == notBlocked || j.Cancelled || j.Finished || j.hasStarted() {
			continue
		}
		all++
		out = append(out, StarvedJob{ID: j.ID, Class: j.Spec.Class, Team: j.Spec.Team, Tasks: len(j.Tasks), BlockedBy: string(j.start.blockedBy), WaitedSeconds: now.Sub(j.AcceptedAt).Seconds()})
	}
	slices.SortStableFunc(out, func(a, b StarvedJob) int { return int(1000 * (b.WaitedSeconds - a.WaitedSeconds)) })
	return out[:min(len(out), maxStarvedListed)], all
}
