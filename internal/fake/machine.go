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

// replyTimeout is when a worker gives an answer to its report up.
const replyTimeout = 4 * time.Second

// maxReply is the most that is read of an answer, in bytes.
const maxReply = 1 << 20

// stepInterval is how finely machines are simulated.
const stepInterval = 100 * time.Millisecond

type taskKey struct {
	name    string
	attempt uint64
}

// task is a task on a machine. The cluster's lock guards it.
type task struct {
	taskKey
	machine      *machine
	job          *wire.Job
	index        int
	state        string
	exitReason   string
	saved        bool
	launchedAt   time.Time
	readyAt      time.Time // when its image is there
	presentSince time.Time
	stopsAt      time.Time // when a stop ends it
	saving       bool
	present      bool // has its image and has not exited
}

// machine is a machine with its worker.
type machine struct {
	cluster     *Cluster
	name        string
	addr        string
	machineType wire.MachineType
	zone        string
	spot        bool
	createdAt   time.Time
	bootTime    time.Duration
	client      *http.Client
	ctx         context.Context
	stop        context.CancelFunc

	// guarded by the cluster's lock
	dead               bool
	hung               bool
	faulty             bool // its tasks fail
	session            uint64
	lastSeq            uint64
	token              uint64
	tasks              map[taskKey]*task
	order              []taskKey
	cache              cache
	leaseRenewedAt     time.Time
	reportsTo          int
	reportDue          bool
	interruptionNotice *float64
	tokenChangedAt     time.Time
	holdCommands       bool // direct commands are held back
	heldCommands       []wire.DirectCommands
	batchesSent        int // batches of direct commands that were sent to it
	// newestBatch is the newest of them, in the order of sending, that was executed at once.
	newestBatchExecuted int
	directExecuted      int            // direct commands carried out
	lateReplies         int            // answers taken more than a second after their reports
	lastAnswered        answeredReport // the last report of its own that was answered 200, and by whom
}

func newMachine(w *Cluster, name string, typ wire.MachineType, zone string, spot bool, boot time.Duration) *machine {
	ctx, end := context.WithCancel(w.ctx)
	m := &machine{cluster: w, name: name, addr: name + ":9000", machineType: typ, zone: zone, spot: spot, createdAt: time.Now(),
		bootTime: boot, ctx: ctx, stop: end, session: 1, tasks: map[taskKey]*task{}}
	m.client = call.NewClient(w.Network.Dial(name), 2, 2)
	w.wg.Add(1)
	go func() { defer w.wg.Done(); m.run() }()
	return m
}

func (m *machine) isDead() bool {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return m.dead
}

// kill ends the machine and all that is on it.
func (m *machine) kill() {
	m.cluster.mu.Lock()
	if !m.dead {
		m.dead = true
		m.clearTasks()
		delete(m.cluster.fetchingMachines, m.name)
	}
	m.cluster.mu.Unlock()
	m.cluster.Network.PowerOff(m.name)
	m.stop()
}

// clearTasks kills and forgets all tasks; the cluster's lock is held.
func (m *machine) clearTasks() {
	for _, k := range m.order {
		m.cluster.loseTask(m.tasks[k])
	}
	m.tasks, m.order = map[taskKey]*task{}, nil
}

func (m *machine) run() {
	if !call.Pause(m.ctx, m.bootTime) {
		return
	}
	l, err := m.cluster.Network.Listen("tcp", m.addr)
	if err != nil {
		return
	}
	srv := &http.Server{Handler: m}
	m.cluster.wg.Add(1)
	go func() { defer m.cluster.wg.Done(); _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }() // the machine is gone: its listener too
	defer m.client.CloseIdleConnections()
	m.cluster.mu.Lock()
	m.leaseRenewedAt = time.Now()
	m.reportsTo = m.cluster.pick(len(m.cluster.nodes))
	m.cluster.mu.Unlock()
	m.cluster.wg.Add(1)
	go func() { defer m.cluster.wg.Done(); m.runTasks() }()
	m.sendReports()
}

