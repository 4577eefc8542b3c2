package fake

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// BrokenClass is the class of jobs that fail on every machine.
const BrokenClass = "broken"

// stepInterval is how finely machines are simulated.
const stepInterval = 100 * time.Millisecond

// taskKey is an attempt of a task.
type taskKey struct {
	name    string
	attempt uint64
}

// task is a task on a machine. The cluster's lock guards it.
type task struct {
	taskKey
	machine      *machine
	job          *wire.Job // nil: unknown
	index        int       // in its job
	state        string    // one of the wire.Task constants
	exitReason   string    // one of the wire.Exit constants, once it has exited
	saved        bool      // it saved its progress before it exited
	launchedAt   time.Time
	readyAt      time.Time // its image is there no earlier
	present      bool      // it has its image and has not exited
	presentSince time.Time
	stopsAt      time.Time // when a stop ends it; zero: none
	saving       bool
}

// machine is a machine with its worker.
type machine struct {
	// Set by newMachine, and not changed afterwards.
	cluster   *Cluster
	name      string
	addr      string
	zone      string
	spot      bool
	createdAt time.Time
	bootTime  time.Duration
	client    *http.Client
	ctx       context.Context // ends with the machine
	stop      context.CancelFunc

	// The cluster's lock guards all that follows. Of machineType only the rate of fetches
	// changes; the rest of it is read without the lock.
	machineType wire.MachineType
	dead        bool
	hung        bool
	faulty      bool // its tasks fail
	tasks       map[taskKey]*task
	order       []taskKey // the tasks in the order of their launches
	cache       cache

	epoch              uint64 // changes when a lease expires
	lastSeq            uint64 // of its heartbeats
	token              uint64 // the highest fencing token that it has seen
	tokenChangedAt     time.Time
	leaseRenewedAt     time.Time
	heartbeatsTo       int  // the index of the node that its next heartbeat is sent to
	heartbeatDue       bool // something has changed since its last heartbeat
	interruptionNotice *float64
	lateReplies        int               // answers accepted more than a second after their heartbeats
	lastAnswered       answeredHeartbeat // the last heartbeat of its own that was answered 200, and by whom

	holdCommands        bool // direct commands are held back
	heldCommands        []wire.DirectCommands
	batchesSent         int // batches of direct commands that were sent to it
	newestBatchExecuted int // the newest of them, in the order of sending, that was executed at once
	directExecuted      int // direct commands executed as they arrived
}

// newMachine makes a machine, which comes up after its boot time.
func newMachine(w *Cluster, name string, typ wire.MachineType, zone string, spot bool, boot time.Duration) *machine {
	ctx, stop := context.WithCancel(w.ctx)
	m := &machine{cluster: w, name: name, addr: name + ":9000", machineType: typ, zone: zone, spot: spot, createdAt: time.Now(),
		bootTime: boot, ctx: ctx, stop: stop, epoch: 1, tasks: map[taskKey]*task{}}
	m.client = call.NewClient(w.Network.Dial(name), 2, 2)
	w.wg.Go(m.run)
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
		m.cluster.endIncompleteTask(m.tasks[k])
	}
	m.tasks, m.order = map[taskKey]*task{}, nil
}

// run boots the machine, and then runs its worker until the machine ends.
func (m *machine) run() {
	if !call.Pause(m.ctx, m.bootTime) {
		return
	}
	l, err := m.cluster.Network.Listen("tcp", m.addr)
	if err != nil {
		return
	}
	srv := &http.Server{Handler: m}
	m.cluster.wg.Go(func() { _ = srv.Serve(l) })
	defer func() { _ = srv.Close() }() // the machine is gone: its listener too
	defer m.client.CloseIdleConnections()
	m.cluster.mu.Lock()
	m.leaseRenewedAt = time.Now()
	m.heartbeatsTo = m.cluster.pick(len(m.cluster.nodes))
	m.cluster.mu.Unlock()
	m.cluster.wg.Go(m.runTasks)
	m.sendHeartbeats()
}

// runTasks simulates what is on the machine, step by step.
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

// expireLease kills and forgets all tasks once the lease is over, and reports whether it is.
func (m *machine) expireLease(now time.Time) bool {
	if now.Sub(m.leaseRenewedAt) <= secs(m.cluster.Settings.Cluster.Workers.LeaseS) {
		return false
	}
	if len(m.order) > 0 {
		m.cluster.expiredLeases++
	}
	m.clearTasks()
	m.epoch++
	m.leaseRenewedAt = now
	m.heartbeatDue = true
	return true
}

// checkCancelledTasks checks what is on the machine of jobs that are cancelled. A machine
// that hangs has it all the same, and may resume with it.
func (m *machine) checkCancelledTasks(now time.Time) {
	for _, k := range m.order {
		if t := m.tasks[k]; t.present {
			m.cluster.checkCancelledTask(t, now)
		}
	}
}

// stepTasks advances what is on the machine; the cluster's lock is held.
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
			m.heartbeatDue = true
			m.cluster.startTask(t, now)
			if m.faulty || t.job.Class == BrokenClass {
				m.exit(t, wire.ExitError, false)
				continue
			}
		}
		m.cluster.advanceTask(t, now)
	}
}

// exit ends a task; the cluster's lock is held.
func (m *machine) exit(t *task, why string, saved bool) {
	if t.state == wire.TaskExited {
		return
	}
	t.state, t.exitReason, t.saved = wire.TaskExited, why, saved
	m.heartbeatDue = true
	if why == wire.ExitDone {
		m.cluster.completeTask(t)
	} else {
		m.cluster.endIncompleteTask(t)
	}
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
	reply(w, status, m.heartbeat())
}

// secs is a duration of a number of seconds.
func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
