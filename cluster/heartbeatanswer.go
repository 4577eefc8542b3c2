package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// maxCommands bounds one answer, but for stops; what is left goes with the next one.
	maxCommands = 300
	// maxStops bounds its stops: as many as fit into the 64 KiB of an answer, since
	// an answer renews the lease of what it leaves running.
	maxStops = 800
)

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

// AnswerRetry is for a report that ApplyHeartbeat has not taken in. If it is the newest that is
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
	mc.LastAnswered = now
	mc.reachability.answered(r.Seq)
	// Stops come first: an answer renews the worker's lease, so that a task which it
	// should have stopped and did not may stay for another lease.
	out := m.stopCommands(mc, r)
	out, full := m.addForgets(out, mc, r)
	if full {
		return out
	}
	out, full = m.addLaunches(out, mc, r, now)
	if full {
		return out
	}
	if mc.unreachable() && mc.TokenShown {
		if c, ok := m.reachabilityProbe(mc); ok {
			out = append(out, c)
		}
	}
	return out
}

// addForgets tells the worker to forget the exits whose outcome is committed. full says
// that the answer holds no more.
func (m *Model) addForgets(out []wire.Command, mc *Machine, r *wire.Report) (cmds []wire.Command, full bool) {
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.State != wire.TaskExited {
			continue
		}
		if len(out) >= maxCommands {
			return out, true
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
		mc.reachability.forgetSent(exitKey{t.Task, t.Attempt})
		out = append(out, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
	}
	return out, false
}

// addLaunches launches what is placed on the machine and committed, and notes it as sent
// with this answer. full says that the answer holds no more.
func (m *Model) addLaunches(out []wire.Command, mc *Machine, r *wire.Report, now time.Time) (cmds []wire.Command, full bool) {
	for ref := range mc.Tasks {
		if len(out) >= maxCommands {
			return out, true
		}
		j := m.Jobs[ref.Job]
		p := j.Tasks[ref.Task].Placement
		if p.Stop == nil && !p.LaunchSent && !p.Inherited && launchable(j, ref.Task) && mc.InterruptionAt.IsZero() && !mc.unreachable() {
			name := wire.TaskName(j.ID, int(ref.Task))
			p.LaunchSent, p.LaunchSentAt, p.LaunchEpoch, p.LaunchSeq = true, now, r.Session, r.Seq
			m.Observer.Launched(now.Sub(p.PlacedAt).Seconds())
			out = append(out, wire.Command{Op: wire.OpStart, Task: name, Attempt: p.Attempt})
			m.log.Debug("task launch sent", "task", name, "attempt", p.Attempt, "machine", mc.Name, "sincePlaced", now.Sub(p.PlacedAt).Seconds())
		}
	}
	return out, false
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
