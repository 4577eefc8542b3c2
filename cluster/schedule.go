package cluster

import (
	"context"
	"log/slog"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file is a scheduling pass: the queue is built, package placement filters, scores
// and reserves machines for it, and what it decided is bound: taken into the model, from
// which the write-behind commits it before anything is launched.

// Decisions is the result of a scheduling pass. Placements and stops are applied to the
// model already; scaling out is left to the caller.
type Decisions struct {
	Started  int
	ScaleOut map[Offer]int       // machines to rent
	Unplaced []placement.Request // requests that no machine has enough free resources for
}

// passBuffers are slices that each scheduling pass reuses, so that a pass over thousands of
// machines does not allocate them anew. What they hold is valid until the next pass.
type passBuffers struct {
	machines  []placement.Machine
	occupants []placement.Occupant // of all machines, one after another
	images    []placement.ImageAt  // of all machines, one after another
	taskRefs  []TaskRef            // of one machine
}

// Schedule runs a scheduling pass: it places waiting tasks, orders preemptions and decides
// which machines to rent. renting is how many machines are being rented already.
func (m *Model) Schedule(now time.Time, renting int) Decisions {
	if m.quarantine.pausesPlacing(now) || m.plan.Unreadable {
		return Decisions{}
	}
	jobs := m.openJobs()
	within := m.jobsWithinQuota(jobs)
	reqs := m.buildQueue(jobs, within, now)
	over := m.beyondQuota(within)
	in := placement.Input{Machines: m.buffers.machines[:0], Preempt: true, RentMax: max(0, maxScaleOut-renting)}
	m.buffers.occupants, m.buffers.images = m.buffers.occupants[:0], m.buffers.images[:0]
	back := make([]int32, 0, len(m.Machines))
	fwd := make(map[int]int, len(m.Machines))
	for _, mc := range m.Machines {
		if v, ok := m.machineView(mc, over, now); ok {
			fwd[int(mc.Index)] = len(in.Machines)
			in.Machines = append(in.Machines, v)
			back = append(back, mc.Index)
		}
	}
	reserved := map[string]bool{}
	job := make([]*Job, 0, len(reqs)+4)
	for k := range reqs {
		if !reqs[k].mustStart { // the starvation bound takes precedence over reservations
			for _, r := range m.backfillReservations(reqs[k], reserved, now) {
				in.Requests = append(in.Requests, r)
				job = append(job, nil)
			}
		}
		job = append(job, reqs[k].j)
		r := reqs[k].req
		if len(r.Avoid) > 0 {
			avoid := map[int]bool{}
			for idx := range r.Avoid {
				if i, ok := fwd[idx]; ok {
					avoid[i] = true
				}
			}
			r.Avoid = avoid
		}
		r.Prefer = m.moveTargets(reqs[k].j, fwd)
		r.Pools = m.poolAccess(reqs[k].j)
		in.Requests = append(in.Requests, r)
	}
	for _, r := range m.headroomRequests(jobs, now) {
		in.Requests = append(in.Requests, r)
		job = append(job, nil)
	}
	if r, ok := m.provisionRequest(now); ok {
		in.Requests = append(in.Requests, r)
		job = append(job, nil)
	}
	in.Teams = append(in.Teams, m.teams...)
	var offers []Offer
	in.Offers, offers = m.offers(now)

	plan := placement.Make(&in)
	m.buffers.machines = in.Machines
	m.recordInversions(&plan, &in, job, now)

	d := m.carryOut(plan, in.Requests, job, back, offers, now)
	m.addPoolScaleOut(d.ScaleOut, offers, in.RentMax)
	return d
}

// carryOut takes a plan into the model. job is whose each request is, nil for
// room that is kept; back leads from the planner's machines to the model's.
func (m *Model) carryOut(plan placement.Plan, reqs []placement.Request, job []*Job, back []int32, offers []Offer, now time.Time) Decisions {
	d := Decisions{ScaleOut: map[Offer]int{}}
	attempts := map[int32]uint64{}
	for _, s := range plan.Starts {
		j := job[s.Request]
		if j == nil {
			continue
		}
		mc := m.Machines[back[s.Machine]]
		a, ok := attempts[j.Index]
		if !ok {
			if !j.Gang() || j.PlacedTasks == 0 {
				j.LastAttempt++
			}
			a = j.LastAttempt
			attempts[j.Index] = a
		}
		m.countPoolPlacement(j, s.Task, mc)
		m.placeTask(j, s.Task, mc, a, now)
		c := m.changeChunk(j, s.Task)
		c.PlacedGen = c.Generation
		j.Tasks[s.Task].Placement.chunkGeneration = c.Generation
		d.Started++
		m.Observer.Placed(now.Sub(j.AcceptedAt).Seconds())
		m.log.Debug("placed", "job", j.ID, "task", s.Task, "attempt", a, "machine", mc.Name, "waited", now.Sub(j.AcceptedAt).Seconds())
	}
	for _, ref := range plan.Stops {
		m.stopUnderPlan(ref, StopPreempted, now)
	}
	for i, n := range plan.Rent {
		d.ScaleOut[offers[i]] += n
	}
	for _, i := range plan.Waiting {
		if job[i] != nil {
			d.Unplaced = append(d.Unplaced, reqs[i])
		}
	}
	used := map[int]bool{}
	for _, s := range plan.Starts {
		if job[s.Request] == nil && s.Machine < len(back) {
			used[s.Machine] = true
		}
	}
	for v := range used {
		// Kept as headroom: not idle in the sense of being returned. A pool may
		// have it all the same, and the headroom is rented anew.
		if mc := m.Machines[back[v]]; len(mc.Tasks) == 0 {
			mc.headroomAt = now
		}
	}
	return d
}

// LogUtilization logs, at debug level, how many resources of each machine type are in use
// and how many tasks wait.
func (m *Model) LogUtilization(wanted []placement.Request, now time.Time) {
	if !m.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	waiting := 0
	for i := range wanted {
		waiting += len(wanted[i].Tasks)
	}
	for ti := range m.MachineTypes {
		var ready, booting, without int // machines
		var capacity, used, unsent placement.Res
		for _, mc := range m.Machines {
			if mc.Type != ti {
				continue
			}
			if !m.Ready(mc, now) {
				if _, ok := m.bootTimeLeft(mc, now); ok {
					booting++
				}
				continue
			}
			ready++
			capacity = capacity.Add(m.MachineTypes[ti].Capacity, 1)
			used = used.Add(mc.Used, 1)
			no := true
			for ref := range mc.Tasks {
				j := m.Jobs[ref.Job]
				no = no && j.Need.GPU == 0
				if j.Tasks[ref.Task].Placement.ReportedState < reportedRunning {
					unsent = unsent.Add(j.Need, 1)
				}
			}
			if no && len(mc.Tasks) > 0 {
				without++
			}
		}
		m.log.Debug("room", "type", m.MachineTypes[ti].Name, "ready", ready, "booting", booting, "cpus", capacity.CPU, "cpusUsed", used.CPU,
			"gpus", capacity.GPU, "gpusUsed", used.GPU, "cpusNotRunning", unsent.CPU, "gpusNotRunning", unsent.GPU, "withoutGPUTasks", without, "waiting", waiting)
	}
}
