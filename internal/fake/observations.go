package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file reads what has become of tasks, machines and heartbeats, for scenarios.

// FinishedTasks is how many tasks of a job have really completed.
func (w *Cluster) FinishedTasks(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j != nil {
		return len(j.done)
	}
	return 0
}

// CheckpointedProgress is the progress of a task, or of a gang's job, that outlives a stop.
func (w *Cluster) CheckpointedProgress(name string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.progress[name]
}

// Started is how many tasks have got on a machine.
func (w *Cluster) Started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// RanMoreThanOnce is how many tasks of jobs of other frontends ran more than once.
func (w *Cluster) RanMoreThanOnce() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, k := range w.externalStarts {
		if k > 1 {
			n++
		}
	}
	return n
}

// TasksPerMachine is how many tasks are on each machine that has any.
func (w *Cluster) TasksPerMachine() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	for _, on := range w.machinesOfTasks {
		for m := range on {
			out[m.name]++
		}
	}
	return out
}

// ZoneOf is a machine's zone.
func (w *Cluster) ZoneOf(name string) string { return w.Cloud.machine(name).zone }

// Running is how many tasks are on machines.
func (w *Cluster) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, on := range w.machinesOfTasks {
		n += len(on)
	}
	return n
}

// ExpiredLeases is how many workers' leases have ended so far while they had tasks.
func (w *Cluster) ExpiredLeases() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expiredLeases
}

// Unanswered is how many living machines have had no answer since then.
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

// nodeAndMachine is a node and a machine that sends it heartbeats.
type nodeAndMachine struct{ node, machine string }

// HeartbeatsAnswered is how many machines a node has answered since then, and how many of them
// have taken a 200 of it: reports that were sent since.
func (w *Cluster) HeartbeatsAnswered(i int, since time.Time) (answered, kept int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r, at := range w.answeredHeartbeats {
		if r.node == w.nodes[i].name && at.After(since) {
			answered++
		}
	}
	for r, at := range w.acceptedAnswers {
		if r.node == w.nodes[i].name && at.After(since) {
			kept++
		}
	}
	return answered, kept
}

// FencingToken is the token of the leader whose key is in the key-value store; 0: there is
// none.
func (w *Cluster) FencingToken() uint64 {
	w.Store.mu.Lock()
	defer w.Store.mu.Unlock()
	return w.Store.leaderToken()
}

// DirectCommandsExecuted is how many direct commands a machine has executed as they arrived:
// those that were delayed or held back before do not count.
func (w *Cluster) DirectCommandsExecuted(name string) int {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.directExecuted
}

// LateReplies is how many answers a machine has taken more than a second after it
// sent its heartbeat.
func (w *Cluster) LateReplies(name string) int {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.lateReplies
}

// CPUsInUse is what a team's tasks use.
func (w *Cluster) CPUsInUse(team string) (cpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, ms := range w.machinesOfTasks {
		if id, _, _ := wire.ParseTaskName(name); w.jobs[id].spec.Team == team {
			cpus += w.jobs[id].spec.CPUs * float64(len(ms))
		}
	}
	return cpus
}
