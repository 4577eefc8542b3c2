package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// maxCommands bounds one answer, but for stops; what is left goes with the next one.
	maxCommands = 300
	// maxStops bounds its stops: as many as fit into the 64 KiB of an answer, since
	// an answer renews the lease of what it leaves running.
	maxStops = 800
)

// ApplyHeartbeat takes a worker's message in. It returns nil for one that is older
// than what is known, or of a machine that is gone.
func (m *Model) ApplyHeartbeat(r *wire.Report, now time.Time) *Machine {
	mc := m.findOrAddMachine(r.Machine, now)
	if mc.Gone {
		return nil
	}
	// A message that was held back, or a copy, says what was, not what is.
	if !mc.isNewer(r.Session, r.Seq) {
		return nil
	}
	if mc.AgentEpoch == 0 {
		m.learnBootTime(mc, now)
	}
	m.updateReachability(mc, r, now)
	if !mc.Up {
		m.log.Info("machine up", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "session", r.Session)
		mc.IdleSince = now
	}
	if mc.AgentEpoch != r.Session {
		mc.cachedImages = nil
	}
	mc.Up, mc.AgentEpoch, mc.Seq, mc.Addr, mc.LastSeen = true, r.Session, r.Seq, r.Addr, now
	mc.TokenShown = r.Token == m.FencingToken
	m.describe(mc, r.Type, r.Zone, r.Spot)
	if r.NoticeS == nil {
		mc.InterruptionAt = time.Time{} // what was known came with an older message
	} else if mc.InterruptionAt.IsZero() {
		mc.InterruptionAt = now.Add(config.Seconds(*r.NoticeS))
		m.log.Info("notice", "machine", mc.Name, "seconds", *r.NoticeS)
	}
	m.reconcile(mc, r, now)
	return mc
}

func (mc *Machine) isNewer(session, seq uint64) bool {
	return session > mc.AgentEpoch || session == mc.AgentEpoch && seq > mc.Seq
}

// IsNewerHeartbeat says whether a worker's message would be taken in.
func (m *Model) IsNewerHeartbeat(machine string, session, seq uint64) bool {
	i, known := m.machineIndex[machine]
	return !known || !m.Machines[i].Gone && m.Machines[i].isNewer(session, seq)
}

// reconcile compares a newer report with what the model has on the machine.
func (m *Model) reconcile(mc *Machine, r *wire.Report, now time.Time) {
	listed := make(map[TaskRef]bool, len(r.Tasks))
	named := make(map[exitKey]bool, len(r.Tasks))
	mc.orphaned = placement.Res{}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		named[exitKey{t.Task, t.Attempt}] = true
		id, n, ok := wire.SplitTask(t.Task)
		if !ok {
			continue
		}
		j := m.Job(id)
		if j == nil || n >= len(j.Tasks) {
			continue
		}
		ref := TaskRef{Job: j.Index, Task: int32(n)}
		p := j.Tasks[n].Placement
		if p == nil || p.Machine != mc.Index || p.Attempt != t.Attempt {
			if t.State == wire.TaskExited {
				m.applyUnplacedExit(j, int32(n), mc, t, now)
			} else {
				mc.orphaned = mc.orphaned.Add(j.Need, 1)
			}
			continue
		}
		listed[ref] = true
		if t.State == wire.TaskExited && t.Why != wire.WhyDone && p.Inherited && !mc.TokenShown {
			// The report may be a late copy: a gang's task that was refused is tried
			// again with the same attempt, and may be on the machine since.
			continue
		}
		if p.LaunchSent && p.ReportedState == notReported && p.LaunchEpoch == r.Session {
			m.markReachable(mc, now)
		}
		m.applyTaskState(j, int32(n), mc, p, t, now)
	}
	for k := range mc.reportedExits {
		if !named[k] {
			delete(mc.reportedExits, k)
		}
	}
	if !mc.TokenShown {
		// An answer of an earlier leader may still be on its way to a worker
		// that has not shown this leader's token: absence proves nothing.
		return
	}
	for ref := range mc.Tasks {
		if listed[ref] {
			continue
		}
		j := m.Jobs[ref.Job]
		p := j.Tasks[ref.Task].Placement
		switch {
		case p.Inherited && p.Stop == nil && j.reservation != nil && r.Session == 1:
			// No lease of this worker has ever ended, and what it once had it
			// lists until its outcome is committed: the launch never reached it.
			p.Inherited, p.LaunchSent = false, false
			continue
		case p.Inherited:
		case !p.LaunchSent:
			continue // not launched yet
		case p.LaunchEpoch == r.Session && p.LaunchSeq >= r.Seq:
			continue
		case p.LaunchEpoch == r.Session && p.ReportedState == notReported && p.Stop == nil:
			// The answer with the launch was lost, and cannot be executed any
			// more, since the worker has sent another report.
			p.LaunchSent = false
			if (heartbeatID{p.LaunchEpoch, p.LaunchSeq}) != mc.reachability.answeredTwice {
				m.markUnreachable(mc, "launch", now)
			}
			continue
		}
		m.taskLost(j, ref.Task, "not on its machine", now)
	}
}

