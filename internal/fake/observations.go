// Observations of tasks, machines and heartbeats for scenarios.

package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// FinishedTasks returns the number of a job's tasks that have completed on machines, whatever the
// controllers report. It returns 0 for an unknown job.
func (w *Cluster) FinishedTasks(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j != nil {
		return len(j.done)
	}
	return 0
}

// CheckpointedProgress returns the saved progress, in seconds, of a task by its name or of a gang
// by its job's id.
func (w *Cluster) CheckpointedProgress(name string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progress[name]
}

// Started returns the number of task starts so far.
func (w *Cluster) Started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// RanMoreThanOnce returns the number of other frontends' tasks that started more than once.
func (w *Cluster) RanMoreThanOnce() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, starts := range w.externalStarts {
		if starts > 1 {
			n++
		}
	}
	return n
}

// TasksPerMachine returns the number of running tasks by machine name, without idle machines.
func (w *Cluster) TasksPerMachine() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	for _, machines := range w.machinesOfTasks {
		for m := range machines {
			out[m.name]++
		}
	}
	return out
}

// ZoneOf returns a machine's zone.
func (w *Cluster) ZoneOf(name string) string { return w.Cloud.machine(name).zone }

// Running returns the number of tasks that have their image and have not exited.
func (w *Cluster) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, machines := range w.machinesOfTasks {
		n += len(machines)
	}
	return n
}

// ExpiredLeases returns how many leases of workers with tasks have expired so far.
func (w *Cluster) ExpiredLeases() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expiredLeases
}

// Unanswered returns the number of machines, neither dead nor hung, that have accepted no answer to
// a heartbeat sent since the given time.
func (w *Cluster) Unanswered(since time.Time) int {
	var all []*machine
	for _, name := range w.Cloud.Machines() {
		all = append(all, w.Cloud.machine(name))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, m := range all {
		if !m.dead && !m.hung && m.leaseRenewedAt.Before(since) {
			n++
		}
	}
	return n
}

// nodeAndMachine names a controller and a machine that sends it heartbeats.
type nodeAndMachine struct{ node, machine string }

// HeartbeatsAnswered returns the number of machines whose heartbeats, sent since the given time,
// the i-th controller has answered with any status. The second result is the number of machines
// that have accepted such an answer with status 200.
func (w *Cluster) HeartbeatsAnswered(i int, since time.Time) (answered, accepted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, sentAt := range w.answeredHeartbeats {
		if key.node == w.nodes[i].name && sentAt.After(since) {
			answered++
		}
	}
	for key, sentAt := range w.acceptedAnswers {
		if key.node == w.nodes[i].name && sentAt.After(since) {
			accepted++
		}
	}
	return answered, accepted
}

// FencingToken returns the token of the leader whose key is in the key-value store, or 0 if there
// is none.
func (w *Cluster) FencingToken() uint64 {
	w.Store.mu.Lock()
	defer w.Store.mu.Unlock()
	return w.Store.leaderToken()
}

// DirectCommandsExecuted returns the number of direct commands that a machine has executed on
// arrival. Commands that were delayed or held don't count.
func (w *Cluster) DirectCommandsExecuted(name string) int {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.directExecuted
}

// LateReplies returns the number of answers that a machine has accepted more than a second after it
// sent the heartbeat.
func (w *Cluster) LateReplies(name string) int {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.lateReplies
}

// CPUsInUse returns the number of CPUs that a team's running tasks use.
func (w *Cluster) CPUsInUse(team string) (cpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, machines := range w.machinesOfTasks {
		if id, _, _ := wire.ParseTaskName(name); w.jobs[id].spec.Team == team {
			cpus += w.jobs[id].spec.CPUs * float64(len(machines))
		}
	}
	return cpus
}
