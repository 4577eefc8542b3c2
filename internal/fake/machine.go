package fake

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// BrokenClass is the class of jobs that fail on every machine.
const BrokenClass = "broken"

// dropsAfter is when a worker gives an answer to its report up.
const dropsAfter = 4 * time.Second

// maxReply is the most that is read of an answer, in bytes.
const maxReply = 1 << 20

// stepEvery is how finely machines are simulated.
const stepEvery = 100 * time.Millisecond

type taskKey struct {
	name    string
	attempt uint64
}

// task is a task on a machine. The cluster's lock guards it.
type task struct {
	taskKey
	m        *machine
	job      *wire.Job
	idx      int
	state    string
	why      string
	saved    bool
	launched time.Time
	ready    time.Time // when its image is there
	waiting  time.Time
	stopAt   time.Time // when a stop ends it
	saving   bool
	here     bool // has its image and has not exited
}

// machine is a machine with its worker.
type machine struct {
	w    *Cluster
	name string
	addr string
	typ  wire.MachineType
	zone string
	spot bool
	born time.Time
	boot time.Duration
	hc   *http.Client
	ctx  context.Context
	end  context.CancelFunc

	// guarded by the cluster's lock
	dead    bool
	hung    bool
	faulty  bool // its tasks fail
	session uint64
	seq     uint64
	token   uint64
	tasks   map[taskKey]*task
	order   []taskKey
	cache   cache
	renewed time.Time
	node    int
	dirty   bool
	notice  *float64
	tokenAt time.Time
	holding bool // direct commands are held back
	held    []wire.DirectCommands
	batches int // batches of direct commands that were sent to it
	// newestBatch is the newest of them, in the order of sending, that was executed at once.
	newestBatch int
	direct      int            // direct commands carried out
	late        int            // answers taken more than a second after their reports
	took        answeredReport // the last report of its own that was answered 200, and by whom
}

func newMachine(w *Cluster, name string, typ wire.MachineType, zone string, spot bool, boot time.Duration) *machine {
	ctx, end := context.WithCancel(w.ctx)
	m := &machine{w: w, name: name, addr: name + ":9000", typ: typ, zone: zone, spot: spot, born: time.Now(),
		boot: boot, ctx: ctx, end: end, session: 1, tasks: map[taskKey]*task{}}
	m.hc = call.NewClient(w.Network.Dial(name), 2, 2)
	w.wg.Add(1)
	go func() { defer w.wg.Done(); m.run() }()
	return m
}

func (m *machine) isDead() bool {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	return m.dead
}

// kill ends the machine and all that is on it.
func (m *machine) kill() {
	m.w.mu.Lock()
	if !m.dead {
		m.dead = true
		m.clear()
		delete(m.w.fetching, m.name)
	}
	m.w.mu.Unlock()
	m.w.Network.PowerOff(m.name)
	m.end()
}

// clear kills and forgets all tasks; the cluster's lock is held.
func (m *machine) clear() {
	for _, k := range m.order {
		m.w.leave(m.tasks[k])
	}
	m.tasks, m.order = map[taskKey]*task{}, nil
}

func (m *machine) run() {
	if !call.Pause(m.ctx, m.boot) {
		return
	}
	l, err := m.w.Network.Listen("tcp", m.addr)
	if err != nil {
		return
	}
	srv := &http.Server{Handler: m}
	m.w.wg.Add(1)
	go func() { defer m.w.wg.Done(); _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }() // the machine is gone: its listener too
	defer m.hc.CloseIdleConnections()
	m.w.mu.Lock()
	m.renewed = time.Now()
	m.node = m.w.pick(len(m.w.nodes))
	m.w.mu.Unlock()
	m.w.wg.Add(1)
	go func() { defer m.w.wg.Done(); m.steps() }()
	m.reports()
}

func (m *machine) steps() {
	for call.Pause(m.ctx, stepEvery) {
		m.w.mu.Lock()
		// A machine that hangs resumes within its lease or not at all with
		// what it had.
		if now := time.Now(); !m.dead && !m.expire(now) {
			m.outlived(now)
			if !m.hung {
				m.step(now)
			}
		}
		m.w.mu.Unlock()
	}
}

// expire kills and forgets all tasks once the lease is over.
func (m *machine) expire(now time.Time) bool {
	if now.Sub(m.renewed) <= secs(m.w.Settings.Cluster.Workers.LeaseS) {
		return false
	}
	if len(m.order) > 0 {
		m.w.expired++
	}
	m.clear()
	m.session++
	m.renewed = now
	m.dirty = true
	return true
}

