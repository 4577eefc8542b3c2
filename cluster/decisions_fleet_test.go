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

// This file is the cloud and the workers of the cluster that decisions_test.go simulates.

func (d *driver) addMachine(zone, typ string, spot bool, boots float64) *simWorker {
	d.named++
	w := &simWorker{name: fmt.Sprintf("host-%06d", d.named), zone: zone, typ: typ, spot: spot, boots: boots, epoch: 1, renewed: boots, images: map[string]bool{}}
	d.workers = append(d.workers, w)
	d.byName[w.name] = w
	return w
}

func (d *driver) there() (n int) {
	for _, w := range d.workers {
		if !w.gone {
			n++
		}
	}
	return n
}

// rent scales out, as a leader does.
func (d *driver) rent(wants map[Offer]int) {
	offers := slices.Collect(maps.Keys(wants))
	slices.SortFunc(offers, func(a, b Offer) int {
		return strings.Compare(fmt.Sprint(a.Type, a.Zone, a.Spot), fmt.Sprint(b.Type, b.Zone, b.Spot))
	})
	for _, o := range offers {
		d.bons++
		d.met["rental"]++
		rec := jobstore.ScaleOutRecord{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: wants[o], AtMs: d.now().UnixMilli()}
		key := fmt.Sprintf("%sr-%d", jobstore.ScaleOutPrefix, d.bons)
		guards := []wire.Guard{d.m.PlanGuard(), {Key: key}}
		ops := []wire.Op{{Put: key, Value: rec}}
		d.noteTxn("rental", guards, ops)
		if d.commit(guards, ops) != nil {
			continue
		}
		count := min(wants[o], max(0, 26-d.there()))
		if d.chance(20) {
			count = 0
		}
		var names []string
		for range count {
			boots := d.seconds() + d.between(10, 40)
			if d.chance(10) {
				boots = 1e9 // it never comes up
			}
			names = append(names, d.addMachine(o.Zone, o.Type, o.Spot, boots).name)
		}
		d.met["machine rented"] += count
		if count < wants[o] {
			d.met["refused rental"]++
			d.m.OfferRefused(o, d.now())
		}
		d.m.ScaledOut(o, names, d.now())
		rec.Machines = names
		d.write(wire.Op{Put: key, Value: rec})
	}
}

// runCloud scales in, and applies the cloud's list of machines.
func (d *driver) runCloud() {
	now := d.now()
	back := d.m.SelectScaleIn(now, 25*time.Second)
	d.note("returnable", back)
	if len(back) > 0 {
		d.met["return"]++
		if d.put(jobstore.ScaleInKey, jobstore.ScaleInRecord{Machines: back}) && !d.chance(20) {
			for _, name := range back {
				d.met["machine returned"]++
				if w := d.byName[name]; w != nil {
					w.gone, w.tasks = true, nil
				}
				d.m.MachineGone(name, now)
			}
		}
	}
	var list []wire.ListedMachine
	for _, w := range d.workers {
		if w.gone {
			continue
		}
		l := wire.ListedMachine{Name: w.name, Addr: w.name + ":90", Type: w.typ, Zone: w.zone, Spot: w.spot, State: wire.MachineRunning, AgeS: d.seconds()}
		if d.seconds() < w.boots {
			l.State = wire.MachineBooting
		} else if w.dead && w.backAt == 0 {
			l.State = wire.MachineFailed
		}
		list = append(list, l)
	}
	d.m.ApplyCloudList(list, now)
}

// Workers.

// heartbeat sends a heartbeat of a worker and executes the answer.
func (d *driver) heartbeat(w *simWorker) {
	now := d.seconds()
	if w.gone || now < w.boots {
		return
	}
	if w.notice > 0 && now >= w.notice {
		d.met["machine lost"]++
		w.gone, w.tasks = true, nil
		return
	}
	if w.dead {
		if w.backAt > 0 && now >= w.backAt {
			w.dead, w.backAt, w.deafTo, w.renewed = false, 0, 0, now
			w.epoch++
			w.seq, w.tasks = 0, nil
			clear(w.images)
		}
		return
	}
	if now-w.renewed >= d.cfg.Cluster.Workers.LeaseS {
		d.met["lease expiry"]++
		w.epoch++
		w.seq, w.tasks, w.renewed = 0, nil, now
	}
	d.run(w)
	w.seq++
	r := &wire.Heartbeat{Machine: w.name, Addr: w.name + ":90", Type: w.typ, Zone: w.zone, Spot: w.spot, AgentEpoch: w.epoch, Seq: w.seq, Token: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskStatus)
	}
	if w.notice > 0 {
		left := w.notice - now
		r.NoticeS = &left
	}
	stale := w.last
	w.last = r
	if d.chance(3) {
		return // the heartbeat is lost
	}
	cmds, ok := d.handle(w, r)
	if stale != nil && d.chance(3) {
		d.met["stale report"]++
		d.handle(w, stale)
	}
	if d.chance(3) {
		d.met["repeated report"]++
		d.handle(w, r)
	}
	if !ok || now < w.deafTo || d.chance(3) {
		return
	}
	w.token, w.renewed = d.m.FencingToken, now
	d.execute(w, cmds)
}

