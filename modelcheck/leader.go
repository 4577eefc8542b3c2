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

// startLeader makes a new leader's model from the records, as a node does.
func (s *System) startLeader() {
	s.revision++
	s.fencingToken++
	cfg := *s.settings
	if s.mutation == HalveWorkerLease {
		cfg.Cluster.Workers.LeaseS = leaseSeconds / 2
	}
	at := s.now()
	if s.mutation == SkipFailoverWait {
		at = at.Add(-config.Seconds(2 * leaseSeconds))
	}
	m := cluster.New(&cfg, s.fencingToken, at, slog.New(slog.DiscardHandler))
	m.RebalanceSettings = config.DefaultTuning().Rebalance
	m.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: s.scenario.Capacity, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: s.settings.Cluster.Zones}})
	if s.scenario.MaxPlans > 0 {
		m.ExpectPlan()
	}
	s.loadPlan(m)
	keys := slices.Sorted(maps.Keys(s.store))
	for _, k := range keys {
		if id, ok := jobstore.ParseJobKey(k); ok {
			m.ApplyJobRecord(id, s.store[k].value.(jobstore.JobRecord), s.store[k].version, s.now())
		}
		if jobstore.IsJobPageKey(k) {
			m.ApplyAdmissionPages([]cluster.AdmissionPage{{Key: k, Version: s.store[k].version, Record: s.store[k].value.(jobstore.JobPage)}}, s.now())
		}
	}
	for _, k := range keys {
		n, ok := jobstore.ParsePlacementPageKey(k)
		if !ok {
			continue
		}
		rec := s.store[k].value.(jobstore.PlacementPage)
		for _, c := range rec.Chunks {
			if m.Job(c.Job) != nil || len(c.Placements) == 0 {
				continue
			}
			if over, ok := s.store[jobstore.FinalKey(c.Job)]; ok {
				m.LoadCancelledJob(c.Job, over.value.(jobstore.JobRecord))
			}
		}
		m.LoadPlacementPage(n, rec, s.store[k].version, s.now())
	}
	m.FinishLoading(s.now())
	s.leader, s.watchedRevision = m, s.revision
	s.heldPreemptions, s.preempted = nil, nil // the leader before's
	s.storeRefuses, s.renewalPending, s.leaseStart = false, false, s.step
}