// applyTaskState takes in what a report says of a task that is placed there.
func (m *Model) applyTaskState(j *Job, task int32, mc *Machine, p *Placement, t *wire.TaskReport, now time.Time) {
	p.LaunchSent = true
	switch t.State {
	case wire.TaskFetching:
		p.ReportedState = reportedFetching
	case wire.TaskWaiting:
		p.ReportedState = reportedWaiting
		m.hasImage(mc, j)
	case wire.TaskRunning:
		if p.ReportedState != reportedRunning {
			p.ReportedState, p.RunningSince = reportedRunning, now
			if !p.LaunchSentAt.IsZero() {
				m.Observer.Running(now.Sub(p.LaunchSentAt).Seconds())
			}
			if !p.Inherited && !j.failures.atFault() {
				m.startupAndSpreadOf(j).addStartDelay(now.Sub(p.PlacedAt).Seconds())
			}
			m.log.Debug("running", "task", t.Task, "attempt", t.Attempt, "machine", mc.Name, "sincePlaced", now.Sub(p.PlacedAt).Seconds())
		}
		if now.Sub(p.RunningSince).Seconds() >= provenAfterSeconds {
			m.clearFault(j)
		}
		if j.FirstRunAt.IsZero() {
			j.FirstRunAt = now
			m.log.Info("job runs", "id", j.ID, "sinceAccept", now.Sub(j.AcceptedAt).Round(time.Millisecond).Seconds())
		}
		j.GangStarted = true
		m.hasImage(mc, j)
	case wire.TaskSaving:
		p.ReportedState = reportedSaving
	case wire.TaskExited:
		m.applyExit(j, task, mc, p, t, now)
	}
}

func (m *Model) hasImage(mc *Machine, j *Job) { m.addImage(mc, j.Image) }

// addImage makes an image a machine's most recently used one.
func (m *Model) addImage(mc *Machine, image int32) {
	for i, im := range mc.cachedImages {
		if im == image {
			mc.cachedImages = append(mc.cachedImages[:i], mc.cachedImages[i+1:]...)
			break
		}
	}
	mc.cachedImages = append(mc.cachedImages, image)
	if mc.Type < 0 {
		return
	}
	total := 0.0
	for _, im := range mc.cachedImages {
		total += m.imageSize[im]
	}
	for len(mc.cachedImages) > 1 && total > m.MachineTypes[mc.Type].CacheGB {
		total -= m.imageSize[mc.cachedImages[0]]
		mc.cachedImages = mc.cachedImages[1:]
	}
}

func (m *Model) rememberExit(j *Job, task int32, mc *Machine, t *wire.TaskReport) {
	n := int(task) / jobstore.ChunkSize
	mc.reportedExits[exitKey{t.Task, t.Attempt}] = &reportedExit{job: j.Index, chunk: n, generation: j.Chunks[n].Generation}
}

