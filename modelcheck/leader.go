package modelcheck

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	passBatches  = 3  // batches that a scheduling pass commits at most
	batchRecords = 12 // records of a batch
)

// commitOutcome is what the leader learns of a scheduling pass's commits.
type commitOutcome int

const (
	commitAnswered     commitOutcome = iota
	commitResponseLost               // executed, but the leader doesn't learn of it
	commitDelayed                    // the first one gets no response and is executed later
)

// failOver lets another leader take over.
func (s *System) failOver() {
	s.failovers++
	if s.mutation == KeepFormerLeader {
		s.formerLeader = s.leader
	}
	s.startLeader()
}

// startLeader makes a new leader's model from the records, as a controller does.
func (s *System) startLeader() {
	s.revision++
	s.fencingToken++
	model := s.newModel()
	s.loadPlan(model)
	keys := slices.Sorted(maps.Keys(s.store))
	for _, key := range keys {
		s.loadJobs(model, key)
	}
	for _, key := range keys {
		s.loadPlacements(model, key)
	}
	model.FinishLoading(s.now())
	s.leader, s.watchedRevision = model, s.revision
	s.heldPreemptions, s.preempted = map[attemptKey]uint64{}, map[attemptKey]bool{}
	s.storeRefuses, s.renewalPending, s.leaseStart = false, false, s.step
}

// newModel returns the model of a leader that has loaded nothing yet.
func (s *System) newModel() *cluster.Model {
	settings := *s.settings
	if s.mutation == HalveWorkerLease {
		settings.Cluster.Workers.LeaseS = leaseSeconds / 2
	}
	electedAt := s.now()
	if s.mutation == SkipFailoverWait {
		electedAt = electedAt.Add(-config.Seconds(2 * leaseSeconds))
	}
	model := cluster.New(&settings, s.fencingToken, electedAt, slog.New(slog.DiscardHandler))
	model.RebalanceSettings = config.DefaultTuning().Rebalance
	model.SetMachineTypes([]wire.MachineType{{Name: machineTypeName, CPUs: s.scenario.Capacity, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, Zones: s.settings.Cluster.Zones}})
	if s.scenario.MaxPlans > 0 {
		model.ExpectPlan()
	}
	return model
}

// loadJobs gives a new leader the record of a job, or of a page of jobs.
func (s *System) loadJobs(model *cluster.Model, key string) {
	stored := s.store[key]
	if id, ok := jobstore.ParseJobKey(key); ok {
		model.ApplyJobRecord(id, stored.value.(jobstore.JobRecord), stored.version, s.now())
	}
	if jobstore.IsJobPageKey(key) {
		model.ApplyAdmissionPages([]cluster.AdmissionPage{{Key: key, Version: stored.version, Record: stored.value.(jobstore.JobPage)}}, s.now())
	}
}

// loadPlacements gives a new leader a page of placements, and the final records of jobs that
// have some and are over.
func (s *System) loadPlacements(model *cluster.Model, key string) {
	number, ok := jobstore.ParsePlacementPageKey(key)
	if !ok {
		return
	}
	page := s.store[key].value.(jobstore.PlacementPage)
	for _, chunk := range page.Chunks {
		if model.Job(chunk.Job) != nil || len(chunk.Placements) == 0 {
			continue
		}
		if final, ok := s.store[jobstore.FinalKey(chunk.Job)]; ok {
			model.LoadCancelledJob(chunk.Job, final.value.(jobstore.JobRecord))
		}
	}
	model.LoadPlacementPage(number, page, s.store[key].version, s.now())
}

// deliverWatch lets the leader read which jobs' records are gone.
func (s *System) deliverWatch() {
	if s.scenario.SharedPage {
		page, ok := s.store[sharedPageKey]
		if !ok {
			page = storedValue{jobstore.JobPage{}, s.revision} // removed, now at the latest
		}
		s.leader.ApplyAdmissionPages([]cluster.AdmissionPage{{Key: sharedPageKey, Version: page.version, Record: page.value.(jobstore.JobPage)}}, s.now())
		s.watchedRevision = s.revision
		return
	}
	for i := range s.scenario.Jobs {
		id := s.scenario.Jobs[i].ID
		if _, ok := s.store[jobstore.JobKey(id)]; !ok {
			s.leader.RemoveJob(id, s.now())
		}
	}
	s.watchedRevision = s.revision
}

// schedulingPass is the leader's: it expires leases, schedules, commits, and then sends
// pushes.
func (s *System) schedulingPass(outcome commitOutcome) {
	s.schedule()
	if s.mutation == LaunchBeforeCommit {
		s.sendPushes()
		if batch := s.leader.NextBatch(batchRecords); batch != nil {
			batch.OnCommit(1, s.now()) // which did not happen
		}
		return
	}
	for range passBatches {
		batch := s.leader.NextBatch(batchRecords)
		if batch == nil || !s.commitBatch(batch, outcome) {
			break
		}
	}
	s.commitPlanCheck(outcome)
	if s.leaseValid() {
		s.sendPushes()
	}
}

