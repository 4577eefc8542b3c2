package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// probeAttempt is the attempt number in probes. Real attempts never reach it. Wake-ups
	// have the numbers of real attempts, so that a probe can't be mistaken for a wake-up.
	probeAttempt = 1 << 40
	// unreachableRetention is how long an empty unreachable machine is kept in addition to the
	// lease time. It equals silentRetention.
	unreachableRetention = 40 * time.Second
	// probeSearchLimit bounds the number of jobs searched for one that a probe can name.
	probeSearchLimit = 1000
)

// reachability records whether a machine receives the answers to its heartbeats. It detects
// asymmetric partitions, in which heartbeats arrive and answers don't. Without the detection the
// leader would place and launch tasks on such a machine while the partition lasts, and none of
// them would run.
//
// A worker has one heartbeat in flight at a time and discards late answers. Its next heartbeat
// therefore shows whether it received the last answer: by the fencing token, the tasks launched
// and the exits forgotten. A machine that missed an answer is unreachable. It gets no tasks until
// a heartbeat proves that it receives answers again.
type reachability struct {
	heartbeatsSince  time.Time   // when its heartbeats began after silence; zero if it has missed an answer since
	tokenEverShown   bool        // a heartbeat carried this leader's token, possibly before its lease expired
	unreachableSince time.Time   // since when it misses answers; zero if it is reachable
	receivingNode    string      // the node that received its last heartbeat
	answeredSeq      uint64      // sequence number of the last heartbeat answered
	answeredTwice    heartbeatID // the last heartbeat that was answered twice; the worker accepts at most one answer
	// What the next heartbeat must show if the worker received the last answer.
	answerPending  bool
	pendingForgets []exitKey
	pendingProbe   exitKey
}

// recordAnswer records that a heartbeat is answered. The next heartbeat shows whether the worker
// received the answer.
func (h *reachability) recordAnswer(seq uint64) { h.answerPending, h.answeredSeq = true, seq }

// forgetSent records that an answer has a command to forget an exit. The next heartbeat lists
// that exit only if the worker did not receive the answer.
func (h *reachability) forgetSent(exit exitKey) { h.pendingForgets = append(h.pendingForgets, exit) }

// heartbeatID identifies a heartbeat of one machine.
type heartbeatID struct{ epoch, seq uint64 }

// unreachable reports whether the machine's heartbeats have shown that it does not receive
// answers.
func (mc *Machine) unreachable() bool { return !mc.reachability.unreachableSince.IsZero() }

// unreachableSign is the observation that showed that a machine missed an answer. It is logged.
type unreachableSign string

const (
	signTokenMissing    unreachableSign = "token"  // the fencing token of the answer is not shown
	signNewEpoch        unreachableSign = "epoch"  // a new agent epoch although the answer renewed the lease
	signLaunchMissing   unreachableSign = "launch" // a task that the answer launched is not listed
	signExitListedAgain unreachableSign = "forget" // an exit that the answer forgot is listed again
	signOtherNode       unreachableSign = "node"   // the worker changed to another node
)

// markUnreachable records that a machine missed an answer. No task is placed or launched there
// until markReachable is called.
func (m *Model) markUnreachable(mc *Machine, sign unreachableSign, now time.Time) {
	if !mc.unreachable() {
		m.log.Info("machine receives no answers", "machine", mc.Name, "epoch", mc.AgentEpoch, "sign", sign)
		mc.reachability.unreachableSince = now
	}
	mc.reachability.heartbeatsSince = time.Time{}
}

// markReachable records proof that a machine receives answers.
func (m *Model) markReachable(mc *Machine, now time.Time) {
	if mc.unreachable() {
		m.log.Info("machine receives answers again", "machine", mc.Name, "after", now.Sub(mc.reachability.unreachableSince).Seconds())
		mc.reachability.unreachableSince = time.Time{}
	}
}

// expectedEffects are the effects that the last answer has on the next heartbeat if the worker
// received the answer.
type expectedEffects struct {
	answered bool      // the last heartbeat was answered
	forgets  []exitKey // exits that must not be listed
	probe    exitKey   // exit of the probe, which must be listed; zero without a probe
}

// takeExpectedEffects returns the effects that the next heartbeat must show, and clears them.
func (h *reachability) takeExpectedEffects() expectedEffects {
	e := expectedEffects{answered: h.answerPending, forgets: h.pendingForgets, probe: h.pendingProbe}
	h.answerPending, h.pendingForgets, h.pendingProbe = false, nil, exitKey{}
	return e
}

