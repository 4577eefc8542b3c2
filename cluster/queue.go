package cluster

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

// This file builds the queue of a scheduling pass: what waits for room, and in which
// order it is served.

const (
	maxRequestTasks = 64  // of one job in one pass
	maxRequests     = 400 // in one pass
)

// latestStarts is when a job must start at the latest to meet each of its
// class's objectives that it can still meet; urgent says that the first is on how
// soon it starts, and missed that none is left of those there were.
func (m *Model) latestStarts(j *Job, left float64, tasks int, within bool, now time.Time) (at []time.Time, missed, urgent bool) {
	sp := m.startupAndSpreadOf(j)
	delay := config.Seconds(sp.startDelay())
	est := config.Seconds(sp.slowestTask(left, tasks)) + delay
	aims := 0
	var wait time.Time
	take := func(t time.Time) {
		aims++
		if !t.Before(now) {
			at = append(at, t)
		}
	}
	soon := func(o config.Objective) {
		if j.FirstRunAt.IsZero() {
			t := j.AcceptedAt.Add(config.Seconds(o.WithinS) - delay)
			take(t)
			if !t.Before(now) && (wait.IsZero() || t.Before(wait)) {
				wait = t
			}
		}
	}
	for _, o := range m.settings.Cluster.Objectives {
		if o.Class != j.Spec.Class && o.Class != "" {
			continue
		}
		switch o.Kind {
		case "wait":
			soon(o)
		case "guarantee":
			// One that has waited for longer is no worse off for waiting on:
			// those that have just come are served before it, until its next
			// objective is near.
			if within {
				soon(o)
			}
		case "finished":
			take(j.AcceptedAt.Add(config.Seconds(o.WithinS) - est))
		case "deadline":
			if j.Spec.DeadlineS != nil {
				times := o.Times
				if times <= 0 {
					times = 1
				}
				take(j.AcceptedAt.Add(config.Seconds(*j.Spec.DeadlineS*times) - est))
			}
		}
	}
	sort.Slice(at, func(a, b int) bool { return at[a].Before(at[b]) })
	return at, aims > 0 && len(at) == 0, len(at) > 0 && at[0].Equal(wait)
}

// queued is a job in the queue of a scheduling pass, with what its place in the queue
// rests on. It lives for one pass; what outlasts it is kept in the job (triageVerdict,
// startState).
type queued struct {
	j           *Job
	withinQuota bool
	due         time.Time
	laterDue    []time.Time // what it is due for once it is put off
	missed      bool
	deferred    bool // from an objective it could still meet, for others' sake
	urgent      bool
	mustStart   bool    // must begin now, before the objectives of its priority
	runSeconds  float64 // seconds that the longest of its waiting tasks takes
	totalWork   float64
	req         placement.Request

	windowRank
}

// nextObjective takes a job's next objective as what it is due for.
func (r *queued) nextObjective(now time.Time) {
	if len(r.laterDue) == 0 {
		r.due = now.Add(time.Hour)
		return
	}
	r.due, r.laterDue = r.laterDue[0], r.laterDue[1:]
}

// jobsWithinQuota finds the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (m *Model) jobsWithinQuota(jobs []*Job) map[int32]bool {
	out := map[int32]bool{}
	use := make([]placement.Resources, len(m.teams))
	for _, j := range jobs { // in order of arrival
		if j.Team < 0 {
			continue
		}
		use[j.Team] = use[j.Team].Add(j.Need, float64(len(j.Tasks)-j.DoneTasks))
		if g := m.guarantees[j.Team]; guaranteed(j.Need, g) && withinGuarantee(use[j.Team], g) {
			out[j.Index] = true
		}
	}
	return out
}

// guaranteed says whether a task needs any resource of which its team is guaranteed some.
// Work that needs none of them is within no guarantee: where teams were guaranteed GPUs
// only, every job without GPUs came before all others.
func guaranteed(need, g placement.Resources) bool {
	return need.CPU > 0 && g.CPU > 0 || need.GPU > 0 && g.GPU > 0
}

// withinGuarantee says whether what a team uses is within its guarantee. A resource of which the
// team is guaranteed nothing does not count: a team with guaranteed CPUs and no word of
// GPUs may use both.
func withinGuarantee(use, g placement.Resources) bool {
	return (g.CPU == 0 || use.CPU <= g.CPU+1e-6) && (g.GPU == 0 || use.GPU <= g.GPU+1e-6)
}

