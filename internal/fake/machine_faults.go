package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// This file injects faults into machines.

// KillMachine ends a machine without notice; it stays listed for a while.
func (w *Cluster) KillMachine(name string) { w.Cloud.machine(name).kill() }

// HangMachine makes a machine do nothing until ResumeMachine. One that has been returned
// meanwhile stays gone.
func (w *Cluster) HangMachine(name string) {
	if m := w.Cloud.machine(name); m != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.hung = true
	}
}

// ResumeMachine ends what HangMachine began.
func (w *Cluster) ResumeMachine(name string) {
	if m := w.Cloud.machine(name); m != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.hung = false
	}
}

// MakeMachineFaulty makes tasks fail on a machine.
func (w *Cluster) MakeMachineFaulty(name string) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	m.faulty = true
}

// rogueAttempt is an attempt that no leader gets to.
const rogueAttempt = 1 << 40

// LaunchWithoutLeader makes a worker launch a task behind the controllers' backs, for
// scenarios that show that the checker sees it.
func (w *Cluster) LaunchWithoutLeader(name, task string) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	if id, _, ok := wire.ParseTaskName(task); ok && w.jobs[id] != nil {
		m.cache.use(w.jobs[id].spec.Image, w.jobs[id].spec.ImageGB, m.machineType.CacheGB, func(string) bool { return true })
	}
	// At once, before any controller can notice: what the checker sees must not
	// depend on who is faster.
	now := time.Now()
	key := taskKey{task, rogueAttempt}
	m.launch(key, now)
	if t := m.tasks[key]; t.state == wire.TaskFetching {
		t.readyAt = now
		m.stepTasks(now)
	}
}

// SendInterruptionNotice tells a worker that its machine will be taken.
func (w *Cluster) SendInterruptionNotice(name string, in time.Duration) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	seconds := in.Seconds()
	m.interruptionNotice, m.heartbeatDue = &seconds, true
	w.mu.Unlock()
	w.wg.Go(func() {
		if call.Pause(m.ctx, in) {
			m.kill()
			w.Cloud.mu.Lock()
			delete(w.Cloud.machines, name)
			w.Cloud.mu.Unlock()
		}
	})
}