// outlived checks what is on the machine of jobs that are cancelled. A machine
// that hangs has it all the same, and may go on with it.
func (m *machine) outlived(now time.Time) {
	for _, k := range m.order {
		if t := m.tasks[k]; t.here {
			m.w.checkCancelled(t, now)
		}
	}
}

// step lets the time pass for what is on the machine.
func (m *machine) step(now time.Time) {
	m.fetchOn(now)
	for _, k := range append([]taskKey(nil), m.order...) {
		t := m.tasks[k]
		if t == nil || t.state == wire.TaskExited {
			continue
		}
		if t.state == wire.TaskFetching && !now.Before(t.ready) && m.fetched(t) {
			t.state, t.waiting = wire.TaskRunning, now
			if t.job.Kind == wire.KindGang {
				t.state = wire.TaskWaiting
			}
			m.dirty = true
			m.w.arrive(t, now)
			if m.faulty || t.job.Class == BrokenClass {
				m.exit(t, wire.WhyError, false)
				continue
			}
		}
		m.w.advance(t, now)
	}
}

func (m *machine) exit(t *task, why string, saved bool) {
	if t.state == wire.TaskExited {
		return
	}
	t.state, t.why, t.saved = wire.TaskExited, why, saved
	m.dirty = true
	if why == wire.WhyDone {
		m.w.complete(t)
	} else {
		m.w.leave(t)
	}
}

// report is the worker's message; the cluster's lock is held.
func (m *machine) report() wire.Report {
	m.seq++
	r := wire.Report{Machine: m.name, Addr: m.addr, Type: m.typ.Name, Zone: m.zone, Spot: m.spot,
		Session: m.session, Seq: m.seq, Token: m.token, NoticeS: m.notice}
	for _, k := range m.order {
		t := m.tasks[k]
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.name, Attempt: t.attempt, State: t.state, Why: t.why, Saved: t.saved})
	}
	return r
}

func (m *machine) reports() {
	w := m.w.Settings.Cluster.Workers
	last := time.Time{}
	for m.ctx.Err() == nil {
		m.w.mu.Lock()
		interval := secs(w.ReportS * (0.75 + 0.5*m.w.random.Float64()))
		hung, changed := m.hung, m.dirty
		m.w.mu.Unlock()
		since := time.Since(last)
		if hung || since < interval && (!changed || since < 500*time.Millisecond) {
			if !call.Pause(m.ctx, stepEvery) {
				return
			}
			continue
		}
		last = time.Now()
		if !m.send(last) && !call.Pause(m.ctx, time.Second) {
			return
		}
	}
}

// send makes one report; false says that another node is to be tried.
func (m *machine) send(at time.Time) bool {
	r, node, overtaken := m.nextReport()
	copied := uint64(0)
	if overtaken {
		copied = m.w.overtake(r)
	}
	ctx, cancel := context.WithTimeout(m.ctx, dropsAfter)
	defer cancel()
	status, body, err := call.Do(ctx, m.hc, http.MethodPost, "http://"+node.bind+wire.PathReport, r, maxReply)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.awaitResume(at)
	if m.dead {
		return true
	}
	if err == nil {
		m.w.answeredReports[nodeAndMachine{node.name, m.name}] = at
		m.w.overtook(r, copied, status)
	}
	if err != nil || status != http.StatusOK {
		m.dirty = true
		if err == nil && m.redirect(status, body) {
			return true
		}
		m.node = (m.node + 1) % len(m.w.nodes)
		return false
	}
	m.takeAnswer(r, node, body, at)
	return true
}

// nextReport composes a report, chooses the node that it is sent to, and draws whether
// copies of it go ahead.
func (m *machine) nextReport() (r wire.Report, to *node, overtaken bool) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	m.dirty = false
	r = m.report()
	m.w.mayCopy(r)
	m.w.keepForNext(r)
	to = m.w.nodes[m.node%len(m.w.nodes)]
	overtaken = m.w.failoverCopies.ahead > 0 && m.w.pick(m.w.failoverCopies.ahead) == 0
	return r, to, overtaken
}

// awaitResume waits while the machine hangs, at most until it drops the answer to the
// report that it sent at a time: what came while it hung is there when it goes on. The
// cluster's lock is held, but not while it waits.
func (m *machine) awaitResume(sent time.Time) {
	for m.hung && !m.dead && time.Since(sent) < dropsAfter {
		m.w.mu.Unlock()
		time.Sleep(stepEvery)
		m.w.mu.Lock()
	}
}