// deliverWatch is the leader's watch: it sees which active records are gone.
func (s *System) deliverWatch() {
	if s.scenario.SharedPage {
		key := jobstore.SealedPageKey(0, 1)
		page, ok := s.store[key]
		if !ok {
			page = storedValue{jobstore.JobPage{}, s.revision} // removed, at the latest by now
		}
		s.leader.ApplyAdmissionPages([]cluster.AdmissionPage{{Key: key, Version: page.version, Record: page.value.(jobstore.JobPage)}}, s.now())
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

// schedulingPass is the leader's: what time has ended, what to place, its records, and
// then what is sent directly. Where the answer to a commit is lost, the leader
// does not know that it was applied, and where one comes late, whether it will be.
func (s *System) schedulingPass(how ActionKind) {
	now, answerLost := s.now(), how == PassResponseLost
	s.leader.Tick(now)
	s.schedule()
	if s.mutation == LaunchBeforeCommit {
		s.sendPushes()
		if b := s.leader.NextBatch(12); b != nil {
			b.OnCommit(1, now) // no: it only thinks so
		}
		return
	}
	for range 3 {
		b := s.leader.NextBatch(12)
		if b == nil {
			break
		}
		if s.storeRefuses {
			s.leader.RequeueBatch(b) // 503: it was not executed
			break
		}
		if how == PassCommitDelayed {
			s.delayCommit(b)
			break
		}
		failed := s.compareAndSwap(b.Guards, b.Ops)
		if failed == nil && !answerLost {
			b.OnCommit(s.revision, now)
			s.checkPreemptions()
			continue
		}
		s.handleConflict(failed)
		for _, key := range failed {
			if !b.IsJobKey(key) {
				s.leader.ResolveConflict(b, key, s.store[key].version)
			}
		}
		if failed != nil {
			s.deliverWatch()
		}
		s.leader.RequeueBatch(b)
		if answerLost {
			break
		}
	}
	s.commitPlanCheck(answerLost)
	if s.leaseValid() {
		s.sendPushes()
	}
}

func (s *System) sendPushes() {
	now := s.now()
	for _, d := range append(s.leader.StopPushes(now), s.leader.WakeUps(maxPushes, now)...) {
		if s.mutation == LaunchByPush {
			for i := range d.Commands.Commands {
				c := &d.Commands.Commands[i]
				if id, _, _ := wire.SplitTask(c.Task); c.Op == wire.OpStart {
					c.Task = wire.TaskName(id, 0)
				}
			}
		}
		if len(s.pushes) < maxPushes {
			i := slices.IndexFunc(s.workers, func(o *worker) bool { return o.name == d.Machine })
			s.pushes = append(s.pushes, push{i, d.Commands, s.workers[i].launchCount})
		}
	}
}

// receiveHeartbeat gives a report to the leader, as the controller does.
func (s *System) receiveHeartbeat(f *heartbeat, m *cluster.Model) {
	f.received = true
	r := f.report
	copied := slices.Contains(s.duplicates, f)
	if copied {
		s.noteDuplicate(f)
	} else if m == s.leader {
		s.workers[f.worker].reachedToken = s.fencingToken
	}
	if !s.leaseValid() {
		return // a 503
	}
	if r.Token > m.FencingToken {
		return // it resigns
	}
	now := s.now()
	if s.mutation == AcceptStaleHeartbeats || s.mutation == AcceptDuplicatesAsNewest && copied {
		r.Seq += 1000 * uint64(s.revision)
		s.revision++
	}
	if s.mutation == AssumeTokenShown || s.mutation == AcceptDuplicateAsTokenShown && copied {
		r.Token = m.FencingToken
	}
	mc := m.ApplyHeartbeat(&r, now)
	if mc == nil {
		if cmds, ok := m.AnswerRetry(&r, ""); ok {
			f.token, f.commands = m.FencingToken, cmds
			sortRuns(f.commands)
			if !copied && s.workers[f.worker].pending == f {
				s.Events = append(s.Events, eventRetryAfterDuplicate)
				if r.Token < m.FencingToken {
					s.Events = append(s.Events, eventRetryAtNextLeader)
				}
			}
		}
		return // refused
	}
	f.token, f.commands = m.FencingToken, m.AnswerHeartbeat(mc, &r, now) // though nobody may wait for the answer any more
	if s.mutation == TreatResponsesAsUnreceived && len(mc.Tasks) > 0 {
		mc.DiscountAnswers()
	}
	sortRuns(f.commands)
	if s.mutation == ForgetByPush {
		s.forgetByPush(f, m.FencingToken)
	}
	if s.mutation == ForgetBeforeCommit {
		for _, t := range r.Tasks {
			if t.State == wire.TaskExited {
				f.commands = append(f.commands, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
			}
		}
	}
}

// sortRuns puts neighbouring commands of one kind in the order of their tasks:
// the leader's maps leave it open, and a replay must not differ.
func sortRuns(cmds []wire.Command) {
	for lo := 0; lo < len(cmds); {
		hi := lo + 1
		for hi < len(cmds) && cmds[hi].Op == cmds[lo].Op {
			hi++
		}
		slices.SortFunc(cmds[lo:hi], func(a, b wire.Command) int { return strings.Compare(a.Task, b.Task) })
		lo = hi
	}
}

// pass of time: answers on their way are given up, leases end, and the leader
// goes on only with knowledge as fresh as its renewal.
func (s *System) advanceTime() {
	s.step++
	for _, k := range s.workers {
		if k.pending != nil {
			s.abandonHeartbeat(k)
		}
	}
	s.renewLease()
	for _, k := range s.workers {
		if s.step-k.renewedAt < 2 {
			continue
		}
		ended := k.tasks
		k.tasks, k.renewedAt = nil, s.step
		k.epoch++
		for _, t := range ended {
			if t.state == wire.TaskRunning && s.scenario.Jobs[t.jobIndex].Kind == wire.KindGang {
				s.exitGangPeers(t)
			}
		}
	}
	for id, since := range s.cancelledAt {
		if s.step-since < cancelDeadlineSteps {
			continue
		}
		for _, k := range s.workers {
			for _, t := range k.tasks {
				if t.occupiesMachine() && s.scenario.Jobs[t.jobIndex].ID == id {
					s.violate("ran_cancelled", t.name+" is still on "+k.name)
				}
			}
		}
	}
}

// leaseValid says whether the leader's term is valid: it has lasted no longer than a step
// since its renewal was sent.
func (s *System) leaseValid() bool {
	return s.scenario.MaxStoreRefusals == 0 || s.mutation == IgnoreLeaderLease || s.step-s.leaseStart <= 1
}

// renewLease is the leader's renewal with its barrier, in the step that begins.
func (s *System) renewLease() {
	if s.storeRefuses {
		return
	}
	s.leaseStart = s.step
	if s.mutation != SkipReadBarrier {
		s.deliverWatch()
	}
}
