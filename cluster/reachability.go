package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// This file detects asymmetric partitions: machines whose heartbeats arrive but which do
// not receive the answers. Without it the leader would place and launch tasks there for
// as long as the partition lasts, and none of them would ever run. A worker has one
// heartbeat in flight at a time and discards late answers, so that its next heartbeat
// shows whether it received the last answer: by the fencing token, the tasks launched and
// the exits forgotten. A machine that missed one is unreachable, and gets no tasks until
// a heartbeat proves that it receives answers again.

const (
	// probeAttempt is the attempt number in probes. Real attempts, which wake-ups
	// name, never reach it, so that a probe can't be mistaken for a wake-up.
	probeAttempt = 1 << 40
	// unreachableRetention is how long beyond a lease an empty unreachable machine is kept
	// before it is deleted, the same as for a silent one.
	unreachableRetention = 40 * time.Second
	// probeSearchLimit bounds the search for a job that a probe can name.
	probeSearchLimit = 1000
)

// reachability is what the heartbeats of a machine have shown of whether it receives the
// answers to them.
type reachability struct {
	heartbeatsSince  time.Time   // when its current run of heartbeats began; zero once it has missed an answer
	tokenEverShown   bool        // a heartbeat carried this leader's token, possibly before its lease expired
	unreachableSince time.Time   // since when it misses answers; zero if it is not known to miss any
	receivingNode    string      // the node that received its last heartbeat
	answeredSeq      uint64      // sequence number of the last heartbeat answered
	answeredTwice    heartbeatID // the last heartbeat that got two answers, of which the worker accepts one at most
	// Contents of the last answer that the next heartbeat must reflect.
	answerPending  bool
	pendingForgets []exitKey
	pendingProbe   exitKey
}

// recordAnswer records that a heartbeat has been answered: the next one shows whether the
// worker received the answer.
func (h *reachability) recordAnswer(seq uint64) { h.answerPending, h.answeredSeq = true, seq }

// forgetSent records that an answer contains a command to forget an exit. The next
// heartbeat lists that exit only if the answer was not received.
func (h *reachability) forgetSent(exit exitKey) { h.pendingForgets = append(h.pendingForgets, exit) }

// heartbeatID identifies a heartbeat of one machine.
type heartbeatID struct{ epoch, seq uint64 }

// unreachable reports whether the machine's heartbeats show that it does not receive the
// answers to them.
func (mc *Machine) unreachable() bool { return !mc.reachability.unreachableSince.IsZero() }

// unreachableSign is what showed that a machine did not receive an answer, for the log.
type unreachableSign string

const (
	signTokenMissing    unreachableSign = "token"  // the fencing token of the answer is not shown
	signNewEpoch        unreachableSign = "epoch"  // a new epoch although the lease was renewed
	signLaunchMissing   unreachableSign = "launch" // a task whose launch was in the answer is not listed
	signExitListedAgain unreachableSign = "forget" // an exit that the answer told the worker to forget is listed
	signOtherNode       unreachableSign = "node"   // the worker has changed to another node
)

// markUnreachable records that a machine has missed an answer. Until its heartbeats prove
// otherwise, no task is placed or launched there.
func (m *Model) markUnreachable(mc *Machine, sign unreachableSign, now time.Time) {
	if !mc.unreachable() {
		m.log.Info("machine receives no answers", "machine", mc.Name, "epoch", mc.AgentEpoch, "sign", sign)
		mc.reachability.unreachableSince = now
	}
	mc.reachability.heartbeatsSince = time.Time{}
}

// markReachable records a proof that a machine receives answers.
func (m *Model) markReachable(mc *Machine, now time.Time) {
	if mc.unreachable() {
		m.log.Info("machine receives answers again", "machine", mc.Name, "after", now.Sub(mc.reachability.unreachableSince).Seconds())
		mc.reachability.unreachableSince = time.Time{}
	}
}

// expectedEffects is what the last answer must have changed in the next heartbeat, if the
// worker received it.
type expectedEffects struct {
	answered bool      // there was an answer
	forgets  []exitKey // exits that must not be listed any more
	probe    exitKey   // exit of the probe, which must be listed
}

// takeExpectedEffects returns what the next heartbeat must reflect, and expects nothing any
// more.
func (h *reachability) takeExpectedEffects() expectedEffects {
	e := expectedEffects{answered: h.answerPending, forgets: h.pendingForgets, probe: h.pendingProbe}
	h.answerPending, h.pendingForgets, h.pendingProbe = false, nil, exitKey{}
	return e
}

// updateReachability derives from a new heartbeat whether the machine received the answer
// to the previous one. It must run before the heartbeat changes mc.
func (m *Model) updateReachability(mc *Machine, heartbeat *wire.Heartbeat, now time.Time) {
	h := &mc.reachability
	expected := h.takeExpectedEffects()
	if !mc.alive {
		h.heartbeatsSince = now
		if h.tokenEverShown && !mc.unreachable() {
			h.unreachableSince = now // silent for a lease: earlier proofs no longer count
		}
	}
	if heartbeat.Token < m.FencingToken {
		m.applyMissingToken(mc, expected, now)
		return
	}
	if !h.tokenEverShown {
		h.tokenEverShown = true
		m.markReachable(mc, now)
	}
	if heartbeat.AgentEpoch != mc.AgentEpoch {
		// A new epoch although an answer was sent: its lease expired all the same.
		if expected.answered && now.Sub(mc.lastAnswered) < config.Seconds(m.settings.Cluster.Workers.LeaseS/2) {
			m.markUnreachable(mc, signNewEpoch, now)
			m.releaseReservedPlacements(mc, now)
		}
		return
	}
	m.checkExpectedEffects(mc, heartbeat, expected, now)
}