func (m *Model) openJobs() []*Job {
	// A leader may see far more jobs over its time than are there at once: those
	// that are out of the model are dropped here, not looked at for ever.
	live := m.openIndexes[:0]
	for _, idx := range m.openIndexes {
		if m.Jobs[idx] != nil {
			live = append(live, idx)
		}
	}
	m.openIndexes = live
	var jobs []*Job
	for _, idx := range m.openIndexes {
		if j := m.Jobs[idx]; !j.Cancelled && !j.Finished && !j.quarantined && j.DoneTasks < len(j.Tasks) {
			jobs = append(jobs, j)
		}
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].AcceptedAt.Before(jobs[b].AcceptedAt) })
	return jobs
}

// buildQueue lists what waits for room, in the order it is to be served.
func (m *Model) buildQueue(jobs []*Job, in map[int32]bool, now time.Time) []*queued {
	for _, c := range m.classes {
		c.openTasks = 0
	}
	var out, last []*queued
	for _, j := range jobs {
		if c := m.classes[j.Spec.Class]; c != nil && !j.failures.atFault() {
			c.openTasks += len(j.Tasks) - j.DoneTasks
		}
		r, ok := m.buildRequest(j, now)
		if !ok {
			continue
		}
		k := &queued{j: j, withinQuota: in[j.Index], req: r}
		if j.failures.atFault() {
			// Free room and nothing else: no place is kept, made or rented for
			// it, and no image fetched before those of healthy work.
			k.withinQuota, k.missed, k.req.FreeRoomOnly = false, true, true
			k.nextObjective(now)
			last = append(last, k)
			continue
		}
		est := m.expectedRunTime(j)
		for _, t := range r.Tasks {
			k.runSeconds = max(k.runSeconds, remainingOf(est, &j.Tasks[t]))
		}
		k.laterDue, k.missed, k.urgent = m.latestStarts(j, k.runSeconds, len(r.Tasks), k.withinQuota, now)
		k.nextObjective(now)
		m.applyWindowDeadline(k)
		k.req.WithinGuarantee, k.req.Hold = k.withinQuota, k.urgent && m.hasCompetitors(j) || m.outranksCompetitors(j)
		out = append(out, k)
	}
	sort.SliceStable(out, func(a, b int) bool {
		x, y := out[a], out[b]
		switch {
		case x.withinQuota != y.withinQuota:
			return x.withinQuota
		case x.j.Priority != y.j.Priority:
			return x.j.Priority < y.j.Priority
		case x.req.Tier != y.req.Tier:
			return x.req.Tier < y.req.Tier
		case x.inWindow || y.inWindow:
			return compareByWindow(x, y)
		case x.missed != y.missed:
			return y.missed
		}
		return x.due.Before(y.due)
	})
	m.runTriage(out, now)
	m.checkStarvationBound(out, now)
	out = truncateQueue(m.promoteStarvedTiers(m.prioritizeMustStart(out, now), now), maxRequests)
	m.keepGPUMachinesFree(out, jobs)
	return append(out, last...)
}

// keepGPUMachinesFree keeps work that needs no GPU away from machines that have them
// while other work waits for GPUs: jobs that no objective speaks of altogether, those
// that no objective wants started soon as long as what waits is of no lower priority,
// and the others as long as stopping such jobs elsewhere makes room for them.
// Otherwise a guest's tasks take the machines without GPUs for minutes, and
// everybody else's those with GPUs; and thousands of small tasks refill the CPUs
// beside the GPUs one by one, so that a task which needs both never finds them.
func (m *Model) keepGPUMachinesFree(out []*queued, jobs []*Job) {
	gpus := slices.ContainsFunc(out, func(k *queued) bool { return k.j.Need.GPU > 0 })
	plain := make([]bool, len(m.MachineTypes))
	for i := range m.MachineTypes {
		plain[i] = m.MachineTypes[i].Capacity.GPU == 0
	}
	if !gpus || !slices.Contains(plain, true) {
		return
	}
	aimless := slices.ContainsFunc(jobs, func(j *Job) bool { return j.PlacedTasks > 0 && j.Need.GPU == 0 && !m.hasObjective(j) })
	first := m.highestPriorityForGPUs(out)
	for _, k := range out {
		if k.j.Need.GPU > 0 || !slices.ContainsFunc(m.fittingTypes(k.j), func(ti int) bool { return plain[ti] }) {
			continue
		}
		switch {
		case !m.hasObjective(k.j) && !k.withinQuota, !k.withinQuota && !k.mustStart && k.j.Priority >= first && !m.hasWaitObjective(k.j):
			k.req.Types = intersect(k.req.Types, plain)
		case aimless:
			k.req.PreferredTypes = intersect(k.req.Types, plain)
		}
	}
}

