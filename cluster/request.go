package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file turns the waiting tasks of a job into a request to package placement.

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