// applyExit takes in the end of a task's attempt.
func (m *Model) applyExit(j *Job, task int32, mc *Machine, p *Placement, t *wire.TaskReport, now time.Time) {
	ran := 0.0
	if !p.RunningSince.IsZero() {
		ran = now.Sub(p.RunningSince).Seconds()
	}
	m.log.Debug("exited", "task", t.Task, "attempt", t.Attempt, "why", t.Why, "saved", t.Saved, "ran", ran, "machine", mc.Name)
	ref := TaskRef{Job: j.Index, Task: task}
	if t.Why == wire.WhyDone {
		m.hasImage(mc, j)
		m.clearFault(j)
		m.measureSlowness(j, mc, p, now)
		m.recordRunTime(j, task, p, now)
		if j.Gang() {
			// They complete together: if one task is done, all are.
			for i := range j.Tasks {
				m.markDone(j, int32(i), now)
			}
		} else {
			m.markDone(j, task, now)
		}
		m.quarantineFailedMove(ref, "", now)
		m.rememberExit(j, task, mc, t)
		return
	}
	wait := time.Duration(0)
	failed := ""
	how := uint8(jobstore.OutcomeRefused)
	switch t.Why {
	case wire.WhyError:
		how = jobstore.OutcomeFailed
		if j.reservation == nil { // what such a job runs differs from task to task
			wait = m.taskFailed(j, task, mc, now)
		}
		failed = "error"
	case wire.WhyNoRoom, wire.WhyBusy:
		wait = time.Second
		m.avoidMachine(j, mc, now.Add(5*time.Second))
		failed = t.Why
	case wire.WhyUnknown:
		wait = 3 * time.Second
		failed = t.Why
	case wire.WhyAlone:
		j.GangEnding = true
		wait = time.Second
	case wire.WhyPeers, wire.WhyStopped:
		j.GangEnding = true
		how = stopReason(p)
	}
	j.recordProgress(task, p, t.Saved, now)
	m.removePlacement(j, task, now)
	j.Tasks[task].NotBefore = now.Add(wait).UnixMilli()
	m.finishOnlyAttempt(j, task, how, now)
	m.rememberExit(j, task, mc, t)
	m.quarantineFailedMove(ref, failed, now)
	m.afterGangLoss(j, task, now)
}

// applyUnplacedExit takes in an exit that the model has no place for: the outcome is
// known already, or it is that of an attempt the model had given up.
func (m *Model) applyUnplacedExit(j *Job, task int32, mc *Machine, t *wire.TaskReport, now time.Time) {
	if mc.reportedExits[exitKey{t.Task, t.Attempt}] != nil {
		return
	}
	if t.Why == wire.WhyDone && !j.Cancelled && j.Tasks[task].Phase == TaskIdle {
		m.markDone(j, task, now)
	}
	m.rememberExit(j, task, mc, t)
}

// taskLost takes in that a task is gone without having said how.
func (m *Model) taskLost(j *Job, task int32, why string, now time.Time) {
	m.log.Info("task lost", "job", j.ID, "task", task, "why", why)
	if p := j.Tasks[task].Placement; p != nil {
		j.recordProgress(task, p, false, now)
	}
	m.removePlacement(j, task, now)
	m.finishOnlyAttempt(j, task, jobstore.OutcomeLost, now)
	m.quarantineFailedMove(TaskRef{Job: j.Index, Task: task}, "", now)
	m.afterGangLoss(j, task, now)
}

// afterGangLoss goes on after a gang lost a task. A gang that has not started keeps
// waiting, and a replacement with the same attempt completes it; what is left
// of one that ran is stopped, unless it is saving.
func (m *Model) afterGangLoss(j *Job, task int32, now time.Time) {
	if !j.Gang() {
		return
	}
	if j.PlacedTasks == 0 {
		j.GangStarted, j.GangEnding = false, false
		return
	}
	stopping := false
	for i := range j.Tasks {
		if p := j.Tasks[i].Placement; p != nil && p.Stop != nil {
			stopping = true
		}
	}
	// What is left of a gang that fails everywhere would hold its places until
	// it has waited for the others in vain.
	if stopping || !j.GangStarted && !j.GangEnding && !j.failures.atFault() {
		return
	}
	m.stopAllTasks(j, 0, "its gang lost a task", now)
}

