package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file is the scheduling pass. A pass has three stages: the queue of waiting requests is
// built, package placement filters, scores and reserves machines for the requests, and the
// plan that results is bound, which means that it is applied to the model. The write-behind
// commits what was bound before any task is launched.

// Decisions is the result of a scheduling pass. Placements and preemptions are applied to
// the model already; scaling out is left to the caller.
type Decisions struct {
	Started  int
	ScaleOut map[Offer]int       // machines to rent
	Unplaced []placement.Request // of jobs, with tasks for which no machine has enough free resources now
}

// passBuffers are slices that each scheduling pass reuses, so that a pass over thousands of
// machines does not allocate them anew. What they hold is valid until the next pass.
type passBuffers struct {
	machines  []placement.Machine
	occupants []placement.Occupant // of all machines, one after another
	images    []placement.ImageAt  // of all machines, one after another
	taskRefs  []TaskRef            // of one machine
	indexes   []int32              // of machines
}

// Schedule runs a scheduling pass: it places waiting tasks, orders preemptions and decides
// which machines to rent. renting is how many machines are being rented already. It decides
// nothing while placing is paused because of unreadable records, or while the operators' plan
// is unreadable.
func (m *Model) Schedule(now time.Time, renting int) Decisions {
	if m.quarantine.placementPaused(now) || m.plan.Unreadable {
		return Decisions{}
	}
	jobs := m.openJobs()
	withinGuarantee := m.jobsWithinGuarantee(jobs)
	queue := m.buildQueue(jobs, withinGuarantee, now)

	pass := &schedulingPass{model: m, now: now}
	pass.input.AllowPreemption = true
	pass.input.MaxScaleOut = max(0, maxScaleOut-renting)
	pass.addMachines(m.tasksBeyondGuarantee(withinGuarantee))
	pass.addQueue(queue)
	pass.addPlaceholders(m.headroomRequests(jobs, now))
	pass.addProvision()
	pass.input.Teams = append(pass.input.Teams, m.teams...)
	pass.input.Offers, pass.offers = m.offers(now)

	plan := placement.Compute(&pass.input)
	m.buffers.machines = pass.input.Machines
	m.recordInversions(&plan, &pass.input, pass.requestJobs, now)

	decisions := pass.bind(&plan)
	m.addPoolScaleOut(decisions.ScaleOut, pass.offers, pass.input.MaxScaleOut)
	return decisions
}

// schedulingPass is the state of one scheduling pass. Package placement addresses machines
// and requests by their positions in its input; a pass translates between these positions and
// the model's machines and jobs.
type schedulingPass struct {
	model *Model
	now   time.Time
	input placement.Input
	// requestJobs has the job of each request of the input, nil for a placeholder, which
	// is a request that no job has made.
	requestJobs []*Job
	// machineIndexes has the model's index of each machine of the input; inputPositions
	// is its inverse. A machine that can't be given tasks has no position.
	machineIndexes []int32
	inputPositions map[int]int
	// offers has the model's name of each offer of the input.
	offers []Offer
}

// addMachines adds the machines that can be given tasks to the input, in the model's order.
// beyondGuarantee are the tasks that may be preempted for work within a guarantee.
func (p *schedulingPass) addMachines(beyondGuarantee map[TaskRef]bool) {
	m := p.model
	p.input.Machines = m.buffers.machines[:0]
	m.buffers.occupants, m.buffers.images = m.buffers.occupants[:0], m.buffers.images[:0]
	p.machineIndexes = slices.Grow(m.buffers.indexes[:0], len(m.Machines))
	p.inputPositions = make(map[int]int, len(m.Machines))
	for _, mc := range m.Machines {
		view, ok := m.machineView(mc, beyondGuarantee, p.now)
		if !ok {
			continue
		}
		p.inputPositions[int(mc.index)] = len(p.input.Machines)
		p.input.Machines = append(p.input.Machines, view)
		p.machineIndexes = append(p.machineIndexes, mc.index)
	}
	m.buffers.indexes = p.machineIndexes
}

// addQueue adds the queued requests to the input, in the queue's order, and before each the
// backfill reservations that take precedence over it.
func (p *schedulingPass) addQueue(queue []*queued) {
	reservedClasses := map[string]bool{}
	p.requestJobs = make([]*Job, 0, len(queue)+4)
	for _, k := range queue {
		if !k.mustStart { // the starvation bound takes precedence over reservations
			p.addPlaceholders(p.model.backfillReservations(k, reservedClasses, p.now))
		}
		p.addRequest(k)
	}
}