// schedule has the leader expire leases and place tasks, and notes by which version of the
// plan it placed them.
func (s *System) schedule() {
	s.leader.Tick(s.now())
	s.leader.Schedule(s.now(), 0)
	for p := range s.placements() {
		if _, ok := s.placedUnder[p.key]; !ok && !p.placement.Inherited {
			s.placedUnder[p.key] = s.leader.PlanGuard().Version
		}
	}
	s.checkPreemptions()
}

// commitBatch commits a batch of the leader's and says whether the pass goes on.
func (s *System) commitBatch(batch *cluster.WriteBatch, outcome commitOutcome) bool {
	switch {
	case s.storeRefuses:
		s.leader.RequeueBatch(batch) // 503: it was not executed
		return false
	case outcome == commitDelayed:
		s.delayCommit(batch)
		return false
	}
	failed := s.compareAndSwap(batch.Guards, batch.Ops)
	if failed == nil && outcome == commitAnswered {
		batch.OnCommit(s.revision, s.now())
		s.checkPreemptions()
		return true
	}
	s.resolveConflicts(batch, failed)
	s.leader.RequeueBatch(batch)
	return outcome == commitAnswered
}

// resolveConflicts has the leader read the records whose guards failed.
func (s *System) resolveConflicts(batch *cluster.WriteBatch, failed []string) {
	s.reloadPlanOnConflict(failed)
	for _, key := range failed {
		if !jobstore.IsActiveJobKey(key) {
			s.leader.ResolveConflict(batch, key, s.store[key].version)
		}
	}
	if failed != nil {
		s.deliverWatch()
	}
}

// delayCommit leaves a batch without a response, to be executed later.
func (s *System) delayCommit(batch *cluster.WriteBatch) {
	s.delayedCount++
	s.delayedCommits = append(s.delayedCommits, transaction{s.fencingToken, batch.Guards, batch.Ops})
	if s.mutation == TreatUnknownCommitAsSuccess {
		batch.OnCommit(s.revision, s.now())
		return
	}
	s.leader.RequeueBatch(batch)
}

// sendPushes sends stops and wake-ups to workers.
func (s *System) sendPushes() {
	now := s.now()
	for _, p := range append(s.leader.DueStops(now), s.leader.WakeUps(maxPushes, now)...) {
		s.mutatePush(p.Commands.Commands)
		if len(s.pushes) < maxPushes {
			i := slices.IndexFunc(s.workers, func(w *worker) bool { return w.name == p.Machine })
			s.pushes = append(s.pushes, push{i, p.Commands, s.workers[i].launchCount})
		}
	}
}

// receiveHeartbeat gives a heartbeat to a leader and notes the response, as a controller
// does; nobody may be waiting for the response any more.
func (s *System) receiveHeartbeat(h *heartbeat, leader *cluster.Model) {
	h.received = true
	if s.isDuplicate(h) {
		s.noteDuplicate(h)
	} else if leader == s.leader {
		s.workers[h.worker].reachedToken = s.fencingToken
	}
	if !s.leaseValid() {
		return // responds with 503
	}
	if h.message.Token > leader.FencingToken {
		return // resigns
	}
	message := s.heartbeatUnderMutation(h, leader.FencingToken)
	machine := leader.ApplyHeartbeat(&message, s.now())
	if machine == nil {
		s.respondToRetry(h, &message, leader)
		return
	}
	s.respond(h, leader.AnswerHeartbeat(machine, &message, s.now()), leader)
	if s.mutation == TreatResponsesAsUnreceived && len(machine.Tasks) > 0 {
		machine.ResetLastAnswer()
	}
	s.mutateForgets(h)
}

// respondToRetry responds to a heartbeat that the leader has had already, if it is the
// newest one.
func (s *System) respondToRetry(h *heartbeat, message *wire.Heartbeat, leader *cluster.Model) {
	commands, ok := leader.AnswerRetry(message, "")
	if !ok {
		return // refused
	}
	s.respond(h, commands, leader)
	if s.isDuplicate(h) || s.workers[h.worker].pending != h {
		return
	}
	s.Events = append(s.Events, EventRetryAfterDuplicate)
	if message.Token < leader.FencingToken {
		s.Events = append(s.Events, EventRetryAtNextLeader)
	}
}

// respond notes the response to a heartbeat.
func (s *System) respond(h *heartbeat, commands []wire.Command, leader *cluster.Model) {
	sortCommandsWithinOps(commands)
	h.token, h.commands = leader.FencingToken, commands
}

// sortCommandsWithinOps sorts neighbouring commands of one operation by their tasks: the
// leader iterates over maps there, and replays must not differ.
func sortCommandsWithinOps(commands []wire.Command) {
	for start := 0; start < len(commands); {
		end := start + 1
		for end < len(commands) && commands[end].Op == commands[start].Op {
			end++
		}
		slices.SortFunc(commands[start:end], func(a, b wire.Command) int { return strings.Compare(a.Task, b.Task) })
		start = end
	}
}

// formerLeaderRoundTrip sends a worker's heartbeat to the former leader.
func (s *System) formerLeaderRoundTrip(i int) {
	h := s.sendHeartbeat(i)
	s.receiveHeartbeat(h, s.formerLeader)
	s.receiveResponse(h)
}
