package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// buildRequest returns the request to package placement for the waiting tasks of a job. It
// returns false if no task of the job may be placed now.
func (m *Model) buildRequest(j *Job, now time.Time) (placement.Request, bool) {
	r := placement.Request{
		Job: j.Index, Gang: j.Gang(), Need: j.Need, Priority: j.priority, Team: j.team,
		Image: j.image, ImageGB: j.Spec.ImageGB, Zone: j.zone, OneZone: j.Spec.OneZone,
		PlacedByZone: append([]int(nil), j.placedByZone...), Types: j.allowedTypes, Spot: j.Spec.Spot, Precedence: placement.Precedence{Tier: j.tier},
	}
	if j.Gang() && j.PlacedTasks > 0 && (j.gangStarted || j.gangEnding) {
		return r, false
	}
	r.Tasks = j.placeableTasks(now)
	if len(r.Tasks) == 0 || !j.constrainZones(&r) {
		return r, false
	}
	r.Avoid = j.avoidedMachines(now)
	m.applyMachineRestrictions(j, &r)
	return r, true
}

// placeableTasks returns the numbers of the waiting tasks that may be placed now. Of a gang it
// returns all waiting tasks, or none if one of them is backing off. Of other jobs it returns at
// most maxRequestTasks. It advances j.cursor.
func (j *Job) placeableTasks(now time.Time) []int32 {
	limit := maxRequestTasks
	if j.Gang() {
		limit = len(j.Tasks)
	}
	limit = j.requestableTasks(limit, now)
	if limit == 0 {
		return nil
	}
	j.advanceCursor()
	var tasks []int32
	nowMillis := now.UnixMilli()
	for i := j.cursor; i < len(j.Tasks) && len(tasks) < limit; i++ {
		switch t := &j.Tasks[i]; {
		case t.Phase != TaskIdle:
		case t.notBefore <= nowMillis:
			tasks = append(tasks, int32(i))
		case j.Gang():
			return nil
		}
	}
	return tasks
}

// constrainZones applies the job's zone constraints to a request, with regard to the zones of its
// placed tasks. It returns false if a needed zone is unknown, so that the request must wait.
func (j *Job) constrainZones(r *placement.Request) bool {
	if j.Spec.OneZone && r.Zone < 0 && j.PlacedTasks > 0 {
		for zone, tasks := range j.placedByZone {
			if tasks > 0 {
				r.Zone = zone
			}
		}
		if !j.knowsZones() {
			return false
		}
	}
	if j.Spec.Spread {
		r.MaxPerZone = (len(j.Tasks) + 1) / 2
		return j.knowsZones()
	}
	return true
}

// knowsZones reports whether the zones of all placed tasks are known. The zone of a task is
// unknown, for example, if an earlier leader recorded it on a machine that nothing has been heard
// of since.
func (j *Job) knowsZones() bool {
	known := 0
	for _, tasks := range j.placedByZone {
		known += tasks
	}
	return known >= j.PlacedTasks
}

// avoidedMachines returns the indices of the machines that the job avoids now, or nil if there
// are none. It deletes expired entries of j.avoidUntil.
func (j *Job) avoidedMachines(now time.Time) map[int]bool {
	var avoided map[int]bool
	for machine, until := range j.avoidUntil {
		if now.After(until) {
			delete(j.avoidUntil, machine)
			continue
		}
		if avoided == nil {
			avoided = map[int]bool{}
		}
		avoided[int(machine)] = true
	}
	return avoided
}
