package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// This file checks what has to hold once no fault is injected any more: users' questions
// are answered, and what is cancelled is not launched.

const (
	// faultCheckInterval is how often the cluster looks for faults that are injected.
	faultCheckInterval = 200 * time.Millisecond
	// forgottenTimeout is for how long questions about a job may go unanswered without
	// faults: after that it counts as forgotten.
	forgottenTimeout = 75 * time.Second
	// settleTime is for how long there must have been no fault before a cancellation,
	// for its job's launches to end with it.
	settleTime = 20 * time.Second
	// launchGrace is how long after such a cancellation a launch may arrive.
	launchGrace = 2 * time.Second
)

// monitorFaults records when a fault was last seen to be injected, until the cluster ends.
func (w *Cluster) monitorFaults() {
	for call.Pause(w.ctx, faultCheckInterval) {
		w.noteFaults()
	}
}

// noteFaults records that a fault is injected now, if one is.
func (w *Cluster) noteFaults() {
	if !w.FaultActive() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFaultAt = time.Now()
}

// FaultActive reports whether any fault is injected at the moment.
func (w *Cluster) FaultActive() bool {
	hosts := map[string]bool{stateHost: true, cloudHost: true, userHost: true}
	for _, name := range w.Cloud.Machines() {
		hosts[name] = true
	}
	return w.nodesFaulty(hosts) || w.Network.faulty(hosts) || w.Store.faulty() || w.Cloud.faulty()
}

// nodesFaulty reports whether a node is down, a machine hangs, or messages of workers are
// copied or held up. It adds the nodes to the hosts that are there.
func (w *Cluster) nodesFaulty(hosts map[string]bool) bool {
	hung := false
	for name := range hosts {
		if m := w.Cloud.machine(name); m != nil {
			hung = hung || m.isHung()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	down := false
	for _, n := range w.nodes {
		hosts[n.name] = true
		down = down || !n.downSince.IsZero()
	}
	return hung || down || w.duplicateOneIn > 0 || w.duplicatesInFlight > 0 ||
		w.failoverCopies.oneIn > 0 || w.failoverCopies.overtakeOneIn > 0 || w.commandDelay.share > 0
}

// faulty reports whether messages between hosts that are there are lost or held up, or one
// of them is paused.
func (n *Network) faulty(hosts map[string]bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	between := func(a, b string) bool { return hosts[a] && hosts[b] }
	for cut := range n.cuts {
		if between(cut.a, cut.b) {
			return true
		}
	}
	for way := range n.outgoingBlocks {
		if between(way.from, way.to) {
			return true
		}
	}
	for way := range n.oneWayBlocks {
		if between(way.from, way.to) {
			return true
		}
	}
	for host := range n.paused {
		if hosts[host] {
			return true
		}
	}
	return false
}

// faulty reports whether the key-value store refuses, delays or does not answer requests.
func (s *KVStore) faulty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, by := range s.replyDelayTo {
		if by > 0 {
			return true
		}
	}
	d := &s.delays
	return s.outage || len(s.refusedNodes) > 0 || len(s.silentWatches) > 0 || s.latency > 0 || s.replyDelay > 0 ||
		s.delayNext.by > 0 || s.holdNext.release != nil || s.corrupted.Load() ||
		d.lateShare > 0 || d.lostReplyShare > 0 || d.leaseShare > 0 || d.waiting > 0
}

// faulty reports whether the cloud refuses, delays or does not answer requests.
func (c *Cloud) faulty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outage || c.dropReplies || c.replyDelay > 0 || c.deleteDelay > 0
}

// checkAnswered records whether a question about a job was answered. Without faults, one
// about which no question is answered for a while counts as forgotten. The lock is held.
func (w *Cluster) checkAnswered(id string, r userReply) {
	j := w.jobs[id]
	if j == nil || !j.accepted {
		return
	}
	now := time.Now()
	if r.answered() {
		j.unansweredSince = time.Time{}
		return
	}
	if j.unansweredSince.IsZero() || !j.unansweredSince.After(w.lastFaultAt) {
		j.unansweredSince = now
	}
	if now.Sub(j.unansweredSince) >= forgottenTimeout {
		w.violations.add("forgotten: no question about %s is answered for %v without faults", id, forgottenTimeout)
		j.unansweredSince = now
	}
}

// checkLaunch checks that a launch that arrives at a worker is not of a job that was
// cancelled longer ago than any leader may go on without knowing of it: a leader is sure
// for no longer than its lease from then, and a worker drops later answers. Without
// faults leaders learn of it at once. Starts that last for an instant count. The lock is
// held.
func (w *Cluster) checkLaunch(task string, now time.Time) {
	id, n, _ := wire.ParseTaskName(task)
	j := w.jobs[id]
	if j == nil || n >= j.spec.Tasks || j.cancelConfirmedAt.IsZero() {
		return
	}
	since := now.Sub(j.cancelConfirmedAt)
	limit := secs(w.Settings.Cluster.Workers.LeaderLeaseS()) + replyTimeout
	if j.cancelConfirmedAt.Sub(w.lastFaultAt) > settleTime {
		limit = launchGrace
	}
	if since > limit {
		w.violations.add("launched after its cancellation: %s, %.1f s later", task, since.Seconds())
	}
}
