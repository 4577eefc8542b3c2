// Package modelcheck explores, exhaustively and at small numbers, what the
// leader's decisions, the workers' rules and a network that delays and loses can
// bring about together. The leader is the real cluster.Model; workers, the state
// service and the network are written here from PROTOCOL ("Workers -> controller
// nodes", "Controller nodes -> workers", "Delayed messages"). Every rule is an
// invariant, and a Breach takes one of the guards away, which must be found out.
// docs/model-check.md has what is covered and what is not.
package modelcheck

import (
	"fmt"
	"io"
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

// Breach names a guard that is taken away. What the service does is None.
type Breach int

// The guards that can be taken away.
const (
	None              Breach = iota
	UncommittedLaunch        // a launch leaves before its placement is committed
	ShortLease               // the leader counts a worker's lease as over at half of it
	NoTakeoverWait           // a new leader does not count the lease from its takeover
	StaleReports             // a report that was held back counts as the newest
	TokenNotShown            // absence counts of a worker that has not shown this token
	LateAnswers              // a worker executes an answer it has given up
	DirectLaunch             // a summons is the launch itself
	ForgetAtOnce             // an exit is forgotten before its outcome is committed
	NoReadBarrier            // a leader renews its lease without learning of cancellations
	LeaderGoesOn             // a leader answers on past the end of its lease
	DropsOnCancel            // a cancelled job's tasks count as gone at once
	CopiesCount              // a late copy of a report counts as the newest
	UnheardAnswers           // every answer counts as unheard, also where no report has shown that
	Breaches
)

func (b Breach) String() string {
	switch b {
	case OldOrder:
		return "old order"
	case OldStops:
		return "old order's stops"
	case DirectForget:
		return "direct forget"
	}
	if name, ok := lateBreaches[b]; ok {
		return name
	}
	return [...]string{"none", "uncommitted launch", "short lease", "no wait after takeover", "stale reports", "token not shown",
		"late answers", "direct launch", "forget at once", "no catching up", "leader goes on", "dropped on cancel", "copies count", "unheard answers"}[b]
}

// Scenario is what a search begins with.
type Scenario struct {
	Name      string
	Zones     []string // of each machine
	Capacity  float64  // CPUs of each
	Jobs      []wire.Job
	Max       float64  // the team's limit in CPUs
	Cancels   int      // jobs that their user may cancel, from the first on
	Takeovers int      // changes of leader at most
	Begin     []Action // what has happened already
	Only      []Kind   // what may happen; nil: anything
	Reliable  int      // of the last so many machines no message is split, late or lost
	Shared    bool     // the jobs' records share a page
	Mutes     int      // how often a worker's reports arrive, and nothing reaches it
	Copies    int      // late copies of reports
	Later     int      // of the last so many jobs, each is accepted later: 0 or 1
	Plans     int      // orders of service that are applied, at most
	Lates     int      // leader's transactions that are carried out late, at most
	Asks      int      // jobs that their user may cancel by a transaction that is under way for a while, from the first on
	Refusals  int      // how often the state service refuses the leader alone
	Errors    int      // how often a start is refused
}

const (
	leaseS = 20.0
	// Time passes in steps of 0.6 of a lease. Two of them end one; an answer that
	// takes as long has been given up (4 s).
	stepS = 0.6 * leaseS
	// cancelSteps is by when a cancelled job's tasks must be gone (cancel_s is
	// about twice the lease): the leader learns within one step, and two more end
	// the lease of a worker that it does not reach.
	cancelSteps = 3
	maxDirects  = 2 // direct batches on their way; more are lost
	maxLate     = 1 // reports of a worker, or answers, that it has given up and that may still arrive
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type taskKey struct {
	name    string
	attempt uint64
}

type task struct {
	taskKey
	job   int
	idx   int
	state string
	why   string
}

func (t *task) here() bool {
	return t.state == wire.TaskWaiting || t.state == wire.TaskRunning
}

type worker struct {
	name    string
	zone    string
	session uint64
	seq     uint64
	token   uint64
	renewed int // the step in which its last answered report was sent
	tasks   []*task
	out     *flight // the report that it waits for an answer to
	mute    bool    // neither answers nor commands reach it
	last    *flight // its last report, while a copy of it may be made
	heardBy uint64  // the last leader that has had a report of it which is no copy
	// launches are when, by their count, its tasks were launched.
	launches map[taskKey]int
	launched int
}

// flight is a report on its way, and its answer.
type flight struct {
	w        int
	rep      wire.Report
	sent     int
	handled  bool
	token    uint64
	commands []wire.Command
}

type direct struct {
	w        int
	batch    wire.DirectCommands
	launches int // of its worker before it was sent
}

type value struct {
	v       any
	version uint64
}

// World is one state of everything.
type World struct {
	sc     *Scenario
	breach Breach
	cfg    *config.Settings

	step     int
	token    uint64
	rev      uint64
	store    map[string]value
	model    *cluster.Model
	old      *cluster.Model // of the leader before, where it goes on
	seen     uint64         // the revision that the leader has followed to
	takeover int

	workers []*worker
	overdue []*flight // reports given up, not arrived
	answers []*flight // answers given up, where workers execute these
	copies  []*flight // of reports, on their way
	mutes   int
	copied  int
	errors  int
	directs []direct

	completed map[string]bool // tasks that have exited with done
	cancelled map[string]int  // since which step

	orders
	late

	Met    []string // what met in the last step, for tests that it did
	Broken string   // the first rule broken, with what broke it
}

// NewWorld makes a world in which the machines are up, have shown the leader's
// token, and the jobs are accepted.
func NewWorld(sc *Scenario, b Breach) *World {
	zones := slices.Compact(slices.Sorted(slices.Values(sc.Zones)))
	w := &World{sc: sc, breach: b, store: map[string]value{}, completed: map[string]bool{}, cancelled: map[string]int{}}
	w.cfg = &config.Settings{Cluster: config.Cluster{Zones: zones, Teams: []config.Team{{Name: "core", CPUs: sc.Max, CPUsMax: sc.Max}},
		Workers: config.Workers{ReportS: 4, LeaseS: leaseS, GangWaitS: 1000, GangPeerS: 6, CancelS: 2 * leaseS},
		Cloud:   config.CloudLimits{RPS: 4, ListLagS: 5}}}
	for _, z := range sc.Zones {
		w.workers = append(w.workers, &worker{name: fmt.Sprintf("host-%d", len(w.workers)+1), zone: z, session: 1})
	}
	if sc.Shared {
		w.rev++
		var page jobstore.JobPage
		for i := range sc.Jobs {
			raw, err := wire.Marshal(jobstore.JobRecord{Job: sc.Jobs[i], AcceptedAtMs: began.UnixMilli()})
			if err != nil {
				panic(err) // a job of ours
			}
			page.Entries = append(page.Entries, jobstore.JobPageEntry{ID: sc.Jobs[i].ID, Record: raw})
		}
		w.store[jobstore.SealedPageKey(0, 1)] = value{page, w.rev}
	}
	for i := range sc.Jobs {
		if sc.Shared || i >= len(sc.Jobs)-sc.Later {
			break
		}
		w.rev++
		w.store[jobstore.JobKey(sc.Jobs[i].ID)] = value{jobstore.JobRecord{Job: sc.Jobs[i], AcceptedAtMs: began.UnixMilli()}, w.rev}
	}
	w.lead()
	for i := range w.workers {
		w.trip(i)
		w.trip(i)
	}
	for _, a := range sc.Begin {
		w.Do(a)
	}
	return w
}

func (w *World) now() time.Time { return began.Add(config.Seconds(float64(w.step) * stepS)) }

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
			m.PutJob(id, w.store[k].v.(jobstore.JobRecord), w.store[k].version, w.now())
		}
		if jobstore.IsJobPageKey(k) {
			m.PutAdmissionPages([]cluster.AdmissionPage{{Key: k, Version: w.store[k].version, Record: w.store[k].v.(jobstore.JobPage)}}, w.now())
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
		w.model.PutAdmissionPages([]cluster.AdmissionPage{{Key: key, Version: page.version, Record: page.v.(jobstore.JobPage)}}, w.now())
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

// commit applies a transaction as the state service does.
func (w *World) commit(guards []wire.Guard, ops []wire.Op) (failed []string) {
	for _, g := range w.unguarded(w.conditions(guards)) {
		if w.store[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return failed
	}
	if len(ops) == 0 {
		return nil
	}
	w.rev++
	was := w.finalRecords()
	for _, o := range ops {
		w.checkOrder(o)
		if o.Delete != "" {
			delete(w.store, o.Delete)
			continue
		}
		w.store[o.Put] = value{o.Value, w.rev}
		if rec, ok := o.Value.(jobstore.JobRecord); ok && rec.State == wire.JobDone {
			for n := range rec.Job.Tasks {
				if name := wire.TaskName(rec.Job.ID, n); !w.completed[name] {
					w.broke("not_done", name+" has not completed")
				}
			}
		}
	}
	w.finals(was)
	return nil
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

// send makes a worker's report.
func (w *World) send(i int) *flight {
	k := w.workers[i]
	k.seq++
	f := &flight{w: i, sent: w.step, rep: wire.Report{Machine: k.name, Addr: k.name, Type: "m", Zone: k.zone, Session: k.session, Seq: k.seq, Token: k.token}}
	for _, t := range k.tasks {
		f.rep.Tasks = append(f.rep.Tasks, wire.TaskReport{Task: t.name, Attempt: t.attempt, State: t.state, Why: t.why})
	}
	k.out = f
	if w.copied < w.sc.Copies {
		k.last = f
	}
	return f
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

// answer lets a worker take the answer that it waits for.
func (w *World) answer(f *flight) {
	k := w.workers[f.w]
	if k.out == f {
		k.out = nil
	}
	if f.token == 0 || f.token < k.token || f.rep.Session != k.session {
		return
	}
	k.token, k.renewed = f.token, f.sent
	w.execute(f.w, f.commands)
}

func (w *World) trip(i int) {
	f := w.send(i)
	w.handle(f, w.model)
	if w.workers[i].mute {
		w.workers[i].out = nil
		return
	}
	w.answer(f)
}

// copyReport keeps a copy of a worker's last report.
func (w *World) copyReport(k *worker) {
	c := *k.last
	w.copies = append(w.copies, &c)
	if w.copied++; w.copied == w.sc.Copies {
		for _, o := range w.workers {
			o.last = nil
		}
	}
	k.last = nil
}

func (w *World) giveUp(k *worker) {
	f := k.out
	k.out = nil
	late := 0
	for _, o := range w.overdue {
		if o.w == f.w {
			late++
		}
	}
	if !f.handled && late < maxLate {
		w.overdue = append(w.overdue, f)
	}
	if f.handled && w.breach == LateAnswers && len(w.answers) < maxLate {
		w.answers = append(w.answers, f)
	}
}

// execute is a worker's, as PROTOCOL has it.
func (w *World) execute(i int, cmds []wire.Command) {
	k := w.workers[i]
	for _, c := range cmds {
		at := slices.IndexFunc(k.tasks, func(t *task) bool { return t.taskKey == taskKey{c.Task, c.Attempt} })
		switch c.Op {
		case wire.OpStart:
			if at < 0 {
				k.tasks = append(k.tasks, w.launch(k, c))
				k.noteLaunch(c)
			}
		case wire.OpStop:
			if at >= 0 && k.tasks[at].state != wire.TaskExited {
				w.exit(k.tasks[at], wire.WhyStopped)
			}
		case wire.OpForget:
			if at >= 0 && k.tasks[at].state == wire.TaskExited {
				t := k.tasks[at]
				if t.why == wire.WhyDone && !w.recorded(t) {
					w.broke("outcome lost", t.name+" is forgotten and nowhere recorded")
				}
				if t.why == wire.WhyDone && w.sc.Lates > 0 {
					if w.forgotten == nil {
						w.forgotten = map[string]bool{}
					}
					w.forgotten[t.name] = true
				}
				k.tasks = slices.Delete(k.tasks, at, at+1)
			}
		}
	}
}

// recorded says whether the state service has it that a task is done, or that
// nobody wants to know.
func (w *World) recorded(t *task) bool {
	id, n, _ := wire.SplitTask(t.name)
	if _, ok := w.store[jobstore.FinalKey(id)]; ok {
		return true
	}
	for key, v := range w.store {
		if _, ok := jobstore.ParsePlacementPageKey(key); !ok {
			continue
		}
		for _, c := range v.v.(jobstore.PlacementPage).Chunks {
			for i := 0; c.Job == id && i+1 < len(c.DoneRanges); i += 2 {
				if c.DoneRanges[i] <= n && n <= c.DoneRanges[i+1] {
					return true
				}
			}
		}
	}
	return false
}

func (w *World) launch(k *worker, c wire.Command) *task {
	t := &task{taskKey: taskKey{c.Task, c.Attempt}, state: wire.TaskFetching, job: -1}
	id, n, _ := wire.SplitTask(c.Task)
	used := 0.0
	busy := false
	for _, o := range k.tasks {
		if o.state != wire.TaskExited {
			busy = busy || o.name == c.Task
			used += w.sc.Jobs[o.job].CPUs
		}
	}
	for i := range w.sc.Jobs {
		if w.sc.Jobs[i].ID == id && n < w.sc.Jobs[i].Tasks {
			t.job, t.idx = i, n
		}
	}
	switch {
	case t.job < 0:
		t.state, t.why = wire.TaskExited, wire.WhyUnknown
	case busy:
		t.state, t.why = wire.TaskExited, wire.WhyBusy
	case used+w.sc.Jobs[t.job].CPUs > w.sc.Capacity:
		t.state, t.why = wire.TaskExited, wire.WhyNoRoom
	}
	return t
}

// image brings a worker's first waiting image: its task starts.
func (w *World) image(i int) {
	k := w.workers[i]
	t := k.tasks[slices.IndexFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskFetching })]
	j := &w.sc.Jobs[t.job]
	w.checkStart(k, t)
	if w.completed[t.name] {
		w.exit(t, wire.WhyDone) // its result is kept
		return
	}
	t.state = wire.TaskRunning
	if j.Kind != wire.KindGang {
		return
	}
	t.state = wire.TaskWaiting
	var all []*task
	for _, o := range w.workers {
		for _, p := range o.tasks {
			if p.job == t.job && p.attempt == t.attempt && p.state == wire.TaskWaiting {
				all = append(all, p)
			}
		}
	}
	if len(all) == j.Tasks {
		for _, p := range all {
			p.state = wire.TaskRunning
		}
	}
}

// finish completes a worker's first running task, and with it its gang.
func (w *World) finish(i int) {
	k := w.workers[i]
	t := k.tasks[slices.IndexFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskRunning })]
	if w.sc.Jobs[t.job].Kind != wire.KindGang {
		w.exit(t, wire.WhyDone)
		return
	}
	for _, o := range w.workers {
		for _, p := range o.tasks {
			if p.job == t.job && p.attempt == t.attempt && p.state == wire.TaskRunning {
				w.exit(p, wire.WhyDone)
			}
		}
	}
}

// exit ends a task. What is left of a gang that ran ends with it.
func (w *World) exit(t *task, why string) {
	ran := t.state == wire.TaskRunning
	t.state, t.why = wire.TaskExited, why
	if why == wire.WhyDone {
		w.completed[t.name] = true
		return
	}
	if ran && w.sc.Jobs[t.job].Kind == wire.KindGang {
		w.peers(t)
	}
}

func (w *World) peers(t *task) {
	for _, o := range w.workers {
		for _, p := range o.tasks {
			if p != t && p.job == t.job && p.attempt == t.attempt && p.state == wire.TaskRunning {
				p.state, p.why = wire.TaskExited, wire.WhyPeers
			}
		}
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

// active is a job's record, while it is not over.
func (w *World) active(id string) (jobstore.JobRecord, bool) {
	if page, ok := w.store[jobstore.SealedPageKey(0, 1)].v.(jobstore.JobPage); ok {
		for _, e := range page.Entries {
			if e.ID == id {
				rec, err := e.Decode()
				return rec, err == nil
			}
		}
	}
	rec, ok := w.store[jobstore.JobKey(id)].v.(jobstore.JobRecord)
	return rec, ok
}

func (w *World) cancel(i int) {
	j := w.sc.Jobs[i]
	rec, _ := w.active(j.ID)
	rec.State = wire.JobCancelled
	w.rev++
	if key := jobstore.SealedPageKey(0, 1); w.sc.Shared {
		if page := w.store[key].v.(jobstore.JobPage).Without(map[string]bool{j.ID: true}); len(page.Entries) > 0 {
			w.store[key] = value{page, w.rev}
		} else {
			delete(w.store, key)
		}
	}
	delete(w.store, jobstore.JobKey(j.ID))
	w.store[jobstore.FinalKey(j.ID)] = value{rec, w.rev}
	w.cancelled[j.ID] = w.step
	if w.breach == DropsOnCancel {
		// As if the task were on no machine from here on.
		for key := range w.store {
			if _, ok := jobstore.ParsePlacementPageKey(key); ok {
				w.rev++
				w.store[key] = value{jobstore.PlacementPage{}, w.rev}
			}
		}
		w.lead()
	}
}

func (w *World) broke(rule, what string) {
	if w.Broken == "" {
		w.Broken = rule + ": " + what
	}
}

// checkStart holds a start against the rules, by what is on machines now.
func (w *World) checkStart(k *worker, t *task) {
	j := &w.sc.Jobs[t.job]
	used := j.CPUs
	for _, o := range w.workers {
		for _, p := range o.tasks {
			if !p.here() {
				continue
			}
			used += w.sc.Jobs[p.job].CPUs
			if p.name == t.name {
				w.broke("ran_twice", t.name+" starts on "+k.name+" while it is on "+o.name)
			}
			if p.job == t.job && j.OneZone && o.zone != k.zone {
				w.broke("wrong_place", t.name+" starts on "+k.name+" while "+p.name+" is on "+o.name)
			}
		}
	}
	if w.sc.Max > 0 && used > w.sc.Max {
		w.broke("quota", t.name+" starts on "+k.name+" beyond its team's limit")
	}
	if since, ok := w.cancelled[j.ID]; ok && w.step-since >= cancelSteps {
		w.broke("ran_cancelled", t.name+" starts on "+k.name)
	}
}

// Version and Message make World a cluster.Reference.
func (w *World) Version(key string) uint64 { return w.store[key].version }

// LastMessage implements cluster.Reference.
func (w *World) LastMessage(machine string) (session, seq uint64) {
	for _, k := range w.workers {
		if k.name == machine {
			return k.session, k.seq
		}
	}
	return 0, 0
}

// Digest writes all that bears on what may follow.
func (w *World) Digest(out io.Writer) {
	fmt.Fprintf(out, "%d,%t|", w.takeover, w.seen < w.rev)
	for _, k := range w.workers {
		fmt.Fprintf(out, "W%d,%d,%d", min(k.session, 2), k.token, min(w.step-k.renewed, 2))
		for _, t := range k.tasks {
			fmt.Fprintf(out, ";%s.%d%s%s", t.name, t.attempt, t.state, t.why)
		}
		fmt.Fprint(out, k.mute)
		if k.out != nil {
			w.flight(out, k.out)
		}
		if k.last != nil {
			fmt.Fprint(out, "K")
			w.flight(out, k.last)
		}
	}
	fmt.Fprintf(out, "m%d,%d,%d", w.mutes, w.copied, w.errors)
	for _, f := range w.copies {
		fmt.Fprint(out, "C")
		w.flight(out, f)
	}
	for _, f := range w.overdue {
		fmt.Fprint(out, "L")
		w.flight(out, f)
	}
	for _, f := range w.answers {
		fmt.Fprint(out, "A")
		w.flight(out, f)
	}
	for _, d := range w.directs {
		fmt.Fprintf(out, "D%d,%d,%d", d.w, d.batch.Token, w.workers[d.w].session-d.batch.Session)
		writeCommands(out, d.batch.Commands)
	}
	keys := slices.Sorted(maps.Keys(w.store))
	for _, k := range keys {
		fmt.Fprintf(out, "|%s", k)
		writeRecord(out, w.store[k].v)
	}
	for i := range w.sc.Jobs {
		j := &w.sc.Jobs[i]
		fmt.Fprint(out, "|")
		for n := range j.Tasks {
			fmt.Fprint(out, w.completed[wire.TaskName(j.ID, n)])
		}
		if since, ok := w.cancelled[j.ID]; ok {
			fmt.Fprint(out, min(w.step-since, cancelSteps))
		}
	}
	w.orderDigest(out)
	w.lateDigest(out)
	w.model.Digest(out, w, w.now())
	if w.old != nil {
		w.old.Digest(out, w, w.now())
	}
}

func (w *World) flight(out io.Writer, f *flight) {
	k := w.workers[f.w]
	fmt.Fprintf(out, "r%d,%d,%d,%d,%d,%t,%d", f.w, w.step-f.sent, k.session-f.rep.Session, k.seq-f.rep.Seq, f.rep.Token, f.handled, f.token)
	for _, t := range f.rep.Tasks {
		fmt.Fprintf(out, ";%s.%d%s%s", t.Task, t.Attempt, t.State, t.Why)
	}
	writeCommands(out, f.commands)
}

func writeCommands(out io.Writer, cmds []wire.Command) {
	for _, c := range cmds {
		fmt.Fprintf(out, ";%s%s.%d", c.Op, c.Task, c.Attempt)
	}
}