func (m *Model) avoidMachine(j *Job, mc *Machine, until time.Time) {
	if j.avoidUntil == nil {
		j.avoidUntil = map[int32]time.Time{}
	}
	j.avoidUntil[mc.Index] = until
}

// launchable says whether every record that a launch of this task rests on is
// committed; a gang launches as a whole.
func launchable(j *Job, task int32) bool {
	if j.Cancelled || j.Finished || j.awaitsLaunch(int(task)) {
		return false
	}
	if !j.Gang() {
		// Its own record, not its neighbours': where tasks of one chunk were
		// placed again and again, none of them was launched for seconds.
		return j.Chunks[int(task)/jobstore.ChunkSize].CommittedGen >= j.Tasks[task].Placement.chunkGeneration
	}
	for i := range j.Chunks {
		if c := &j.Chunks[i]; c.CommittedGen < c.PlacedGen {
			return false
		}
	}
	return true
}

// AnswerRetry is for a report that Observe has not taken in. If it is the newest that is
// known of its machine, it is an idempotent retry: this one and the one before are the
// same message, of which one is a copy, and the worker waits for the answer to one of
// them. Refused, it would go on to the next node, a second of its lease later, because
// a copy was faster. The caller must be sure of its lease.
//
// The answer renews the worker's lease from when the report was sent, which was before
// this leader first received it. So no more is counted for it than that: with a time
// of its own, copies of a dead machine's last report would put off for as long as they
// come what is to start again elsewhere. It tells all stops, as every answer that
// renews a lease, and nothing that is noted as told: launches and outcomes to be
// forgotten are the other answer's. A worker takes one of the two at most, and none
// once it has sent its next report, so that a launch which that one does not list was
// not executed, and never will be.
func (m *Model) AnswerRetry(r *wire.Report, via string) (cmds []wire.Command, ok bool) {
	i, known := m.machineIndex[r.Machine]
	if !known {
		return nil, false
	}
	mc := m.Machines[i]
	if mc.Gone || !mc.Up || mc.AgentEpoch != r.Session || mc.Seq != r.Seq {
		return nil, false
	}
	if mc.LastAnswered.Before(mc.LastSeen) {
		mc.LastAnswered = mc.LastSeen // the other has had no answer, or not yet
	}
	mc.answeredAgain(via)
	return m.stopCommands(mc, r), true
}

// AnswerHeartbeat makes the commands that answer a report just observed. Launches are
// noted as sent with it.
func (m *Model) AnswerHeartbeat(mc *Machine, r *wire.Report, now time.Time) []wire.Command {
	m.Observer.LeaseLeft(m.leaseEnd(mc).Sub(now).Seconds())
	mc.LastAnswered, mc.reachability.answerPending, mc.reachability.answeredSeq = now, true, r.Seq
	// Stops come first: an answer renews the worker's lease, so that a task which it
	// should have stopped and did not may stay for another lease.
	out := m.stopCommands(mc, r)
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State != wire.TaskExited {
			continue
		}
		if len(out) >= maxCommands {
			return out
		}
		e := mc.reportedExits[exitKey{t.Task, t.Attempt}]
		if e != nil {
			o := m.Jobs[e.job]
			if o != nil && !o.Finished && !o.Cancelled && o.Chunks[e.chunk].CommittedGen < e.generation {
				continue // the outcome is not committed yet
			}
		}
		if e == nil {
			if p := m.placementOf(mc, t); p != nil {
				continue // and not taken in yet
			}
		}
		mc.reachability.pendingForgets = append(mc.reachability.pendingForgets, exitKey{t.Task, t.Attempt})
		out = append(out, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
	}
	for ref := range mc.Tasks {
		if len(out) >= maxCommands {
			return out
		}
		j := m.Jobs[ref.Job]
		p := j.Tasks[ref.Task].Placement
		if p.Stop == nil && !p.LaunchSent && !p.Inherited && launchable(j, ref.Task) && mc.InterruptionAt.IsZero() && !mc.unreachable() {
			name := wire.TaskName(j.ID, int(ref.Task))
			p.LaunchSent, p.LaunchSentAt, p.LaunchEpoch, p.LaunchSeq = true, now, r.Session, r.Seq
			m.Observer.Launched(now.Sub(p.PlacedAt).Seconds())
			out = append(out, wire.Command{Op: wire.OpStart, Task: name, Attempt: p.Attempt})
			m.log.Debug("launch", "task", name, "attempt", p.Attempt, "machine", mc.Name, "sincePlaced", now.Sub(p.PlacedAt).Seconds())
		}
	}
	if mc.unreachable() && mc.TokenShown {
		if c, ok := m.reachabilityProbe(mc); ok {
			out = append(out, c)
		}
	}
	return out
}

