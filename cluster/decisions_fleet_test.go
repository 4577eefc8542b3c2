// Simulates the cloud and the workers for decisions_test.go.

package cluster

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// addMachine adds a machine whose worker sends heartbeats from readyAt on.
func (d *driver) addMachine(zone, typ string, spot bool, readyAt float64) *simWorker {
	d.machinesCreated++
	w := &simWorker{name: fmt.Sprintf("host-%06d", d.machinesCreated), zone: zone, typ: typ, spot: spot, readyAt: readyAt, epoch: 1, leaseRenewedAt: readyAt, images: map[string]bool{}}
	d.workers = append(d.workers, w)
	d.byName[w.name] = w
	return w
}

// machineCount returns the number of machines in the cloud.
func (d *driver) machineCount() (n int) {
	for _, w := range d.workers {
		if !w.gone {
			n++
		}
	}
	return n
}

// scaleOut rents machines as a leader does. The cloud may refuse some of them.
func (d *driver) scaleOut(wanted map[Offer]int) {
	offers := slices.Collect(maps.Keys(wanted))
	slices.SortFunc(offers, func(a, b Offer) int {
		return strings.Compare(fmt.Sprint(a.Type, a.Zone, a.Spot), fmt.Sprint(b.Type, b.Zone, b.Spot))
	})
	for _, o := range offers {
		d.scaleOutRecords++
		d.eventCounts["rental"]++
		rec := jobstore.ScaleOutRecord{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: wanted[o], AtMs: d.now().UnixMilli()}
		key := fmt.Sprintf("%sr-%d", jobstore.ScaleOutPrefix, d.scaleOutRecords)
		guards := []wire.Guard{d.model.PlanGuard(), {Key: key}}
		ops := []wire.Op{{Put: key, Value: rec}}
		d.recordTransaction("rental", guards, ops)
		if d.commit(guards, ops) != nil {
			continue
		}
		count := min(wanted[o], max(0, 26-d.machineCount()))
		if d.chance(20) {
			count = 0
		}
		var names []string
		for range count {
			readyAt := d.seconds() + d.between(10, 40)
			if d.chance(10) {
				readyAt = 1e9 // it never boots
			}
			names = append(names, d.addMachine(o.Zone, o.Type, o.Spot, readyAt).name)
		}
		d.eventCounts["machine rented"] += count
		if count < wanted[o] {
			d.eventCounts["refused rental"]++
			d.model.OfferRefused(o, d.now())
		}
		d.model.ScaledOut(o, names, d.now())
		rec.Machines = names
		d.write(wire.Op{Put: key, Value: rec})
	}
}

// runCloud scales in, and applies the cloud's list of machines.
func (d *driver) runCloud() {
	now := d.now()
	back := d.model.SelectScaleIn(now, 25*time.Second)
	d.recordDecision("returnable", back)
	if len(back) > 0 {
		d.eventCounts["scale-in"]++
		if d.writeLeaderRecord(jobstore.ScaleInKey, jobstore.ScaleInRecord{Machines: back}) && !d.chance(20) {
			for _, name := range back {
				d.eventCounts["machine returned"]++
				if w := d.byName[name]; w != nil {
					w.gone, w.tasks = true, nil
				}
				d.model.MachineGone(name, now)
			}
		}
	}
	var list []wire.ListedMachine
	for _, w := range d.workers {
		if w.gone {
			continue
		}
		l := wire.ListedMachine{Name: w.name, Addr: w.name + ":90", Type: w.typ, Zone: w.zone, Spot: w.spot, State: wire.MachineRunning, AgeS: d.seconds()}
		if d.seconds() < w.readyAt {
			l.State = wire.MachineBooting
		} else if w.dead && w.restartAt == 0 {
			l.State = wire.MachineFailed
		}
		list = append(list, l)
	}
	d.model.ApplyCloudList(list, now)
}

// Workers.

