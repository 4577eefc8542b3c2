// The leader: the real cluster.Model, driven with the simulated store and workers.

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
	maxPassBatches  = 3  // batches that a scheduling pass commits
	maxBatchRecords = 12 // records of a batch
)

// commitOutcome is the fate of the commits of a scheduling pass.
type commitOutcome int

const (
	commitAnswered     commitOutcome = iota
	commitResponseLost               // executed, but the leader gets no response
	commitDelayed                    // the first commit gets no response and is executed later
)

// failOver replaces the leader.
func (s *System) failOver() {
	s.failovers++
	if s.mutation == KeepFormerLeader {
		s.formerLeader = s.leader
	}
	s.startLeader()
}

// startLeader makes the model of a new leader from the stored records, as a controller does.
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

// newModel returns the model of a new leader before it has loaded any records.
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

// loadJobs passes the record of a job or of a page of jobs to a new leader. Other keys are ignored.
func (s *System) loadJobs(model *cluster.Model, key string) {
	stored := s.store[key]
	if id, ok := jobstore.ParseJobKey(key); ok {
		model.ApplyJobRecord(id, stored.value.(jobstore.JobRecord), stored.version, s.now())
	}
	if jobstore.IsJobPageKey(key) {
		model.ApplyAdmissionPages([]cluster.AdmissionPage{{Key: key, Version: stored.version, Record: stored.value.(jobstore.JobPage)}}, s.now())
	}
}

// loadPlacements passes a page of placements to a new leader, together with the final records of
// jobs on the page that are over. Other keys are ignored.
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

// deliverWatch lets the leader read which active job records have been removed.
func (s *System) deliverWatch() {
	if s.scenario.SharedPage {
		page, ok := s.store[sharedPageKey]
		if !ok {
			page = storedValue{jobstore.JobPage{}, s.revision} // the page was removed at or before this revision
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

// schedulingPass runs one pass of the leader. It expires leases, schedules, commits and sends
// pushes, in this order.
func (s *System) schedulingPass(outcome commitOutcome) {
	s.schedule()
	if s.mutation == LaunchBeforeCommit {
		s.sendPushes()
		if batch := s.leader.NextBatch(maxBatchRecords); batch != nil {
			batch.OnCommit(1, s.now()) // reports a commit that did not happen
		}
		return
	}
	for range maxPassBatches {
		batch := s.leader.NextBatch(maxBatchRecords)
		if batch == nil || !s.commitBatch(batch, outcome) {
			break
		}
	}
	s.commitPlanCheck(outcome)
	if s.leaseValid() {
		s.sendPushes()
	}
}

// schedule lets the leader expire leases and place tasks. It records the version of the plan under
// which each attempt was placed.
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

// commitBatch commits a batch of the leader and reports whether the pass continues.
func (s *System) commitBatch(batch *cluster.WriteBatch, outcome commitOutcome) bool {
	switch {
	case s.storeRefuses:
		s.leader.RequeueBatch(batch) // the store responded with 503 and did not execute the batch
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

// resolveConflicts lets the leader read the records whose guards failed.
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

// delayCommit delays a batch: the leader gets no response, and the store may execute it later.
func (s *System) delayCommit(batch *cluster.WriteBatch) {
	s.delayedCount++
	s.delayedCommits = append(s.delayedCommits, transaction{s.fencingToken, batch.Guards, batch.Ops})
	if s.mutation == TreatUnknownCommitAsSuccess {
		batch.OnCommit(s.revision, s.now())
		return
	}
	s.leader.RequeueBatch(batch)
}

// sendPushes sends the leader's stops and wake-ups to workers. Pushes beyond maxPushes are lost.
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

// receiveHeartbeat passes a heartbeat to a leader and stores the response in the heartbeat, as a
// controller does. The worker may no longer be waiting for the response.
func (s *System) receiveHeartbeat(h *heartbeat, leader *cluster.Model) {
	h.received = true
	if s.isDuplicate(h) {
		s.noteDuplicate(h)
	} else if leader == s.leader {
		s.workers[h.worker].reachedToken = s.fencingToken
	}
	if !s.leaseValid() {
		return // the controller responds with 503
	}
	if h.message.Token > leader.FencingToken {
		return // the worker has seen a newer leader, so this one resigns
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

// respondToRetry responds to a heartbeat that the leader has received before, if it is the newest
// one of its worker.
func (s *System) respondToRetry(h *heartbeat, message *wire.Heartbeat, leader *cluster.Model) {
	commands, ok := leader.AnswerRetry(message, "")
	if !ok {
		return // the leader refuses the heartbeat
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

// respond stores the response to a heartbeat in the heartbeat.
func (s *System) respond(h *heartbeat, commands []wire.Command, leader *cluster.Model) {
	sortCommandsWithinOps(commands)
	h.token, h.commands = leader.FencingToken, commands
}

// sortCommandsWithinOps sorts each run of commands with the same operation by task. The leader
// iterates over maps to make them, and replays must be deterministic.
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
