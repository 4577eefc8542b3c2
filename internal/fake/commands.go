package fake

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// This file delivers direct commands to workers, checks what nodes send by them, and
// injects the fault in which a command is held up on its way and carried out late.

// How late a command that is held up is carried out.
const (
	minCommandDelay = 2 * time.Second
	maxCommandDelay = 16 * time.Second
)

// commandDelay is the share of direct commands that is held up. The cluster's lock guards
// it.
type commandDelay struct {
	share  float64
	random *rand.Rand
	counts DelayedCommands
}

// DelayedCommands counts what became of direct commands that were held up.
type DelayedCommands struct {
	Held         int // batches on their way or arrived
	Executed     int // batches that were carried out
	RefusedToken int // batches refused because the worker had seen a higher token
	RefusedEpoch int // batches refused because the worker's epoch had ended

	FormerLeader int // executed although the leader that sent them led no more
	Overtaken    int // arrived after a command that was sent to the same machine later
	AfterHang    int // waited for a machine that hung, and were executed as it resumed
	EndedSaving  int // stops without time to save that ended a task which was saving
	NewerStart   int // stops that met their own attempt, launched only after they were sent
}

// DelayDirectCommands holds up a share of the direct commands: they get no answer and are
// carried out once, 2 s to 16 s later, if token and epoch still match. 0 ends that for
// commands that are sent from now on.
func (w *Cluster) DelayDirectCommands(share float64, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commandDelay.share = share
	w.commandDelay.random = rand.New(rand.NewPCG(seed, 41))
}

// DelayedCommands returns what became of the commands that were held up so far.
func (w *Cluster) DelayedCommands() DelayedCommands {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.commandDelay.counts
}

// delayedBatch is a batch of direct commands that is held up.
type delayedBatch struct {
	wire.DirectCommands
	sent  time.Time
	order int // among all batches that were sent to the machine
}

// draw draws whether a batch is held up, and for how long; the lock is held.
func (d *commandDelay) draw() (time.Duration, bool) {
	if d.share == 0 || d.random.Float64() >= d.share {
		return 0, false
	}
	span := int64(maxCommandDelay - minCommandDelay)
	return minCommandDelay + time.Duration(d.random.Int64N(span)), true
}

// receiveCommands answers a request with direct commands; held says that it is held up, and
// gets no answer. The cluster's lock is held.
func (m *machine) receiveCommands(body []byte) (status int, held bool) {
	var d wire.DirectCommands
	if wire.Unmarshal(body, &d) != nil || d.AgentEpoch == 0 {
		return http.StatusBadRequest, false
	}
	m.cluster.checkDirectCommands(d.Commands)
	if m.holdCommands {
		m.heldCommands = append(m.heldCommands, d)
		return 0, true
	}
	m.batchesSent++
	if by, late := m.cluster.commandDelay.draw(); late {
		m.cluster.commandDelay.counts.Held++
		batch := delayedBatch{DirectCommands: d, sent: time.Now(), order: m.batchesSent}
		m.cluster.wg.Go(func() { m.deliverDelayed(batch, by) })
		return 0, true
	}
	if d.Token < m.token || d.AgentEpoch != m.epoch {
		return http.StatusConflict, false
	}
	m.newestBatchExecuted = m.batchesSent
	m.executeDirect(d)
	m.directExecuted += len(d.Commands)
	return http.StatusOK, false
}

// executeDirect carries a batch of direct commands out; the cluster's lock is held.
func (m *machine) executeDirect(d wire.DirectCommands) {
	now := time.Now()
	m.noteToken(d.Token, now)
	m.execute(d.Commands, now)
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
	id, n, ok := wire.ParseTaskName(k.name)
	job := m.cluster.jobOf(id)
	if !ok || job == nil || n >= job.spec.Tasks {
		m.exit(t, wire.ExitUnknown, false)
		return
	}
	t.job, t.index = &job.spec, n
	var used resources
	for _, o := range m.tasks {
		if o != t && o.name == k.name && o.state != wire.TaskExited {
			m.exit(t, wire.ExitBusy, false)
			return
		}
		if o.job != nil && o.state != wire.TaskExited {
			used = used.plus(o.job)
		}
	}
	if !used.fitIn(resourcesOf(m.machineType)) {
		m.exit(t, wire.ExitNoRoom, false)
		return
	}
	t.readyAt = now.Add(100 * time.Millisecond)
	m.cache.fetch(t.job.Image, t.job.ImageGB)
	m.heartbeatDue = true
}