// addRequest adds a queued request to the input.
func (p *schedulingPass) addRequest(k *queued) {
	r := k.req
	r.Avoid = p.avoidedPositions(r.Avoid)
	r.PreferredMachines = p.model.moveTargets(k.job, p.inputPositions)
	r.PoolAccess = p.model.poolAccess(k.job)
	p.input.Requests = append(p.input.Requests, r)
	p.requestJobs = append(p.requestJobs, k.job)
}

// avoidedPositions translates the model's machines that a request avoids into positions in
// the input.
func (p *schedulingPass) avoidedPositions(machines map[int]bool) map[int]bool {
	if len(machines) == 0 {
		return machines
	}
	positions := map[int]bool{}
	for index := range machines {
		if position, ok := p.inputPositions[index]; ok {
			positions[position] = true
		}
	}
	return positions
}

// addPlaceholders adds requests that no job has made to the input.
func (p *schedulingPass) addPlaceholders(requests []placement.Request) {
	for i := range requests {
		p.input.Requests = append(p.input.Requests, requests[i])
		p.requestJobs = append(p.requestJobs, nil)
	}
}

// addProvision adds the placeholder for which machines are rented ahead of a batch window, if
// there is one.
func (p *schedulingPass) addProvision() {
	if r, ok := p.model.provisionRequest(p.now); ok {
		p.input.Requests = append(p.input.Requests, r)
		p.requestJobs = append(p.requestJobs, nil)
	}
}

// bind applies a plan to the model: first the placements, then the preemptions.
func (p *schedulingPass) bind(plan *placement.Plan) Decisions {
	decisions := Decisions{ScaleOut: map[Offer]int{}}
	decisions.Started = p.bindStarts(plan.Starts)
	for _, ref := range plan.Preemptions {
		p.model.stopUnderPlan(ref, StopPreempted, p.now)
	}
	for offer, machines := range plan.ScaleOut {
		decisions.ScaleOut[p.offers[offer]] += machines
	}
	for _, request := range plan.Waiting {
		if p.requestJobs[request] != nil {
			decisions.Unplaced = append(decisions.Unplaced, p.input.Requests[request])
		}
	}
	p.markHeadroom(plan.Starts)
	return decisions
}

// bindStarts places the tasks that a plan starts and returns how many there are. The tasks of
// a job that one pass places share one attempt number. It is a new one, except for a gang of
// which tasks are placed already: these and the new ones are the same attempt.
func (p *schedulingPass) bindStarts(starts []placement.Start) int {
	started := 0
	attempts := map[int32]uint64{}
	for _, s := range starts {
		j := p.requestJobs[s.Request]
		if j == nil {
			continue
		}
		attempt, ok := attempts[j.Index]
		if !ok {
			if !j.Gang() || j.PlacedTasks == 0 {
				j.nextAttempt()
			}
			attempt = j.lastAttempt
			attempts[j.Index] = attempt
		}
		p.bindStart(j, s, attempt)
		started++
	}
	return started
}

// bindStart places one task of a job as the given attempt.
func (p *schedulingPass) bindStart(j *Job, s placement.Start, attempt uint64) {
	m, now := p.model, p.now
	mc := m.Machines[p.machineIndexes[s.Machine]]
	m.countPoolPlacement(j, s.Task, mc)
	m.placeTask(j, s.Task, mc, attempt, now)
	m.writes.recordPlacement(j, s.Task)
	waited := now.Sub(j.AcceptedAt).Seconds()
	m.Observer.Placed(waited)
	m.log.Debug("placed", "job", j.ID, "task", s.Task, "attempt", attempt, "machine", mc.Name, "waited", waited)
}

// markHeadroom marks the machines without tasks on which placeholders were placed, so that
// they are not scaled in as idle. A warm pool may have such a machine all the same; the
// headroom is then rented anew.
func (p *schedulingPass) markHeadroom(starts []placement.Start) {
	for _, s := range starts {
		// Positions beyond those of the model's machines are machines to be rented.
		if p.requestJobs[s.Request] != nil || s.Machine >= len(p.machineIndexes) {
			continue
		}
		if mc := p.model.Machines[p.machineIndexes[s.Machine]]; len(mc.Tasks) == 0 {
			mc.keepAsHeadroom(p.now)
		}
	}
}
