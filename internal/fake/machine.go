// Simulated machines with their workers and tasks.

package fake

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// BrokenClass is the class of jobs whose tasks fail on every machine.
const BrokenClass = "broken"

// stepInterval is the time step of the simulation of machines.
const stepInterval = 100 * time.Millisecond

// taskKey identifies an attempt of a task, or of a gang by the id of its job.
type taskKey struct {
	name    string
	attempt uint64
}

// task is an attempt of a task on a machine. The cluster's lock guards it.
type task struct {
	taskKey
	machine      *machine
	job          *wire.Job // nil if the worker doesn't know the job
	index        int       // in its job
	state        string    // one of the wire.Task constants
	exitReason   string    // one of the wire.Exit constants, once it has exited
	saved        bool      // it saved its progress before it exited
	launchedAt   time.Time
	readyAt      time.Time // earliest start, even if the image is cached
	present      bool      // it has its image and has not exited
	presentSince time.Time
	stopsAt      time.Time // when a stop command ends it; zero: no stop
	saving       bool      // it saves its progress until stopsAt
}

// machine is a machine with its worker.
type machine struct {
	// Set by newMachine and constant from then on.
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

	// Guarded by the cluster's lock. Only the fetch rate of machineType changes, and its other
	// fields are read without the lock.
	machineType wire.MachineType
	dead        bool // it was killed
	hung        bool // its worker neither simulates tasks nor communicates, but the machine keeps its tasks
	faulty      bool // its tasks fail
	tasks       map[taskKey]*task
	order       []taskKey // the tasks in the order of their launches
	cache       cache

	epoch              uint64 // incremented when a lease expires
	lastSeq            uint64 // sequence number of its last heartbeat
	token              uint64 // the highest fencing token that it has seen; 0: none
	tokenChangedAt     time.Time
	leaseRenewedAt     time.Time
	heartbeatTarget    int               // index of the controller that gets the next heartbeat
	heartbeatDue       bool              // its state has changed since its last heartbeat
	interruptionNotice *float64          // seconds until the cloud takes a spot machine back; nil: no notice
	lateReplies        int               // answers accepted more than a second after their heartbeats
	lastAnswered       answeredHeartbeat // its last heartbeat that was answered with status 200

	holdCommands        bool // direct commands are held until DeliverHeldCommands
	heldCommands        []wire.DirectCommands
	batchesSent         int // batches of direct commands received, except held ones
	newestBatchExecuted int // number of the last batch that was executed on arrival
	directExecuted      int // direct commands executed on arrival
}

// newMachine starts a machine. Its worker runs once the boot time is over.
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

// kill ends the machine and its tasks.
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

// clearTasks kills and removes all tasks. The caller holds the cluster's lock.
func (m *machine) clearTasks() {
	for _, k := range m.order {
		m.cluster.endIncompleteTask(m.tasks[k])
	}
	m.tasks, m.order = map[taskKey]*task{}, nil
}

// run boots the machine, and then runs its worker until the machine is killed.
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
	defer func() { _ = srv.Close() }() // fails only if kill has closed the listener
	defer m.client.CloseIdleConnections()
	m.cluster.mu.Lock()
	m.leaseRenewedAt = time.Now()
	m.heartbeatTarget = m.cluster.pick(len(m.cluster.nodes))
	m.cluster.mu.Unlock()
	m.cluster.wg.Go(m.runTasks)
	m.sendHeartbeats()
}

// runTasks simulates the tasks on the machine, step by step.
func (m *machine) runTasks() {
	for call.Pause(m.ctx, stepInterval) {
		m.cluster.mu.Lock()
		// A hung machine whose lease expires loses its tasks. One that resumes earlier keeps
		// them.
		if now := time.Now(); !m.dead && !m.expireLease(now) {
			m.checkCancelledTasks(now)
			if !m.hung {
				m.stepTasks(now)
			}
		}
		m.cluster.mu.Unlock()
	}
}

// expireLease reports whether the worker's lease has expired. If so, it kills and removes all
// tasks and begins a new epoch.
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

// checkCancelledTasks checks the tasks on the machine for cancelled jobs. It includes hung
// machines, because they keep their tasks and may resume.
func (m *machine) checkCancelledTasks(now time.Time) {
	for _, k := range m.order {
		if t := m.tasks[k]; t.present {
			m.cluster.checkCancelledTask(t, now)
		}
	}
}

// stepTasks advances fetches and tasks by a step. The caller holds the cluster's lock.
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

// exit ends a task with one of the wire.Exit constants. It does nothing if the task has exited.
// The caller holds the cluster's lock.
func (m *machine) exit(t *task, reason string, saved bool) {
	if t.state == wire.TaskExited {
		return
	}
	t.state, t.exitReason, t.saved = wire.TaskExited, reason, saved
	m.heartbeatDue = true
	if reason == wire.ExitDone {
		m.cluster.completeTask(t)
	} else {
		m.cluster.endIncompleteTask(t)
	}
}

// ServeHTTP receives direct commands and answers with the machine's heartbeat. While the machine
// hangs, requests wait.
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

// secs converts seconds to a time.Duration.
func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
