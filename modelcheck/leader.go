package modelcheck

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// lead makes a new leader's model from the records, as a node does.
func (w *World) lead() {
	w.rev++
	w.token++
	cfg := *w.cfg
	if w.breach == ShortLease {
		cfg.Cluster.Workers.LeaseS = leaseS / 2
	}
	at := w.now()
	if w.breach == NoTakeoverWait {
		at = at.Add(-config.Seconds(2 * leaseS))
	}
	m := cluster.New(&cfg, w.token, at, slog.New(slog.DiscardHandler))
	m.RebalanceSettings = config.DefaultTuning().Rebalance
	m.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: w.sc.Capacity, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: w.cfg.Cluster.Zones}})
	if w.sc.Plans > 0 {
		m.ExpectPlan()
	}
	w.hear(m)
	keys := slices.Sorted(maps.Keys(w.store))
	for _, k := range keys {
		if id, ok := jobstore.ParseJobKey(k); ok {
			m.ApplyJobRecord(id, w.store[k].v.(jobstore.JobRecord), w.store[k].version, w.now())
		}
		if jobstore.IsJobPageKey(k) {
			m.ApplyAdmissionPages([]cluster.AdmissionPage{{Key: k, Version: w.store[k].version, Record: w.store[k].v.(jobstore.JobPage)}}, w.now())
		}
	}
	for _, k := range keys {
		n, ok := jobstore.ParsePlacementPageKey(k)
		if !ok {
			continue
		}
		rec := w.store[k].v.(jobstore.PlacementPage)
		for _, c := range rec.Chunks {
			if m.Job(c.Job) != nil || len(c.Placements) == 0 {
				continue
			}
			if over, ok := w.store[jobstore.FinalKey(c.Job)]; ok {
				m.LoadCancelledJob(c.Job, over.v.(jobstore.JobRecord))
			}
		}
		m.LoadPlacementPage(n, rec, w.store[k].version, w.now())
	}
	m.FinishLoading(w.now())
	w.model, w.seen = m, w.rev
	w.victims, w.stopped = nil, nil // the leader before's
	w.refused, w.renewing, w.termFrom = false, false, w.step
}

// learn is the leader's watch: it sees which active records are gone.
func (w *World) learn() {
	if w.sc.Shared {
		key := jobstore.SealedPageKey(0, 1)
		page, ok := w.store[key]
		if !ok {
			page = value{jobstore.JobPage{}, w.rev} // removed, at the latest by now
		}
		w.model.ApplyAdmissionPages([]cluster.AdmissionPage{{Key: key, Version: page.version, Record: page.v.(jobstore.JobPage)}}, w.now())
		w.seen = w.rev
		return
	}
	for i := range w.sc.Jobs {
		id := w.sc.Jobs[i].ID
		if _, ok := w.store[jobstore.JobKey(id)]; !ok {
			w.model.RemoveJob(id, w.now())
		}
	}
	w.seen = w.rev
}

// pass is the leader's: what time has ended, what to place, its records, and
// then what is sent directly. Where the answer to a commit is lost, the leader
// does not know that it was applied, and where one comes late, whether it will be.
func (w *World) pass(how Kind) {
	now, answerLost := w.now(), how == PassLost
	w.model.Tick(now)
	w.plans()
	if w.breach == UncommittedLaunch {
		w.sendDirects()
		if b := w.model.NextBatch(12); b != nil {
			b.OnCommit(1, now) // no: it only thinks so
		}
		return
	}
	for range 3 {
		b := w.model.NextBatch(12)
		if b == nil {
			break
		}
		if w.refused {
			w.model.RequeueBatch(b) // 503: it was not executed
			break
		}
		if how == PassLate {
			w.hold(b)
			break
		}
		failed := w.commit(b.Guards, b.Ops)
		if failed == nil && !answerLost {
			b.OnCommit(w.rev, now)
			w.seeStops()
			continue
		}
		w.refusedFor(failed)
		for _, key := range failed {
			if !b.IsJobKey(key) {
				w.model.ResolveConflict(b, key, w.store[key].version)
			}
		}
		if failed != nil {
			w.learn()
		}
		w.model.RequeueBatch(b)
		if answerLost {
			break
		}
	}
	w.compare(answerLost)
	if w.sure() {
		w.sendDirects()
	}
}

