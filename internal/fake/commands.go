// Delivery of direct commands to workers, the check of what controllers may send directly, and the
// fault in which a command is delayed and executed late.

package fake

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// Delays of batches that DelayDirectCommands selects.
const (
	minCommandDelay = 2 * time.Second
	maxCommandDelay = 16 * time.Second
)

// commandDelay is the fault of DelayDirectCommands. The cluster's lock guards it.
type commandDelay struct {
	share  float64 // of the batches
	random *rand.Rand
	counts DelayedCommands
}

// DelayedCommands counts the batches of direct commands that DelayDirectCommands has delayed, by
// their outcome. A batch may count in several fields.
type DelayedCommands struct {
	Held         int // delayed, whether they have arrived or not
	Executed     int // executed
	RefusedToken int // refused because the worker had seen a higher token
	RefusedEpoch int // refused because the worker's epoch had ended

	FormerLeader int // executed although their sender no longer led
	Overtaken    int // arrived after the execution of a batch that was sent to the machine later
	AfterHang    int // executed when their hung machine resumed
	EndedSaving  int // single stops without grace that ended a task while it saved
	NewerStart   int // single stops of an attempt that was launched after they were sent
}

// DelayDirectCommands delays a share of the batches of direct commands. They get no answer and are
// executed once, 2 s to 16 s later, if token and epoch still match. A share of 0 ends the fault
// for batches sent from now on.
func (w *Cluster) DelayDirectCommands(share float64, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.commandDelay.share = share
	w.commandDelay.random = rand.New(rand.NewPCG(seed, 41))
}

// DelayedCommands returns the counts of the commands that were delayed so far.
func (w *Cluster) DelayedCommands() DelayedCommands {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.commandDelay.counts
}

// delayedBatch is a delayed batch of direct commands.
type delayedBatch struct {
	wire.DirectCommands
	sent  time.Time
	order int // number among the batches sent to the machine
}

// draw draws whether a batch is delayed, and by how much. The caller holds the lock.
func (d *commandDelay) draw() (time.Duration, bool) {
	if d.share == 0 || d.random.Float64() >= d.share {
		return 0, false
	}
	span := int64(maxCommandDelay - minCommandDelay)
	return minCommandDelay + time.Duration(d.random.Int64N(span)), true
}

// receiveCommands executes a request with direct commands and returns the status of the answer. If
// held is true, the commands are held or delayed and get no answer. The caller holds the cluster's
// lock.
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

// executeDirect executes a batch of direct commands. The caller holds the cluster's lock.
func (m *machine) executeDirect(d wire.DirectCommands) {
	now := time.Now()
	m.noteToken(d.Token, now)
	m.execute(d.Commands, now)
}

// execute executes commands in their order. The caller holds the cluster's lock.
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

// graceOf returns the seconds that a stop command leaves its task to save.
func graceOf(c wire.Command) float64 {
	if c.GraceS == nil {
		return 0
	}
	return *c.GraceS
}

// forget removes a task that has exited.
func (m *machine) forget(k taskKey) {
	delete(m.tasks, k)
	if i := slices.Index(m.order, k); i >= 0 {
		m.order = slices.Delete(m.order, i, i+1)
	}
}

// launch adds a task, which then fetches its image. The task exits at once if it is unknown, if
// another attempt of it is on the machine, or if the machine has no room.
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

// deliverDelayed waits and then executes or refuses a delayed batch. If the machine hangs by then,
// the batch waits until it resumes.
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
	leader := m.cluster.FencingToken() // takes the store's lock, so before the cluster's is taken
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

// countDelayedStops counts the delayed stop commands by the state of their tasks. The caller holds
// the lock.
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

// isHung reports whether the machine hangs and is not dead.
func (m *machine) isHung() bool {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return m.hung && !m.dead
}

// checkDirectCommands checks that direct commands are harmless if they are executed minutes later.
// Stops are allowed, because they name an attempt. Launches are allowed only for tasks that their
// jobs don't have; these merely wake the worker. A late launch could start a task that runs
// elsewhere by then, and a late forget could remove an outcome that is not recorded yet. The
// caller holds the lock.
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

// HoldDirectCommands holds direct commands to a machine until DeliverHeldCommands.
func (w *Cluster) HoldDirectCommands(name string) {
	m := w.Cloud.machine(name) // takes the cloud's lock, which comes before the cluster's
	w.mu.Lock()
	defer w.mu.Unlock()
	m.holdCommands = true
}

// DeliverHeldCommands delivers all batches that HoldDirectCommands has held, even if their senders
// wait no longer or an earlier call has delivered them. Later batches are not held. It returns the
// numbers of executed and refused batches, both 0 if the machine no longer exists.
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