// hasWaitObjective says whether an objective wants jobs of the job's class started soon.
func (m *Model) hasWaitObjective(j *Job) bool {
	c := m.classes[j.Spec.Class]
	return c != nil && c.hasWaitObjective
}

// highestPriorityForGPUs is the highest priority, the lowest number, of what waits for GPUs and not
// for its team's limit; above all of them if nothing does.
func (m *Model) highestPriorityForGPUs(out []*queued) int {
	first := math.MaxInt
	for _, k := range out {
		if k.j.Need.GPU > 0 && k.j.Priority < first && placement.TasksWithinLimit(&k.req, m.teams) > 0 {
			first = k.j.Priority
		}
	}
	return first
}

// fittingTypes lists the types on which a task of the job fits.
func (m *Model) fittingTypes(j *Job) (out []int) {
	for i := range m.MachineTypes {
		if j.AllowedTypes[i] && j.Need.Fits(m.MachineTypes[i].Capacity) {
			out = append(out, i)
		}
	}
	return out
}

// hasObjective says whether any objective speaks of the job.
func (m *Model) hasObjective(j *Job) bool {
	for _, o := range m.settings.Cluster.Objectives {
		switch o.Kind {
		case "wait", "finished", "deadline":
			if o.Class == j.Spec.Class {
				return true
			}
		}
	}
	return false
}

func intersect(a, b []bool) []bool {
	out := make([]bool, len(a))
	for i := range a {
		out[i] = a[i] && b[i]
	}
	return out
}

func (m *Model) buildRequest(j *Job, now time.Time) (placement.Request, bool) {
	r := placement.Request{
		Job: j.Index, Gang: j.Gang(), Need: j.Need, Priority: j.Priority, Team: j.Team,
		Image: j.Image, ImageGB: j.Spec.ImageGB, Zone: j.Zone, OneZone: j.Spec.OneZone,
		PlacedByZone: append([]int(nil), j.PlacedByZone...), Types: j.AllowedTypes, Spot: j.Spec.Spot, Precedence: placement.Precedence{Tier: j.tier},
	}
	if j.Gang() && j.PlacedTasks > 0 && (j.GangStarted || j.GangEnding) {
		return r, false
	}
	limit := maxRequestTasks
	if j.Gang() {
		limit = len(j.Tasks)
	}
	if limit = j.requestableTasks(limit, now); limit == 0 {
		return r, false
	}
	ms := now.UnixMilli()
	for j.cursor < len(j.Tasks) && j.Tasks[j.cursor].Phase != TaskIdle {
		j.cursor++
	}
	for i := j.cursor; i < len(j.Tasks) && len(r.Tasks) < limit; i++ {
		t := &j.Tasks[i]
		if t.Phase != TaskIdle {
			continue
		}
		if t.NotBefore > ms {
			if j.Gang() {
				return r, false
			}
			continue
		}
		r.Tasks = append(r.Tasks, int32(i))
	}
	if len(r.Tasks) == 0 {
		return r, false
	}
	if !m.constrainZones(j, &r) {
		return r, false
	}
	r.Avoid = j.avoidedMachines(now)
	m.applyMachineRestrictions(j, &r)
	return r, true
}

// constrainZones says in which zones the request may be placed, given where the job's other
// tasks may still be; false where that is not known yet.
func (m *Model) constrainZones(j *Job, r *placement.Request) bool {
	if j.Spec.OneZone && r.Zone < 0 && j.PlacedTasks > 0 {
		// Whatever may still be on a machine pins the others to its zone. A
		// task recorded on a machine whose zone is not known yet pins them all.
		known := 0
		for z, n := range j.PlacedByZone {
			known += n
			if n > 0 {
				r.Zone = z
			}
		}
		if known < j.PlacedTasks {
			return false
		}
	}
	if j.Spec.Spread {
		r.MaxPerZone = (len(j.Tasks) + 1) / 2
		known := 0
		for _, n := range j.PlacedByZone {
			known += n
		}
		if known < j.PlacedTasks {
			return false
		}
	}
	return true
}

// avoidedMachines lists the machines that the job stays away from.
func (j *Job) avoidedMachines(now time.Time) map[int]bool {
	var out map[int]bool
	for idx, until := range j.avoidUntil {
		if now.After(until) {
			delete(j.avoidUntil, idx)
			continue
		}
		if out == nil {
			out = map[int]bool{}
		}
		out[int(idx)] = true
	}
	return out
}
