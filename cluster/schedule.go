// Runs a scheduling pass in three stages. The first builds the queue of waiting requests. In the
// second, package placement filters and scores machines and reserves them for the requests. The
// third binds the resulting plan, that is, applies it to the model. The write-behind commits the
// bound placements before any task is launched.

package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// Decisions is the result of a scheduling pass. Placements and preemptions have already been
// applied to the model. The caller scales out.
type Decisions struct {
	Started  int                 // number of tasks placed
	ScaleOut map[Offer]int       // number of machines to rent, by offer
	Unplaced []placement.Request // requests of jobs with tasks that fit on no machine now
}

// passBuffers holds slices that each scheduling pass reuses, which saves a pass over thousands of
// machines from allocating them anew. Their contents are valid until the next pass.
type passBuffers struct {
	machines  []placement.Machine
	occupants []placement.Occupant // of all machines, concatenated
	images    []placement.ImageAt  // of all machines, concatenated
	taskRefs  []TaskRef            // tasks of one machine
	indexes   []int32              // machine indexes
}

// Schedule runs a scheduling pass: it places waiting tasks, orders preemptions and decides
// which machines to rent. renting is the number of machines that are being rented already.
// Schedule returns empty Decisions while placing is paused because of unreadable records, and
// while the operators' plan is unreadable.
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
// and requests by their positions in its input. The pass translates between these positions
// and the model's machines and jobs.
type schedulingPass struct {
	model *Model
	now   time.Time
	input placement.Input
	// requestJobs holds the job of each request of the input. It is nil for a placeholder,
	// that is, a request that no job has made.
	requestJobs []*Job
	// machineIndexes holds the model's index of each machine of the input, and inputPositions
	// is its inverse. A machine that can't be given tasks has no position.
	machineIndexes []int32
	inputPositions map[int]int
	// offers holds the model's offer for each offer of the input.
	offers []Offer
}

// addMachines adds the machines that can be given tasks to the input, in the model's order.
// beyondGuarantee holds the tasks that may be preempted for work within a guaranteed quota.
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

// addQueue adds the queued requests to the input in the queue's order. Backfill reservations
// that take precedence over a request are added before it.
func (p *schedulingPass) addQueue(queue []*queueEntry) {
	reservedClasses := map[string]bool{}
	p.requestJobs = make([]*Job, 0, len(queue)+4)
	for _, entry := range queue {
		if !entry.mustStart { // the starvation bound takes precedence over reservations
			p.addPlaceholders(p.model.backfillReservations(entry, reservedClasses, p.now))
		}
		p.addRequest(entry)
	}
}

// addRequest adds a queued request to the input.
func (p *schedulingPass) addRequest(entry *queueEntry) {
	r := entry.req
	r.Avoid = p.avoidedPositions(r.Avoid)
	r.PreferredMachines = p.model.moveTargets(entry.job, p.inputPositions)
	r.PoolAccess = p.model.poolAccess(entry.job)
	p.input.Requests = append(p.input.Requests, r)
	p.requestJobs = append(p.requestJobs, entry.job)
}

// avoidedPositions translates the indexes of the machines that a request avoids into positions
// in the input.
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

// addPlaceholders adds requests without a job to the input.
func (p *schedulingPass) addPlaceholders(requests []placement.Request) {
	for i := range requests {
		p.input.Requests = append(p.input.Requests, requests[i])
		p.requestJobs = append(p.requestJobs, nil)
	}
}

// addProvision adds the placeholder that rents machines ahead of a batch window, if there is
// one.
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

// bindStarts places the tasks that a plan starts and returns their number. All tasks of a job
// that are placed in one pass share an attempt number. The number is new, unless the job is a
// gang with placed tasks: the new tasks then join the attempt of the placed ones.
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

// markHeadroom marks the machines without tasks that placeholders were placed on, so that they
// are not scaled in as idle. A warm pool may still take such a machine, and the headroom is then
// rented anew.
func (p *schedulingPass) markHeadroom(starts []placement.Start) {
	for _, s := range starts {
		// Positions after those of the model's machines are machines to be rented.
		if p.requestJobs[s.Request] != nil || s.Machine >= len(p.machineIndexes) {
			continue
		}
		if mc := p.model.Machines[p.machineIndexes[s.Machine]]; len(mc.Tasks) == 0 {
			mc.keepAsHeadroom(p.now)
		}
	}
}