// handle passes a heartbeat to the leader, as a node does.
func (d *driver) handle(w *simWorker, r *wire.Heartbeat) ([]wire.Command, bool) {
	now, via := d.now(), []string{"n-1", "n-2"}[d.rnd.IntN(2)]
	if d.chance(80) {
		via = "n-1"
	}
	news := d.m.IsNewerHeartbeat(r.Machine, r.AgentEpoch, r.Seq)
	mc := d.m.ApplyHeartbeat(r, now)
	var cmds []wire.Command
	how := "answer"
	if mc == nil {
		var ok bool
		if cmds, ok = d.m.AnswerRetry(r, via); !ok {
			d.note("refused", w.name, news)
			return nil, false
		}
		how = "repeated"
	} else {
		d.m.RecordReceivingNode(mc, via, now)
		cmds = d.m.AnswerHeartbeat(mc, r, now)
	}
	// Commands for the tasks of a machine are in the order of a map. Here successive
	// commands of one kind are sorted by the names of the tasks.
	sortKinds(cmds)
	d.note(how, w.name, news, d.plain(cmds))
	return cmds, true
}

func sortKinds(cmds []wire.Command) {
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
				d.met["launch"]++
				w.tasks = append(w.tasks, d.launch(w, c))
			}
		case wire.OpStop:
			d.met["stop"]++
			if i >= 0 && w.tasks[i].State != wire.TaskExited {
				d.stop(w.tasks[i], c)
			}
		case wire.OpForget:
			d.met["forget"]++
			if i >= 0 && w.tasks[i].State == wire.TaskExited {
				w.tasks = slices.Delete(w.tasks, i, i+1)
			}
		}
	}
}

func (d *driver) launch(w *simWorker, c wire.Command) *simTask {
	t := &simTask{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}}
	id, n, _ := wire.ParseTaskName(c.Task)
	j := d.m.Job(id)
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
		d.met["start refused"]++
		t.refuse = []string{wire.ExitNoRoom, wire.ExitBusy, wire.ExitError, wire.ExitUnknown}[d.rnd.IntN(4)]
	}
	if j.Gang() {
		d.met["gang"]++
	}
	if _, long := jobstore.ParseJobKey(jobstore.JobKey(id)); long && !wire.ValidUserID(id) {
		d.met["reserved task"]++
	}
	return t
}

func (d *driver) stop(t *simTask, c wire.Command) {
	id, _, _ := wire.ParseTaskName(t.Task)
	if j := d.m.Job(id); c.GraceS != nil && *c.GraceS > 0 && t.State == wire.TaskRunning && j != nil && j.Spec.CheckpointS > 0 {
		t.State, t.until = wire.TaskSaving, d.seconds()+min(*c.GraceS, j.Spec.SaveS)
		return
	}
	t.State, t.Why = wire.TaskExited, wire.ExitStopped
}

// run advances the tasks of a worker.
func (d *driver) run(w *simWorker) {
	now := d.seconds()
	for _, t := range w.tasks {
		if now < t.until || t.State == wire.TaskExited {
			continue
		}
		id, _, _ := wire.ParseTaskName(t.Task)
		j := d.m.Job(id)
		switch t.State {
		case wire.TaskFetching:
			w.images[t.image] = true
			switch {
			case t.refuse != "":
				t.State, t.Why = wire.TaskExited, t.refuse
			case j != nil && j.Gang():
				t.State, t.until = wire.TaskWaiting, now
				d.gather(j, t, now)
			default:
				t.State, t.until = wire.TaskRunning, now+d.lasts[id]
			}
		case wire.TaskWaiting:
			if j == nil || now-t.until > d.cfg.Cluster.Workers.GangWaitS {
				t.State, t.Why = wire.TaskExited, wire.ExitAlone
			}
		case wire.TaskRunning:
			t.State, t.Why = wire.TaskExited, wire.ExitDone
		case wire.TaskSaving:
			t.State, t.Why, t.Saved = wire.TaskExited, wire.ExitStopped, true
		}
	}
}

// gather starts a gang once all its tasks are waiting.
func (d *driver) gather(j *Job, t *simTask, now float64) {
	var all []*simTask
	for _, w := range d.workers {
		for _, o := range w.tasks {
			if id, _, _ := wire.ParseTaskName(o.Task); id == j.ID && o.Attempt == t.Attempt && o.State == wire.TaskWaiting {
				all = append(all, o)
			}
		}
	}
	if len(all) < len(j.Tasks) {
		return
	}
	for _, o := range all {
		o.State, o.until = wire.TaskRunning, now+d.lasts[j.ID]
	}
}