// deliverDelayed carries a batch out that was held up. One that finds its machine hanging
// waits until that resumes.
func (m *machine) deliverDelayed(b delayedBatch, by time.Duration) {
	if !call.Pause(m.ctx, by) {
		return
	}
	hung := false
	for m.isHung() {
		hung = true
		if !call.Pause(m.ctx, stepInterval) {
			return
		}
	}
	leader := m.cluster.FencingToken() // before the cluster's lock, as everywhere
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	if m.dead {
		return
	}
	counts := &m.cluster.commandDelay.counts
	if m.newestBatchExecuted > b.order {
		counts.Overtaken++
	}
	switch {
	case b.AgentEpoch != m.epoch:
		counts.RefusedEpoch++
		return
	case b.Token < m.token:
		counts.RefusedToken++
		return
	}
	counts.Executed++
	if hung {
		counts.AfterHang++
	}
	if b.Token != leader {
		counts.FormerLeader++
	}
	m.countDelayedStops(b)
	m.executeDirect(b.DirectCommands)
	m.heartbeatDue = true
}

// countDelayedStops counts the states in which late stops find their tasks; the lock is held.
func (m *machine) countDelayedStops(b delayedBatch) {
	counts := &m.cluster.commandDelay.counts
	for _, c := range b.Commands {
		t := m.tasks[taskKey{c.Task, c.Attempt}]
		if c.Op != wire.OpStop || t == nil || t.state == wire.TaskExited {
			continue
		}
		if t.launchedAt.After(b.sent) {
			counts.NewerStart++
		}
		if t.state == wire.TaskSaving && graceOf(c) == 0 {
			counts.EndedSaving++
		}
	}
}

// isHung reports whether the machine hangs and has not ended.
func (m *machine) isHung() bool {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return m.hung && !m.dead
}

// checkDirectCommands checks what a node sends directly, since it may be carried out minutes
// later: stops, which name an attempt, and launches of tasks that their jobs do not have,
// which only wake the worker. A launch could start a task that runs elsewhere by then, and
// a forget could remove an outcome that is not recorded. The lock is held.
func (w *Cluster) checkDirectCommands(commands []wire.Command) {
	for _, c := range commands {
		id, n, ok := wire.ParseTaskName(c.Task)
		switch {
		case c.Op == wire.OpForget:
			w.violations.add("a forget of %s is sent directly", c.Task)
		case c.Op == wire.OpStart && ok && w.jobs[id] != nil && n < w.jobs[id].spec.Tasks:
			w.violations.add("a launch of %s is sent directly", c.Task)
		}
	}
}

// HoldDirectCommands holds back direct commands to a machine until they are delivered.
func (w *Cluster) HoldDirectCommands(name string) {
	m := w.Cloud.machine(name) // before the cluster's lock, as everywhere
	w.mu.Lock()
	defer w.mu.Unlock()
	m.holdCommands = true
}

// DeliverHeldCommands delivers what was held back, whether its sender still waits or
// not, and whether it was delivered before; what comes from now on is not held.
// It returns how many batches were executed and how many refused; a machine that
// has been returned does neither.
func (w *Cluster) DeliverHeldCommands(name string) (executed, refused int) {
	m := w.Cloud.machine(name)
	if m == nil {
		return 0, 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	m.holdCommands = false
	for _, d := range m.heldCommands {
		if d.Token < m.token || d.AgentEpoch != m.epoch {
			refused++
			continue
		}
		executed++
		m.executeDirect(d)
		m.heartbeatDue = true
	}
	return executed, refused
}
