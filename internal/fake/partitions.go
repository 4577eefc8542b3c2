package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file cuts machines off one way or another, and reads what happened to them.

// MarkInteraction notes that a scenario's troubles have met: rules broken from now on are said with
// how long after.
func (w *Cluster) MarkInteraction() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interactionAt = time.Now()
}

// BlockHeartbeats lets a machine open no connection to any controller, while direct
// commands reach it and are answered, or ends that.
func (w *Cluster) BlockHeartbeats(name string, on bool) {
	for _, n := range w.nodes {
		w.Network.SetOutgoingBlocked(name, n.name, on)
	}
}

// PartitionMachine cuts a machine off from every controller, or ends that.
func (w *Cluster) PartitionMachine(name string, on bool) {
	for _, n := range w.nodes {
		w.Network.setCut(n.name, name, on)
	}
}

// IsolateZone cuts the controllers and the machines of a zone off from all that is not
// in it, or ends that. Users, cloud and state service belong to no zone.
func (w *Cluster) IsolateZone(zone string, on bool) {
	var in []string
	out := []string{"state", "cloud", "user"}
	place := func(name, z string) {
		if z == zone {
			in = append(in, name)
		} else {
			out = append(out, name)
		}
	}
	for _, n := range w.nodes {
		place(n.name, n.cfg.Zone)
	}
	for _, name := range w.Cloud.Machines() {
		place(name, w.ZoneOf(name))
	}
	for _, a := range in {
		for _, b := range out {
			w.Network.setCut(a, b, on)
		}
	}
}

// FencingToken is the token of the leader whose key is in the key-value store; 0: there is
// none.
func (w *Cluster) FencingToken() uint64 {
	w.Store.mu.Lock()
	defer w.Store.mu.Unlock()
	return w.Store.leaderToken()
}

// DirectCommandsExecuted is how many direct commands a machine has carried out, those that
// DeliverHeldCommands delivered left out.
func (w *Cluster) DirectCommandsExecuted(name string) int {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.direct
}

// LateReplies is how many answers a machine has taken more than a second after it
// sent its report.
func (w *Cluster) LateReplies(name string) int {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.late
}

// CPUsInUse is what a team's tasks use.
func (w *Cluster) CPUsInUse(team string) (cpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, ms := range w.tasksWithImage {
		if id, _, _ := wire.SplitTask(name); w.jobs[id].spec.Team == team {
			cpus += w.jobs[id].spec.CPUs * float64(len(ms))
		}
	}
	return cpus
}