// placementOf is the place of a task that a report lists, nil where that attempt has none
// on this machine.
func (m *Model) placementOf(mc *Machine, t *wire.TaskReport) *Placement {
	id, n, ok := wire.SplitTask(t.Task)
	if !ok {
		return nil
	}
	j := m.Job(id)
	if j == nil || n >= len(j.Tasks) {
		return nil
	}
	if p := j.Tasks[n].Placement; p != nil && p.Machine == mc.Index && p.Attempt == t.Attempt {
		return p
	}
	return nil
}

// stopCommands are the stops that answer a report: of what it lists and has no place
// there, of what is to stop, and of what may yet arrive there and is to stop.
func (m *Model) stopCommands(mc *Machine, r *wire.Report) []wire.Command {
	var out []wire.Command
	stop := func(name string, attempt uint64, grace float64) {
		if len(out) < maxStops {
			out = append(out, wire.Command{Op: wire.OpStop, Task: name, Attempt: attempt, GraceS: &grace})
		}
	}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State == wire.TaskExited {
			continue
		}
		if p := m.placementOf(mc, t); p == nil {
			stop(t.Task, t.Attempt, 0)
		} else if p.Stop != nil && (p.ReportedState != reportedSaving || p.Stop.Grace == 0) {
			stop(t.Task, t.Attempt, p.Stop.Grace)
		}
	}
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		if p := j.Tasks[ref.Task].Placement; p.Stop != nil && p.ReportedState == notReported {
			stop(wire.TaskName(j.ID, int(ref.Task)), p.Attempt, p.Stop.Grace)
		}
	}
	return out
}

// Push is a stop to be sent to a worker's own address.
type Push struct {
	Machine  string
	Addr     string
	Commands wire.DirectCommands
}

// StopPushes returns the stops that have not been sent directly yet. They
// are repeated in answers to reports until the tasks are gone.
func (m *Model) StopPushes(now time.Time) []Push {
	byMachine := map[int32]*Push{}
	var order []int32
	for _, ref := range m.unpushedStops {
		j := m.Jobs[ref.Job]
		if j == nil {
			continue
		}
		p := j.Tasks[ref.Task].Placement
		if p == nil || p.Stop == nil || !p.Stop.PushedAt.IsZero() {
			continue
		}
		mc := m.Machines[p.Machine]
		if mc.Addr == "" || !mc.Up {
			continue
		}
		p.Stop.PushedAt = now
		d := byMachine[mc.Index]
		if d == nil {
			d = &Push{Machine: mc.Name, Addr: mc.Addr, Commands: wire.DirectCommands{Token: m.FencingToken, Session: mc.AgentEpoch}}
			byMachine[mc.Index] = d
			order = append(order, mc.Index)
		}
		g := p.Stop.Grace
		d.Commands.Commands = append(d.Commands.Commands,
			wire.Command{Op: wire.OpStop, Task: wire.TaskName(j.ID, int(ref.Task)), Attempt: p.Attempt, GraceS: &g})
	}
	m.unpushedStops = m.unpushedStops[:0]
	out := make([]Push, 0, len(order))
	for _, i := range order {
		out = append(out, *byMachine[i])
	}
	return out
}

// leaseEnd says since when a machine that does not report can have no tasks.
func (m *Model) leaseEnd(mc *Machine) time.Time {
	last := mc.LastAnswered
	if last.Before(m.ElectedAt) {
		last = m.ElectedAt
	}
	lease := m.settings.Cluster.Workers.LeaseS
	return last.Add(config.Seconds(lease*(1+4*m.clockDrift)) + 300*time.Millisecond)
}