// applyMissingToken applies a heartbeat without this leader's fencing token. The worker has
// accepted no answer of this leader, and discards all answers to earlier heartbeats by now,
// so that none of them has renewed its lease. Counting them would delay the restart of its
// tasks, above all where they answered delayed heartbeats of a machine that is gone.
func (m *Model) applyMissingToken(mc *Machine, expected expectedEffects, now time.Time) {
	mc.DiscountAnswers()
	if expected.answered {
		m.markUnreachable(mc, signTokenMissing, now)
	}
	if (mc.alive || len(mc.Tasks) > 0) && now.After(m.leaseEnd(mc)) {
		m.loseTasksOn(mc, lossLeaseExpired, now)
	}
}

// checkExpectedEffects derives from a heartbeat of the same epoch whether the last answer
// was received: the exit of its probe is listed, and the exits that it forgot are not.
func (m *Model) checkExpectedEffects(mc *Machine, heartbeat *wire.Heartbeat, expected expectedEffects, now time.Time) {
	listed := make(map[exitKey]bool, len(expected.forgets))
	for i := range heartbeat.Tasks {
		k := exitKey{heartbeat.Tasks[i].Task, heartbeat.Tasks[i].Attempt}
		if k == expected.probe {
			m.markReachable(mc, now)
		}
		listed[k] = true
	}
	for _, k := range expected.forgets {
		if !listed[k] {
			m.markReachable(mc, now)
		} else if (heartbeatID{mc.AgentEpoch, mc.Seq}) != mc.reachability.answeredTwice {
			m.markUnreachable(mc, signExitListedAgain, now)
		}
	}
}

// recordRepeatedAnswer records that a copy of the newest heartbeat is answered as well. The worker
// may accept either answer, so that neither a missing effect of the first one nor the node
// that receives the next heartbeat shows any more that an answer was lost. The fencing
// token still does, because both answers carry it.
func (mc *Machine) recordRepeatedAnswer(via string) {
	h := &mc.reachability
	h.answeredTwice = heartbeatID{mc.AgentEpoch, mc.Seq}
	if h.receivingNode != via {
		h.receivingNode = ""
	}
}

// RecordReceivingNode records which node received the heartbeat that was just applied. A
// worker stays with the node that has answered it, so that if its very next heartbeat
// arrives at another node, the answer was lost and the machine counts as unreachable.
func (m *Model) RecordReceivingNode(mc *Machine, via string, now time.Time) {
	h := &mc.reachability
	if h.receivingNode != "" && h.receivingNode != via && mc.Seq == h.answeredSeq+1 {
		m.markUnreachable(mc, signOtherNode, now)
	}
	h.receivingNode = via
}

// releaseReservedPlacements removes reserved placements that were never launched from an
// unreachable machine whose lease has expired.
func (m *Model) releaseReservedPlacements(mc *Machine, now time.Time) {
	for _, ref := range sortedRefs(mc.Tasks) {
		j := m.Jobs[ref.Job]
		if p := j.Tasks[ref.Task].Placement; p != nil && !p.mayBeOnMachine() && j.reservation != nil {
			m.taskLost(j, ref.Task, lossMachineUnreachable, now)
		}
	}
}

// reachabilityProbe makes a command whose effect proves that an unreachable machine
// receives answers again: like a wake-up, it launches a task that no job has, which the
// worker refuses and lists as exited. While an answer carries a command to forget an exit
// no probe is needed, since the exit's absence from the next heartbeat proves the same.
// That includes the exit of an earlier probe.
func (m *Model) reachabilityProbe(mc *Machine) (wire.Command, bool) {
	if len(mc.reachability.pendingForgets) > 0 {
		return wire.Command{}, false
	}
	for i := len(m.Jobs) - 1; i >= max(0, len(m.Jobs)-probeSearchLimit); i-- {
		if j := m.Jobs[i]; j != nil {
			mc.reachability.pendingProbe = exitKey{wire.TaskName(j.ID, NoSuchTask), probeAttempt}
			return wire.Command{Op: wire.OpStart, Task: mc.reachability.pendingProbe.name, Attempt: mc.reachability.pendingProbe.attempt}, true
		}
	}
	return wire.Command{}, false // no recent job to name, and so nothing to place either
}

// mayProveReachable reports whether a machine began to send heartbeats so recently that
// its next one should show whether it receives answers.
func (m *Model) mayProveReachable(mc *Machine, now time.Time) bool {
	within := config.Seconds(1.25*m.settings.Cluster.Workers.HeartbeatS + 1)
	return mc.alive && mc.acceptsTasks() && now.Sub(mc.reachability.heartbeatsSince) < within
}

// unreachableTooLong reports whether a machine has been unreachable for so long that it
// should be replaced.
func (m *Model) unreachableTooLong(mc *Machine, now time.Time) bool {
	limit := config.Seconds(m.settings.Cluster.Workers.LeaseS) + unreachableRetention
	return mc.unreachable() && !m.mayProveReachable(mc, now) && mc.alive && now.Sub(mc.reachability.unreachableSince) > limit
}