func (w *World) sendDirects() {
	now := w.now()
	for _, d := range append(w.model.StopPushes(now), w.model.WakeUps(maxDirects, now)...) {
		if w.breach == DirectLaunch {
			for i := range d.Commands.Commands {
				c := &d.Commands.Commands[i]
				if id, _, _ := wire.SplitTask(c.Task); c.Op == wire.OpStart {
					c.Task = wire.TaskName(id, 0)
				}
			}
		}
		if len(w.directs) < maxDirects {
			i := slices.IndexFunc(w.workers, func(o *worker) bool { return o.name == d.Machine })
			w.directs = append(w.directs, direct{i, d.Commands, w.workers[i].launched})
		}
	}
}

// handle gives a report to the leader, as the controller does.
func (w *World) handle(f *flight, m *cluster.Model) {
	f.handled = true
	r := f.rep
	copied := slices.Contains(w.copies, f)
	if copied {
		w.meets(f)
	} else if m == w.model {
		w.workers[f.w].heardBy = w.token
	}
	if !w.sure() {
		return // a 503
	}
	if r.Token > m.FencingToken {
		return // it resigns
	}
	now := w.now()
	if w.breach == StaleReports || w.breach == CopiesCount && copied {
		r.Seq += 1000 * uint64(w.rev)
		w.rev++
	}
	if w.breach == TokenNotShown || w.breach == CopyShows && copied {
		r.Token = m.FencingToken
	}
	mc := m.ApplyHeartbeat(&r, now)
	if mc == nil {
		if cmds, ok := m.AnswerRetry(&r, ""); ok {
			f.token, f.commands = m.FencingToken, cmds
			sortRuns(f.commands)
			if !copied && w.workers[f.w].out == f {
				w.Met = append(w.Met, repeated)
				if r.Token < m.FencingToken {
					w.Met = append(w.Met, repeatedAtNext)
				}
			}
		}
		return // refused
	}
	f.token, f.commands = m.FencingToken, m.AnswerHeartbeat(mc, &r, now) // though nobody may wait for the answer any more
	if w.breach == UnheardAnswers && len(mc.Tasks) > 0 {
		mc.LastAnswered = time.Time{}
	}
	sortRuns(f.commands)
	if w.breach == DirectForget {
		w.forgetDirectly(f, m.FencingToken)
	}
	if w.breach == ForgetAtOnce {
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
func (w *World) wait() {
	w.step++
	for _, k := range w.workers {
		if k.out != nil {
			w.giveUp(k)
		}
	}
	w.renew()
	for _, k := range w.workers {
		if w.step-k.renewed < 2 {
			continue
		}
		ended := k.tasks
		k.tasks, k.renewed = nil, w.step
		k.session++
		for _, t := range ended {
			if t.state == wire.TaskRunning && w.sc.Jobs[t.job].Kind == wire.KindGang {
				w.peers(t)
			}
		}
	}
	for id, since := range w.cancelled {
		if w.step-since < cancelSteps {
			continue
		}
		for _, k := range w.workers {
			for _, t := range k.tasks {
				if t.here() && w.sc.Jobs[t.job].ID == id {
					w.broke("ran_cancelled", t.name+" is still on "+k.name)
				}
			}
		}
	}
}

// sure says whether the leader's term is valid: it has lasted no longer than a step
// since its renewal was sent.
func (w *World) sure() bool {
	return w.sc.Refusals == 0 || w.breach == TermIgnored || w.step-w.termFrom <= 1
}

// renew is the leader's renewal with its barrier, in the step that begins.
func (w *World) renew() {
	if w.refused {
		return
	}
	w.termFrom = w.step
	if w.breach != NoReadBarrier {
		w.learn()
	}
}
