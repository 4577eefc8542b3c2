// Detection of active faults, and the checks that are stricter without faults: status queries are
// answered, and tasks of cancelled jobs are not launched.

package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// faultCheckInterval is the interval at which the cluster checks for injected faults.
	faultCheckInterval = 200 * time.Millisecond
	// forgottenTimeout is how long status queries of a job may fail without faults. After that
	// the job counts as forgotten.
	forgottenTimeout = 75 * time.Second
	// settleTime is the time without faults that must precede a cancellation for the stricter
	// limit launchGrace to apply.
	settleTime = 20 * time.Second
	// launchGrace is how long after a cancellation without faults a launch may arrive.
	launchGrace = 2 * time.Second
)

// monitorFaults calls noteFaults at intervals until the cluster ends.
func (w *Cluster) monitorFaults() {
	for call.Pause(w.ctx, faultCheckInterval) {
		w.noteFaults()
	}
}

// noteFaults sets lastFaultAt if a fault is active.
func (w *Cluster) noteFaults() {
	if !w.FaultActive() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastFaultAt = time.Now()
}

// FaultActive reports whether any injected fault is active.
func (w *Cluster) FaultActive() bool {
	hosts := map[string]bool{stateHost: true, cloudHost: true, userHost: true}
	for _, name := range w.Cloud.Machines() {
		hosts[name] = true
	}
	return w.nodesFaulty(hosts) || w.Network.faulty(hosts) || w.Store.faulty() || w.Cloud.faulty()
}

// nodesFaulty reports whether a controller is down, a machine hangs, or messages to or from workers
// are copied or delayed. It adds the controllers to the existing hosts.
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

// faulty reports whether messages between existing hosts are lost or held, or one of these hosts is
// paused.
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

// faulty reports whether a fault makes the key-value store refuse, delay or not answer requests, or
// a scenario has damaged its records.
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

// faulty reports whether a fault makes the cloud refuse, delay or not answer requests.
func (c *Cloud) faulty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outage || c.dropReplies || c.replyDelay > 0 || c.deleteDelay > 0
}

// checkAnswered records whether a status query of a job was answered. A job whose queries all fail
// for forgottenTimeout without faults counts as forgotten, which is a violation. The caller holds
// the lock.
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

// checkLaunch checks that a launch doesn't arrive at a worker too long after its job's
// cancellation. A leader that doesn't know of the cancellation acts no longer than its lease, and
// workers drop answers after replyTimeout. Without faults leaders learn of a cancellation at once,
// and the limit is launchGrace. Launches of tasks that are stopped at once count too. The caller
// holds the lock.
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