// heartbeat sends a heartbeat of a worker and executes the answer.
func (d *driver) heartbeat(w *simWorker) {
	now := d.seconds()
	if w.gone || now < w.readyAt {
		return
	}
	if w.interruptedAt > 0 && now >= w.interruptedAt {
		d.eventCounts["machine lost"]++
		w.gone, w.tasks = true, nil
		return
	}
	if w.dead {
		if w.restartAt > 0 && now >= w.restartAt {
			w.dead, w.restartAt, w.deafUntil, w.leaseRenewedAt = false, 0, 0, now
			w.epoch++
			w.seq, w.tasks = 0, nil
			clear(w.images)
		}
		return
	}
	if now-w.leaseRenewedAt >= d.settings.Cluster.Workers.LeaseS {
		d.eventCounts["lease expiry"]++
		w.epoch++
		w.seq, w.tasks, w.leaseRenewedAt = 0, nil, now
	}
	d.advanceTasks(w)
	w.seq++
	r := &wire.Heartbeat{Machine: w.name, Addr: w.name + ":90", Type: w.typ, Zone: w.zone, Spot: w.spot, AgentEpoch: w.epoch, Seq: w.seq, Token: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	if w.interruptedAt > 0 {
		left := w.interruptedAt - now
		r.NoticeS = &left
	}
	stale := w.lastHeartbeat
	w.lastHeartbeat = r
	if d.chance(3) {
		return // the heartbeat is lost
	}
	cmds, ok := d.handle(w, r)
	if stale != nil && d.chance(3) {
		d.eventCounts["stale heartbeat"]++
		d.handle(w, stale)
	}
	if d.chance(3) {
		d.eventCounts["repeated heartbeat"]++
		d.handle(w, r)
	}
	if !ok || now < w.deafUntil || d.chance(3) {
		return
	}
	w.token, w.leaseRenewedAt = d.model.FencingToken, now
	d.execute(w, cmds)
}

// handle passes a heartbeat to the leader as a node does. It returns false if the leader gives no
// answer.
func (d *driver) handle(w *simWorker, r *wire.Heartbeat) ([]wire.Command, bool) {
	now, via := d.now(), []string{"n-1", "n-2"}[d.rng.IntN(2)]
	if d.chance(80) {
		via = "n-1"
	}
	isNewer := d.model.IsNewerHeartbeat(r.Machine, r.AgentEpoch, r.Seq)
	mc := d.model.ApplyHeartbeat(r, now)
	var cmds []wire.Command
	how := "answer"
	if mc == nil {
		var ok bool
		if cmds, ok = d.model.AnswerRetry(r, via); !ok {
			d.recordDecision("refused", w.name, isNewer)
			return nil, false
		}
		how = "repeated"
	} else {
		d.model.RecordReceivingNode(mc, via, now)
		cmds = d.model.AnswerHeartbeat(mc, r, now)
	}
	// Commands for the tasks of a machine are in the iteration order of a map.
	sortWithinOps(cmds)
	d.recordDecision(how, w.name, isNewer, d.decoded(cmds))
	return cmds, true
}

// sortWithinOps sorts successive commands with the same operation by the names of their tasks.
func sortWithinOps(cmds []wire.Command) {
	for lo := 0; lo < len(cmds); {
		hi := lo + 1
		for hi < len(cmds) && cmds[hi].Op == cmds[lo].Op {
			hi++
		}
		slices.SortStableFunc(cmds[lo:hi], func(a, b wire.Command) int { return strings.Compare(a.Task, b.Task) })
		lo = hi
	}
}

// execute executes commands as a worker does.
func (d *driver) execute(w *simWorker, cmds []wire.Command) {
	for _, c := range cmds {
		i := slices.IndexFunc(w.tasks, func(t *simTask) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch c.Op {
		case wire.OpStart:
			if i < 0 {
				d.eventCounts["launch"]++
				w.tasks = append(w.tasks, d.launch(w, c))
			}
		case wire.OpStop:
			d.eventCounts["stop"]++
			if i >= 0 && w.tasks[i].State != wire.TaskExited {
				d.stop(w.tasks[i], c)
			}
		case wire.OpForget:
			d.eventCounts["forget"]++
			if i >= 0 && w.tasks[i].State == wire.TaskExited {
				w.tasks = slices.Delete(w.tasks, i, i+1)
			}
		}
	}
}

// launch returns the task that a start command launches on a worker.
func (d *driver) launch(w *simWorker, c wire.Command) *simTask {
	t := &simTask{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}}
	id, n, _ := wire.ParseTaskName(c.Task)
	j := d.model.Job(id)
	if j == nil || n >= len(j.Tasks) {
		t.State, t.Why = wire.TaskExited, wire.ExitUnknown
		return t
	}
	t.image = j.Spec.Image
	t.until = d.seconds()
	if !w.images[t.image] {
		t.until += j.Spec.ImageGB
	}
	if d.chance(5) {
		d.eventCounts["start refused"]++
		t.exitReason = []string{wire.ExitNoRoom, wire.ExitBusy, wire.ExitError, wire.ExitUnknown}[d.rng.IntN(4)]
	}
	if j.Gang() {
		d.eventCounts["gang"]++
	}
	if _, long := jobstore.ParseJobKey(jobstore.JobKey(id)); long && !wire.ValidUserID(id) {
		d.eventCounts["reserved task"]++
	}
	return t
}

// stop stops a task. Within its grace period a running task may save a checkpoint first.
func (d *driver) stop(t *simTask, c wire.Command) {
	id, _, _ := wire.ParseTaskName(t.Task)
	if j := d.model.Job(id); c.GraceS != nil && *c.GraceS > 0 && t.State == wire.TaskRunning && j != nil && j.Spec.CheckpointS > 0 {
		t.State, t.until = wire.TaskSaving, d.seconds()+min(*c.GraceS, j.Spec.SaveS)
		return
	}
	t.State, t.Why = wire.TaskExited, wire.ExitStopped
}

// advanceTasks advances the tasks of a worker.
func (d *driver) advanceTasks(w *simWorker) {
	now := d.seconds()
	for _, t := range w.tasks {
		if now < t.until || t.State == wire.TaskExited {
			continue
		}
		id, _, _ := wire.ParseTaskName(t.Task)
		j := d.model.Job(id)
		switch t.State {
		case wire.TaskFetching:
			w.images[t.image] = true
			switch {
			case t.exitReason != "":
				t.State, t.Why = wire.TaskExited, t.exitReason
			case j != nil && j.Gang():
				t.State, t.until = wire.TaskWaiting, now
				d.startGang(j, t, now)
			default:
				t.State, t.until = wire.TaskRunning, now+d.taskSeconds[id]
			}
		case wire.TaskWaiting:
			if j == nil || now-t.until > d.settings.Cluster.Workers.GangWaitS {
				t.State, t.Why = wire.TaskExited, wire.ExitAlone
			}
		case wire.TaskRunning:
			t.State, t.Why = wire.TaskExited, wire.ExitDone
		case wire.TaskSaving:
			t.State, t.Why, t.Saved = wire.TaskExited, wire.ExitStopped, true
		}
	}
}

// startGang starts a gang once all its tasks wait for each other.
func (d *driver) startGang(j *Job, t *simTask, now float64) {
	var waiting []*simTask
	for _, w := range d.workers {
		for _, o := range w.tasks {
			if id, _, _ := wire.ParseTaskName(o.Task); id == j.ID && o.Attempt == t.Attempt && o.State == wire.TaskWaiting {
				waiting = append(waiting, o)
			}
		}
	}
	if len(waiting) < len(j.Tasks) {
		return
	}
	for _, o := range waiting {
		o.State, o.until = wire.TaskRunning, now+d.taskSeconds[j.ID]
	}
}