// ResumeAfterStall takes in that the leader's process stood still for so long, until
// then, while its clocks ran on.
func (m *Model) ResumeAfterStall(resumed time.Time, stood time.Duration) {
	m.stallEnded, m.stallLasted = resumed, stood
}

// recoveringFromStall says whether the leader has just gone on after standing still: what
// workers have reported meanwhile is read before any of them is called silent.
func (m *Model) recoveringFromStall(now time.Time) bool {
	return !m.stallEnded.IsZero() && now.Sub(m.stallEnded) < config.Seconds(m.settings.Cluster.Workers.ReportS)+time.Second
}

// silentFor is how long nothing has been heard of a machine, not counting the
// time in which the leader could not listen.
func (m *Model) silentFor(mc *Machine, now time.Time) time.Duration {
	d := now.Sub(mc.LastSeen)
	if mc.LastSeen.Before(m.stallEnded) {
		d -= m.stallLasted
	}
	return d
}

// Tick takes the passing of time in: leases that are over, notices.
func (m *Model) Tick(now time.Time) {
	m.tickWindows(now)
	for _, mc := range m.Machines {
		if mc.Gone {
			continue
		}
		if (mc.Up || len(mc.Tasks) > 0) && now.After(m.leaseEnd(mc)) && !m.recoveringFromStall(now) {
			if mc.Up {
				m.log.Info("machine silent past its lease", "machine", mc.Name, "tasks", len(mc.Tasks))
			}
			mc.Up, mc.TokenShown = false, false
			mc.AgentEpoch++ // whatever the ended session still sends is old
			mc.Seq = 0
			mc.orphaned = placement.Res{}
			m.loseTasksOn(mc, "its machine's lease is over", now)
		}
		if len(mc.Tasks) > 0 && !m.ready(mc, now) {
			m.revokeUnlaunched(mc, now)
		}
		if !mc.InterruptionAt.IsZero() && mc.Up {
			m.evacuate(mc, now)
		}
	}
	m.tickPools(now)
}

// revokeUnlaunched takes back what was placed on a machine that has fallen silent and
// was never launched: it is certainly not there, and need not wait for the
// machine's lease.
func (m *Model) revokeUnlaunched(mc *Machine, now time.Time) {
	for _, ref := range sortedRefs(mc.Tasks) {
		j := m.Jobs[ref.Job]
		// A reserved place is promised: it is kept while its machine may return.
		if p := j.Tasks[ref.Task].Placement; p != nil && !p.LaunchSent && !p.Inherited && j.reservation == nil {
			m.log.Debug("recalled", "job", j.ID, "task", ref.Task, "machine", mc.Name)
			m.removePlacement(j, ref.Task, now)
		}
	}
}

func (m *Model) loseTasksOn(mc *Machine, why string, now time.Time) {
	for _, ref := range sortedRefs(mc.Tasks) {
		if j := m.Jobs[ref.Job]; j.Tasks[ref.Task].Placement != nil {
			m.taskLost(j, ref.Task, why, now)
		}
	}
}

// evacuate stops what can save on a machine that is about to be taken.
func (m *Model) evacuate(mc *Machine, now time.Time) {
	for _, ref := range sortedRefs(mc.Tasks) {
		j := m.Jobs[ref.Job]
		p := j.Tasks[ref.Task].Placement
		if p == nil || p.Stop != nil {
			continue
		}
		if p.ReportedState >= reportedRunning && j.Spec.CheckpointS <= 0 {
			continue // nothing to save: it may just finish in time
		}
		m.StopTask(ref, "notice", now)
	}
}

// MachineGone takes in that a machine is certainly gone.
func (m *Model) MachineGone(name string, now time.Time) {
	i, ok := m.machineIndex[name]
	if !ok {
		return
	}
	mc := m.Machines[i]
	if mc.Gone {
		return
	}
	mc.Gone, mc.Up = true, false
	m.log.Info("machine gone", "machine", name)
	m.loseTasksOn(mc, "its machine is gone", now)
}
