// Faults of machines that scenarios inject.

package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// KillMachine ends a machine without notice. The cloud lists it as failed until it is deleted.
func (w *Cluster) KillMachine(name string) { w.Cloud.machine(name).kill() }

// HangMachine makes a machine neither run tasks nor communicate until ResumeMachine. It does
// nothing if the machine doesn't exist.
func (w *Cluster) HangMachine(name string) {
	if m := w.Cloud.machine(name); m != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.hung = true
	}
}

// ResumeMachine ends the fault of HangMachine. It does nothing if the machine doesn't exist.
func (w *Cluster) ResumeMachine(name string) {
	if m := w.Cloud.machine(name); m != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.hung = false
	}
}

// MakeMachineFaulty makes all tasks that start on a machine from now on fail.
func (w *Cluster) MakeMachineFaulty(name string) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	m.faulty = true
}

// rogueAttempt is an attempt number higher than any that a leader assigns.
const rogueAttempt = 1 << 40

// LaunchWithoutLeader makes a worker launch a task that no controller has placed, for tests that
// the checker reports it.
func (w *Cluster) LaunchWithoutLeader(name, task string) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	if id, _, ok := wire.ParseTaskName(task); ok && w.jobs[id] != nil {
		m.cache.use(w.jobs[id].spec.Image, w.jobs[id].spec.ImageGB, m.machineType.CacheGB, func(string) bool { return true })
	}
	// The task starts at once. Otherwise a controller could stop it before the checker sees it.
	now := time.Now()
	key := taskKey{task, rogueAttempt}
	m.launch(key, now)
	if t := m.tasks[key]; t.state == wire.TaskFetching {
		t.readyAt = now
		m.stepTasks(now)
	}
}

// SendInterruptionNotice tells a worker that the cloud takes its spot machine back, which happens
// after the given time.
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
