package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// A machine whose heartbeats arrive need not receive the answers to them: one
// direction of its traffic may be cut (an asymmetric partition). Left to itself the leader would launch
// there with every answer, and what was launched would wait in vain for as long
// as the cut lasts. A worker keeps one report in flight at a time, and drops
// answers that come late, so that its next report shows what it has heard: the
// token, tasks launched, tasks forgotten. One that shows a miss gets no work
// until it has shown that it hears.

const (
	// probeAttemptNumber is a probe's: no job's attempts, which summonses name, come
	// that far.
	probeAttemptNumber = 1 << 40
	// unreachableKeep is for how long, beyond a lease, an empty machine that does not
	// hear is kept: as long as one that is silent.
	unreachableKeep = 40 * time.Second
	// probeSearchLimit bounds the search for a job that a probe can name.
	probeSearchLimit = 1000
)

// reachability is what is known of whether a machine hears.
type reachability struct {
	reportingSince   time.Time   // when it began to report
	tokenEverShown   bool        // it has shown this leader's token, now or before its lease ended
	unreachableSince time.Time   // since when it shows that it does not hear; zero: it does, as far as is known
	receivingNode    string      // the node by way of which the last report came
	answeredSeq      uint64      // the number of the last report that was answered
	answeredTwice    heartbeatID // the last report to which there were two answers, of which it heard one at most
	// What the last answer said that the next report must show.
	answerPending  bool
	pendingForgets []exitKey
	pendingProbe   exitKey
}

// answered takes in that a report has been answered: the worker's next one shows
// whether it heard.
func (h *reachability) answered(seq uint64) { h.answerPending, h.answeredSeq = true, seq }

// forgetSent takes in that an answer told the worker to forget an exit, which its next
// report must therefore not list.
func (h *reachability) forgetSent(exit exitKey) { h.pendingForgets = append(h.pendingForgets, exit) }

// heartbeatID is a report's.
type heartbeatID struct{ session, seq uint64 }

// unreachable says whether the machine's reports show that it has not heard the last
// that it was told.
func (mc *Machine) unreachable() bool { return !mc.reachability.unreachableSince.IsZero() }

func (m *Model) markUnreachable(mc *Machine, what string, now time.Time) {
	if !mc.unreachable() {
		m.log.Info("machine receives no answers", "machine", mc.Name, "session", mc.AgentEpoch, "sign", what)
		mc.reachability.unreachableSince = now
	}
	mc.reachability.reportingSince = time.Time{}
}

func (m *Model) markReachable(mc *Machine, now time.Time) {
	if mc.unreachable() {
		m.log.Info("machine receives answers again", "machine", mc.Name, "after", now.Sub(mc.reachability.unreachableSince).Seconds())
		mc.reachability.unreachableSince = time.Time{}
	}
}

// updateReachability takes in what a newer report shows of the answers before it; mc is
// still as the report before left it.
func (m *Model) updateReachability(mc *Machine, r *wire.Report, now time.Time) {
	h := &mc.reachability
	told, forget, probe := h.answerPending, h.pendingForgets, h.pendingProbe
	h.answerPending, h.pendingForgets, h.pendingProbe = false, nil, exitKey{}
	if !mc.Up {
		h.reportingSince = now
		if h.tokenEverShown && !mc.unreachable() {
			h.unreachableSince = now // it was silent for its lease: what it has shown is old
		}
	}
	if r.Token < m.FencingToken {
		// No answer of this leader was heard, and none before this report can be
		// any more: they have renewed nothing. A late copy of a report of a machine
		// that is gone was answered, too; others would wait for it from then on.
		mc.LastAnswered = time.Time{}
		if told {
			m.markUnreachable(mc, "token", now)
		}
		if (mc.Up || len(mc.Tasks) > 0) && now.After(m.leaseEnd(mc)) {
			m.loseTasksOn(mc, "its machine's lease is over", now)
		}
		return
	}
	if !h.tokenEverShown {
		h.tokenEverShown = true
		m.markReachable(mc, now)
	}
	if r.Session != mc.AgentEpoch {
		// Its lease has ended, though it was answered.
		if told && now.Sub(mc.LastAnswered) < config.Seconds(m.settings.Cluster.Workers.LeaseS/2) {
			m.markUnreachable(mc, "session", now)
			m.giveUpReservedPlaces(mc, now)
		}
		return
	}
	listed := make(map[exitKey]bool, len(forget))
	for i := range r.Tasks {
		k := exitKey{r.Tasks[i].Task, r.Tasks[i].Attempt}
		if k == probe {
			m.markReachable(mc, now)
		}
		listed[k] = true
	}
	for _, k := range forget {
		if !listed[k] {
			m.markReachable(mc, now)
		} else if (heartbeatID{mc.AgentEpoch, mc.Seq}) != h.answeredTwice {
			m.markUnreachable(mc, "forget", now)
		}
	}
}