func (m *machine) runTasks() {
	for call.Pause(m.ctx, stepInterval) {
		m.cluster.mu.Lock()
		// A machine that hangs resumes within its lease or not at all with
		// what it had.
		if now := time.Now(); !m.dead && !m.expireLease(now) {
			m.checkCancelledTasks(now)
			if !m.hung {
				m.stepTasks(now)
			}
		}
		m.cluster.mu.Unlock()
	}
}

// expireLease kills and forgets all tasks once the lease is over.
func (m *machine) expireLease(now time.Time) bool {
	if now.Sub(m.leaseRenewedAt) <= secs(m.cluster.Settings.Cluster.Workers.LeaseS) {
		return false
	}
	if len(m.order) > 0 {
		m.cluster.expiredLeases++
	}
	m.clearTasks()
	m.session++
	m.leaseRenewedAt = now
	m.reportDue = true
	return true
}

// checkCancelledTasks checks what is on the machine of jobs that are cancelled. A machine
// that hangs has it all the same, and may go on with it.
func (m *machine) checkCancelledTasks(now time.Time) {
	for _, k := range m.order {
		if t := m.tasks[k]; t.present {
			m.cluster.checkCancelledTask(t, now)
		}
	}
}

// stepTasks lets the time pass for what is on the machine.
func (m *machine) stepTasks(now time.Time) {
	m.advanceFetches(now)
	for _, k := range append([]taskKey(nil), m.order...) {
		t := m.tasks[k]
		if t == nil || t.state == wire.TaskExited {
			continue
		}
		if t.state == wire.TaskFetching && !now.Before(t.readyAt) && m.takeFetchedImage(t) {
			t.state, t.presentSince = wire.TaskRunning, now
			if t.job.Kind == wire.KindGang {
				t.state = wire.TaskWaiting
			}
			m.reportDue = true
			m.cluster.startTask(t, now)
			if m.faulty || t.job.Class == BrokenClass {
				m.exit(t, wire.WhyError, false)
				continue
			}
		}
		m.cluster.advanceTask(t, now)
	}
}

func (m *machine) exit(t *task, why string, saved bool) {
	if t.state == wire.TaskExited {
		return
	}
	t.state, t.exitReason, t.saved = wire.TaskExited, why, saved
	m.reportDue = true
	if why == wire.WhyDone {
		m.cluster.completeTask(t)
	} else {
		m.cluster.loseTask(t)
	}
}

// report is the worker's message; the cluster's lock is held.
func (m *machine) report() wire.Report {
	m.lastSeq++
	r := wire.Report{Machine: m.name, Addr: m.addr, Type: m.machineType.Name, Zone: m.zone, Spot: m.spot,
		Session: m.session, Seq: m.lastSeq, Token: m.token, NoticeS: m.interruptionNotice}
	for _, k := range m.order {
		t := m.tasks[k]
		r.Tasks = append(r.Tasks, wire.TaskReport{Task: t.name, Attempt: t.attempt, State: t.state, Why: t.exitReason, Saved: t.saved})
	}
	return r
}

