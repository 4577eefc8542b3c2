package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file turns the waiting tasks of a job into a request to package placement.

// buildRequest makes the request for the tasks of a job that wait. It returns false if no task
// may be placed now.
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

// placeableTasks lists the waiting tasks that may be placed now: all tasks of a gang or none,
// at most maxRequestTasks of any other job. It lists none of a gang of which a task is backing
// off. As a side effect it moves j.cursor, before which no task is idle.
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
	ms := now.UnixMilli()
	for i := j.cursor; i < len(j.Tasks) && len(tasks) < limit; i++ {
		switch t := &j.Tasks[i]; {
		case t.Phase != TaskIdle:
		case t.notBefore <= ms:
			tasks = append(tasks, int32(i))
		case j.Gang():
			return nil
		}
	}
	return tasks
}

// constrainZones restricts a request to the zones that the job's zone constraints allow, given
// where its other tasks may still be. It returns false if the zone of one of them is not known
// yet, which holds the request back.
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

// knowsZones reports whether the zones of all placed tasks are known. That of a task is not if
// it was recorded by an earlier leader on a machine of which nothing has been heard since.
func (j *Job) knowsZones() bool {
	known := 0
	for _, tasks := range j.placedByZone {
		known += tasks
	}
	return known >= j.PlacedTasks
}

// avoidedMachines lists the machines that the job avoids for now, by index. It deletes the
// entries that have expired.
func (j *Job) avoidedMachines(now time.Time) map[int]bool {
	var avoided map[int]bool
	for idx, until := range j.avoidUntil {
		if now.After(until) {
			delete(j.avoidUntil, idx)
			continue
		}
		if avoided == nil {
			avoided = map[int]bool{}
		}
		avoided[int(idx)] = true
	}
	return avoided
}
