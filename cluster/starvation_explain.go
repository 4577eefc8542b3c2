package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file names the jobs that can't begin within the bound, and what stands in
// the way of each.

const (
	explainInterval  = 10 * time.Second // what stands in the way is looked for, for each such job
	relogInterval    = 30 * time.Second // a job is logged again, for another reason, not before
	maxStarvedListed = 20               // jobs in a summary
)

// What stands in a job's way.
const (
	blockedByFailures          = "it fails wherever it starts"
	blockedByUnreadableRecords = "its placements can't be read"
	blockedByQuota             = "its team's limit"
	blockedByZone              = "no machine of its zone answers"
	blockedByNoMachines        = "no machine that it may use answers, and none is to be had"
	blockedByScaleOut          = "machines that it may use are still to come"
	blockedByGangSize          = "no zone or fleet with room for all of its tasks at once"
	blockedByStart             = "its tasks are placed and have not started"
	blockedByBackoff           = "its tasks failed and wait to be tried again"
	blockedByHigherPriority    = "work of higher priority has the room"
	blockedByCompetition       = "others that are due have the room"
)

// StarvedJob is a job that has not started within the starvation bound, or can't.
type StarvedJob struct {
	ID            string
	Class         string
	Team          string
	Tasks         int
	BlockedBy     string  // what prevents its start
	WaitedSeconds float64 // since it was accepted
}

// explainStarvation works out what stands in the way of each open job that can't begin
// within the bound, and logs it where that is new.
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
		why := ""
		if !j.Cancelled && !j.Finished && !j.hasStarted() && m.missesBound(j, now) {
			why = m.starvationCause(j, now)
		}
		if why != "" && why != j.start.blockedBy && now.Sub(j.start.loggedAt) >= relogInterval {
			j.start.loggedAt = now
			m.log.Info("job can't begin in time", "id", j.ID, "class", j.Spec.Class, "team", j.Spec.Team, "tasks", len(j.Tasks),
				"inTheWay", why, "sinceAccept", now.Sub(j.AcceptedAt).Round(time.Millisecond).Seconds())
		}
		j.start.blockedBy = why
	}
}

// missesBound says whether a job can't begin within the bound any more, as far as can
// be foreseen: the places it needs are not there at all, or it is past the time
// at which it should have had them.
func (m *Model) missesBound(j *Job, now time.Time) bool {
	if j.PlacedTasks > 0 && !j.Gang() || j.PlacedTasks == len(j.Tasks) {
		return now.Sub(j.AcceptedAt) > m.StarvationBound
	}
	if should, _ := m.latestStart(j); now.Before(should) {
		return j.start.noCapacity && now.Sub(j.AcceptedAt) > m.StarvationBound/4
	}
	return true
}

// starvationCause says what stands in the way of a job.
func (m *Model) starvationCause(j *Job, now time.Time) string {
	switch {
	case j.quarantined:
		return blockedByUnreadableRecords
	case j.failures.atFault():
		return blockedByFailures
	case j.PlacedTasks == len(j.Tasks) || j.PlacedTasks > 0 && !j.Gang():
		return blockedByStart
	case !m.quotaAllows(j):
		return blockedByQuota
	}
	up, coming := m.usableBy(j, now)
	switch {
	case up > 0:
	case coming:
		return blockedByScaleOut
	case j.Zone >= 0:
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

// quotaAllows says whether the team's limit lets the job begin.
func (m *Model) quotaAllows(j *Job) bool {
	if j.Team < 0 {
		return true
	}
	t := &m.teams[j.Team]
	want := t.Used.Add(j.Need, float64(j.placesToStart()))
	over := func(want, need, most float64) bool { return most > 0 && need > 0 && want > most+1e-6 }
	return !over(want.CPU, j.Need.CPU, t.Max.CPU) && !over(want.GPU, j.Need.GPU, t.Max.GPU)
}

// usableBy counts the machines that are up on which a task of the job may be, and
// says whether others are on their way or may be rented.
func (m *Model) usableBy(j *Job, now time.Time) (up int, coming bool) {
	for _, mc := range m.Machines {
		if !j.mayUse(mc) || !j.allowsZone(mc.Zone) || !j.Need.Fits(m.MachineTypes[mc.Type].Capacity) {
			continue
		}
		if m.Ready(mc, now) {
			up++
		} else if _, ok := m.bootTimeLeft(mc, now); ok {
			coming = true
		}
	}
	if !coming && up == 0 {
		offers, _ := m.offers(now)
		coming = slices.ContainsFunc(offers, func(o placement.Offer) bool {
			return j.AllowedTypes[o.Type] && j.allowsZone(o.Zone) && (!o.Spot || j.Spec.Spot) && j.Need.Fits(o.Machine.Capacity)
		})
	}
	return up, coming
}

// occupiedByHigherPriority says whether nothing but work of higher priority runs where the
// job may.
func (m *Model) occupiedByHigherPriority(j *Job, now time.Time) bool {
	higher := false
	for _, mc := range m.Machines {
		if !j.mayUse(mc) || !j.allowsZone(mc.Zone) || !m.Ready(mc, now) {
			continue
		}
		for ref := range mc.Tasks {
			if m.Jobs[ref.Job].Priority >= j.Priority {
				return false
			}
			higher = true
		}
	}
	return higher
}

// starvedJobs lists the jobs that can't begin in time, those that wait for longest
// first, and how many there are.
func (m *Model) starvedJobs(now time.Time) (out []StarvedJob, all int) {
	for _, idx := range m.openIndexes {
		j := m.Jobs[idx]
		if j == nil || j.start.blockedBy == "" || j.Cancelled || j.Finished || j.hasStarted() {
			continue
		}
		all++
		out = append(out, StarvedJob{ID: j.ID, Class: j.Spec.Class, Team: j.Spec.Team, Tasks: len(j.Tasks), BlockedBy: j.start.blockedBy, WaitedSeconds: now.Sub(j.AcceptedAt).Seconds()})
	}
	slices.SortStableFunc(out, func(a, b StarvedJob) int { return int(1000 * (b.WaitedSeconds - a.WaitedSeconds)) })
	return out[:min(len(out), maxStarvedListed)], all
}