func (m *machine) sendReports() {
	w := m.cluster.Settings.Cluster.Workers
	last := time.Time{}
	for m.ctx.Err() == nil {
		m.cluster.mu.Lock()
		interval := secs(w.ReportS * (0.75 + 0.5*m.cluster.random.Float64()))
		hung, changed := m.hung, m.reportDue
		m.cluster.mu.Unlock()
		since := time.Since(last)
		if hung || since < interval && (!changed || since < 500*time.Millisecond) {
			if !call.Pause(m.ctx, stepInterval) {
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
		copied = m.cluster.sendCopiesAhead(r)
	}
	ctx, cancel := context.WithTimeout(m.ctx, replyTimeout)
	defer cancel()
	status, body, err := call.Do(ctx, m.client, http.MethodPost, "http://"+node.addr+wire.PathReport, r, maxReply)
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.awaitResume(at)
	if m.dead {
		return true
	}
	if err == nil {
		m.cluster.answeredReports[nodeAndMachine{node.name, m.name}] = at
		m.cluster.countOvertaken(r, copied, status)
	}
	if err != nil || status != http.StatusOK {
		m.reportDue = true
		if err == nil && m.redirect(status, body) {
			return true
		}
		m.reportsTo = (m.reportsTo + 1) % len(m.cluster.nodes)
		return false
	}
	m.takeAnswer(r, node, body, at)
	return true
}

// nextReport composes a report, chooses the node that it is sent to, and draws whether
// copies of it go ahead.
func (m *machine) nextReport() (r wire.Report, to *node, overtaken bool) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.reportDue = false
	r = m.report()
	m.cluster.maybeDuplicate(r)
	m.cluster.keepForFailover(r)
	to = m.cluster.nodes[m.reportsTo%len(m.cluster.nodes)]
	overtaken = m.cluster.failoverCopies.overtakeOneIn > 0 && m.cluster.pick(m.cluster.failoverCopies.overtakeOneIn) == 0
	return r, to, overtaken
}

// awaitResume waits while the machine hangs, at most until it drops the answer to the
// report that it sent at a time: what came while it hung is there when it goes on. The
// cluster's lock is held, but not while it waits.
func (m *machine) awaitResume(sent time.Time) {
	for m.hung && !m.dead && time.Since(sent) < replyTimeout {
		m.cluster.mu.Unlock()
		time.Sleep(stepInterval)
		m.cluster.mu.Lock()
	}
}

// redirect makes the machine report to the leader that a node has named, and says whether
// it has named another.
func (m *machine) redirect(status int, body []byte) bool {
	var to wire.Redirect
	if status != http.StatusMisdirectedRequest || wire.Unmarshal(body, &to) != nil {
		return false
	}
	for i, n := range m.cluster.nodes {
		if n.name == to.Leader && i != m.reportsTo {
			m.reportsTo = i
			return true
		}
	}
	return false
}

// takeAnswer renews the lease and carries out what a node has answered to a report, unless
// the answer is late, or of a former leader or session; the cluster's lock is held.
func (m *machine) takeAnswer(r wire.Report, from *node, body []byte, sent time.Time) {
	var a wire.ReportAnswer
	if wire.Unmarshal(body, &a) != nil || a.Token < m.token || r.Session != m.session || m.hung || time.Since(sent) >= replyTimeout {
		return
	}
	if time.Since(sent) > time.Second {
		m.lateReplies++
	}
	m.lastAnswered = answeredReport{m.name, r.Session, r.Seq, a.Token}
	m.noteToken(a.Token, sent)
	m.leaseRenewedAt = sent
	m.cluster.acceptedAnswers[nodeAndMachine{from.name, m.name}] = sent
	m.execute(a.Commands, time.Now())
}

func (m *machine) noteToken(token uint64, now time.Time) {
	if token > m.token {
		m.token = token
		if now.Sub(m.tokenChangedAt) > secs(m.cluster.Settings.Cluster.Workers.LeaseS/2) {
			m.reportDue, m.tokenChangedAt = true, now
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
			m.cluster.checkLaunch(k.name, now)
			m.launch(k, now)
		case c.Op == wire.OpForget && t != nil && t.state == wire.TaskExited:
			m.forget(k)
		case c.Op == wire.OpStop && t != nil && t.state != wire.TaskExited:
			m.cluster.stopTask(t, graceOf(c), now)
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
	t := &task{taskKey: k, machine: m, state: wire.TaskFetching, launchedAt: now}
	m.tasks[k] = t
	m.order = append(m.order, k)
	id, n, ok := wire.SplitTask(k.name)
	job := m.cluster.jobOf(id)
	if !ok || job == nil || n >= job.spec.Tasks {
		m.exit(t, wire.WhyUnknown, false)
		return
	}
	t.job, t.index = &job.spec, n
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
	if !used.fitIn(resourcesOf(m.machineType)) {
		m.exit(t, wire.WhyNoRoom, false)
		return
	}
	t.readyAt = now.Add(100 * time.Millisecond)
	m.cache.fetch(t.job.Image, t.job.ImageGB)
	m.reportDue = true
}

// ServeHTTP takes direct commands.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	for m.hung && !m.dead {
		m.cluster.mu.Unlock()
		time.Sleep(stepInterval)
		m.cluster.mu.Lock()
	}
	status := http.StatusOK
	if r.URL.Path == wire.PathCommands {
		held := false
		if status, held = m.receiveCommands(body); held {
			m.cluster.mu.Unlock()
			<-r.Context().Done()
			m.cluster.mu.Lock()
			return
		}
	}
	reply(w, status, m.report())
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