// answeredAgain takes in that the newest report, which has come once more, is answered
// once more. What the first answer alone told may have gone unheard by a machine that
// hears, and which of two nodes it stays with is not known: neither is a sign any more.
// That it shows the token still is: both answers bear that.
func (mc *Machine) answeredAgain(via string) {
	h := &mc.reachability
	h.answeredTwice = heartbeatID{mc.AgentEpoch, mc.Seq}
	if h.receivingNode != via {
		h.receivingNode = ""
	}
}

// ObserveReceivingNode takes in by way of which node a report came that has just been observed. A
// worker stays with the node that has answered it: where its very next report
// comes to another one, it has not heard the answer.
func (m *Model) ObserveReceivingNode(mc *Machine, via string, now time.Time) {
	h := &mc.reachability
	if h.receivingNode != "" && h.receivingNode != via && mc.Seq == h.answeredSeq+1 {
		m.markUnreachable(mc, "node", now)
	}
	h.receivingNode = via
}

// giveUpReservedPlaces gives reserved places up that have not been launched, once the
// lease of a machine that does not hear has ended.
func (m *Model) giveUpReservedPlaces(mc *Machine, now time.Time) {
	for _, ref := range sortedRefs(mc.Tasks) {
		j := m.Jobs[ref.Job]
		if p := j.Tasks[ref.Task].Placement; p != nil && !p.LaunchSent && !p.Inherited && j.reservation != nil {
			m.taskLost(j, ref.Task, "its machine does not hear", now)
		}
	}
}

// reachabilityProbe makes the command by which a machine that did not hear shows that it does:
// a launch that it must refuse, and lists. Like a summons it does no harm. None is
// needed where something is to be forgotten, which shows the same; so an earlier
// probe is no longer listed.
func (m *Model) reachabilityProbe(mc *Machine) (wire.Command, bool) {
	if len(mc.reachability.pendingForgets) > 0 {
		return wire.Command{}, false
	}
	for i := len(m.Jobs) - 1; i >= max(0, len(m.Jobs)-probeSearchLimit); i-- {
		if j := m.Jobs[i]; j != nil {
			mc.reachability.pendingProbe = exitKey{wire.TaskName(j.ID, NoSuchTask), probeAttemptNumber}
			return wire.Command{Op: wire.OpStart, Task: mc.reachability.pendingProbe.name, Attempt: mc.reachability.pendingProbe.attempt}, true
		}
	}
	return wire.Command{}, false // nothing to be placed either
}

// mayProveReachable says whether a machine has begun to report a moment ago, and should show
// with its next report that it hears.
func (m *Model) mayProveReachable(mc *Machine, now time.Time) bool {
	within := config.Seconds(1.25*m.settings.Cluster.Workers.ReportS + 1)
	return mc.Up && !mc.Gone && !mc.ScalingIn && mc.InterruptionAt.IsZero() &&
		mc.Type >= 0 && mc.Zone >= 0 && now.Sub(mc.reachability.reportingSince) < within
}

// unreachableTooLong says whether a machine has not heard for so long that another had better
// take its place.
func (m *Model) unreachableTooLong(mc *Machine, now time.Time) bool {
	return mc.unreachable() && !m.mayProveReachable(mc, now) && mc.Up && now.Sub(mc.reachability.unreachableSince) > config.Seconds(m.settings.Cluster.Workers.LeaseS)+unreachableKeep
}