// redirect makes the machine report to the leader that a node has named, and says whether
// it has named another.
func (m *machine) redirect(status int, body []byte) bool {
	var to wire.Redirect
	if status != http.StatusMisdirectedRequest || wire.Unmarshal(body, &to) != nil {
		return false
	}
	for i, n := range m.w.nodes {
		if n.name == to.Leader && i != m.node {
			m.node = i
			return true
		}
	}
	return false
}

// takeAnswer renews the lease and carries out what a node has answered to a report, unless
// the answer is late, or of a former leader or session; the cluster's lock is held.
func (m *machine) takeAnswer(r wire.Report, from *node, body []byte, sent time.Time) {
	var a wire.ReportAnswer
	if wire.Unmarshal(body, &a) != nil || a.Token < m.token || r.Session != m.session || m.hung || time.Since(sent) >= dropsAfter {
		return
	}
	if time.Since(sent) > time.Second {
		m.late++
	}
	m.took = answeredReport{m.name, r.Session, r.Seq, a.Token}
	m.sawToken(a.Token, sent)
	m.renewed = sent
	m.w.acceptedAnswers[nodeAndMachine{from.name, m.name}] = sent
	m.execute(a.Commands, time.Now())
}

func (m *machine) sawToken(token uint64, now time.Time) {
	if token > m.token {
		m.token = token
		if now.Sub(m.tokenAt) > secs(m.w.Settings.Cluster.Workers.LeaseS/2) {
			m.dirty, m.tokenAt = true, now
		}
	}
}

// execute carries commands out in their order.
func (m *machine) execute(cmds []wire.Command, now time.Time) {
	for _, c := range cmds {
		k := taskKey{c.Task, c.Attempt}
		t := m.tasks[k]
		switch {
		case c.Op == wire.OpStart && t == nil:
			m.w.checkLaunch(k.name, now)
			m.launch(k, now)
		case c.Op == wire.OpForget && t != nil && t.state == wire.TaskExited:
			m.forget(k)
		case c.Op == wire.OpStop && t != nil && t.state != wire.TaskExited:
			m.w.stop(t, graceOf(c), now)
		}
	}
}

// graceOf is how many seconds a stop leaves its task to save.
func graceOf(c wire.Command) float64 {
	if c.GraceS == nil {
		return 0
	}
	return *c.GraceS
}

// forget drops the outcome of a task that has exited.
func (m *machine) forget(k taskKey) {
	delete(m.tasks, k)
	if i := slices.Index(m.order, k); i >= 0 {
		m.order = slices.Delete(m.order, i, i+1)
	}
}

// launch takes a task in, which then fetches its image, unless it is unknown, runs here
// already, or has no room.
func (m *machine) launch(k taskKey, now time.Time) {
	t := &task{taskKey: k, m: m, state: wire.TaskFetching, launched: now}
	m.tasks[k] = t
	m.order = append(m.order, k)
	id, n, ok := wire.SplitTask(k.name)
	job := m.w.reserved(id)
	if !ok || job == nil || n >= job.spec.Tasks {
		m.exit(t, wire.WhyUnknown, false)
		return
	}
	t.job, t.idx = &job.spec, n
	var used resources
	for _, o := range m.tasks {
		if o != t && o.name == k.name && o.state != wire.TaskExited {
			m.exit(t, wire.WhyBusy, false)
			return
		}
		if o.job != nil && o.state != wire.TaskExited {
			used = used.plus(o.job)
		}
	}
	if !used.fitIn(resourcesOf(m.typ)) {
		m.exit(t, wire.WhyNoRoom, false)
		return
	}
	t.ready = now.Add(100 * time.Millisecond)
	m.cache.fetch(t.job.Image, t.job.ImageGB)
	m.dirty = true
}

// ServeHTTP takes direct commands.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	for m.hung && !m.dead {
		m.w.mu.Unlock()
		time.Sleep(stepEvery)
		m.w.mu.Lock()
	}
	status := http.StatusOK
	if r.URL.Path == wire.PathCommands {
		held := false
		if status, held = m.serveCommands(body); held {
			m.w.mu.Unlock()
			<-r.Context().Done()
			m.w.mu.Lock()
			return
		}
	}
	reply(w, status, m.report())
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