// updateReachability determines from a new heartbeat whether the machine received the answer to
// the previous one. It must run before the heartbeat is recorded in mc.
func (m *Model) updateReachability(mc *Machine, heartbeat *wire.Heartbeat, now time.Time) {
	h := &mc.reachability
	expected := h.takeExpectedEffects()
	if !mc.alive {
		h.heartbeatsSince = now
		if h.tokenEverShown && !mc.unreachable() {
			h.unreachableSince = now // its lease expired, so that earlier proofs no longer count
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
		// The worker's lease expired although this leader sent an answer.
		if expected.answered && now.Sub(mc.lastAnswered) < config.Seconds(m.settings.Cluster.Workers.LeaseS/2) {
			m.markUnreachable(mc, signNewEpoch, now)
			m.releaseReservedPlacements(mc, now)
		}
		return
	}
	m.checkExpectedEffects(mc, heartbeat, expected, now)
}

// applyMissingToken applies a heartbeat without this leader's fencing token. The worker has
// accepted no answer of this leader and now discards all answers to earlier heartbeats, so that
// none of them renewed its lease. If they counted, the restart of its tasks would be delayed.
// The delay would be worst for answers to delayed heartbeats of a machine that is gone.
func (m *Model) applyMissingToken(mc *Machine, expected expectedEffects, now time.Time) {
	mc.DiscountAnswers()
	if expected.answered {
		m.markUnreachable(mc, signTokenMissing, now)
	}
	if (mc.alive || len(mc.Tasks) > 0) && now.After(m.leaseEnd(mc)) {
		m.loseTasksOn(mc, lossLeaseExpired, now)
	}
}

// checkExpectedEffects determines from a heartbeat of the same agent epoch whether the last
// answer was received. In that case the exit of its probe is listed, and the exits that it forgot
// are not.
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

// recordRepeatedAnswer records that another copy of the newest heartbeat, received by the given
// node, is answered too. The worker may accept either answer. Therefore neither a missing effect
// of the first answer nor a change of node is a sign of a lost answer any more. A missing fencing
// token still is, because both answers carry the token.
func (mc *Machine) recordRepeatedAnswer(node string) {
	h := &mc.reachability
	h.answeredTwice = heartbeatID{mc.AgentEpoch, mc.Seq}
	if h.receivingNode != node {
		h.receivingNode = ""
	}
}

// RecordReceivingNode records which node received the heartbeat that was just applied. A worker
// stays with the node that answered it. If its next heartbeat arrives at another node, the answer
// was lost and the machine is marked as unreachable.
func (m *Model) RecordReceivingNode(mc *Machine, node string, now time.Time) {
	h := &mc.reachability
	if h.receivingNode != "" && h.receivingNode != node && mc.Seq == h.answeredSeq+1 {
		m.markUnreachable(mc, signOtherNode, now)
	}
	h.receivingNode = node
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

// reachabilityProbe returns a command whose effect proves that an unreachable machine receives
// answers again. Like a wake-up, it launches a task number that no job has. The worker refuses
// the task and lists it as exited. The result is false if no probe is needed, because the answer
// forgets an exit, such as that of an earlier probe: the absence of that exit from the next
// heartbeat proves the same. It is also false if there is no recent job to name.
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
	return wire.Command{}, false // no recent job, so that there is nothing to place either
}

// mayProveReachable reports whether a machine began to send heartbeats so recently that its next
// heartbeat is expected to show whether it receives answers.
func (m *Model) mayProveReachable(mc *Machine, now time.Time) bool {
	within := config.Seconds(1.25*m.settings.Cluster.Workers.HeartbeatS + 1)
	return mc.alive && mc.acceptsTasks() && now.Sub(mc.reachability.heartbeatsSince) < within
}

// unreachableTooLong reports whether a machine has been unreachable for longer than its lease and
// unreachableRetention, so that it should be replaced.
func (m *Model) unreachableTooLong(mc *Machine, now time.Time) bool {
	limit := config.Seconds(m.settings.Cluster.Workers.LeaseS) + unreachableRetention
	return mc.unreachable() && !m.mayProveReachable(mc, now) && mc.alive && now.Sub(mc.reachability.unreachableSince) > limit
}
