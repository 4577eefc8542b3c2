// Faults that deliver copies of workers' heartbeats to the next leader, or ahead of the heartbeats
// themselves, and counts of the outcomes.

package fake

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// copiesPerMachine limits the copies kept of each machine's heartbeats.
const copiesPerMachine = 3

// failoverCopies keeps copies of workers' heartbeats for the next leader. Such a copy is outdated,
// and it can be the first message about its machine that the new leader receives. The cluster's lock
// guards it.
type failoverCopies struct {
	oneIn         int                         // share of kept heartbeats: one in this number; 0: none
	watching      bool                        // a goroutine watches for new leaders
	copies        map[string][]wire.Heartbeat // by machine
	answeredFirst map[answeredHeartbeat]bool  // copies that were the first about their machine for a leader
	stats         CopyStats

	overtakeOneIn int // share of heartbeats that their copies overtake: one in this number; 0: none
	overtaken     OvertakenHeartbeats
}

// answeredHeartbeat identifies a heartbeat and the leadership in which it was answered.
type answeredHeartbeat struct {
	machine           string
	epoch, seq, token uint64
}

// CopyStats counts delivered copies of heartbeats by their outcome. A copy that a leader answered
// with status 200 was the newest heartbeat of its machine for that leader.
type CopyStats struct {
	First          int // answered with 200 by a leader newer than the copy, before that leader answered the original
	EarlierEpoch   int // of First: of an epoch that has ended since
	EarlierAttempt int // of First: with an attempt that is no longer on the machine
	Older          int // refused with 503 while the machine had sent newer heartbeats
}

// DelayCopiesUntilFailover keeps copies of one in oneIn heartbeats, at most three per machine. It
// delivers them to all controllers when a new leader key is committed, and four more times within
// the next 2.35 seconds. A value of 0 ends the copying, but kept copies still go to the next leaders.
func (w *Cluster) DelayCopiesUntilFailover(oneIn int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failoverCopies.oneIn = oneIn
	if w.failoverCopies.watching || oneIn == 0 {
		return
	}
	w.failoverCopies.watching, w.failoverCopies.copies = true, map[string][]wire.Heartbeat{}
	last := w.Store.Versions(election.LeaderKey)[election.LeaderKey]
	w.wg.Go(func() {
		for call.Pause(w.ctx, 10*time.Millisecond) {
			if v := w.Store.Versions(election.LeaderKey)[election.LeaderKey]; v != 0 && v != last {
				last = v
				w.wg.Go(w.deliverCopiesRepeatedly)
			}
		}
	})
}

// deliverCopiesRepeatedly delivers the copies at once and several times more, because the new
// leader may not accept heartbeats yet.
func (w *Cluster) deliverCopiesRepeatedly() {
	for _, delayMillis := range []int{0, 50, 100, 200, 2000} {
		if !call.Pause(w.ctx, time.Duration(delayMillis)*time.Millisecond) {
			return
		}
		w.DeliverDelayedCopies()
	}
}

// keepForFailover draws whether a copy of a heartbeat is kept. Beyond copiesPerMachine it replaces
// a random copy. The caller holds the lock.
func (w *Cluster) keepForFailover(heartbeat wire.Heartbeat) {
	if w.failoverCopies.oneIn == 0 || w.pick(w.failoverCopies.oneIn) > 0 {
		return
	}
	kept := w.failoverCopies.copies[heartbeat.Machine]
	if len(kept) < copiesPerMachine {
		w.failoverCopies.copies[heartbeat.Machine] = append(kept, heartbeat)
		return
	}
	kept[w.pick(copiesPerMachine)] = heartbeat
}

// DeliverDelayedCopies sends every kept copy to every controller that runs, without waiting for
// the answers.
func (w *Cluster) DeliverDelayedCopies() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.failoverCopies.copies)) {
		for _, heartbeat := range w.failoverCopies.copies[name] {
			for _, n := range w.nodes {
				if n.stop == nil {
					continue
				}
				w.wg.Go(func() {
					status, body := w.post(n.addr, wire.PathHeartbeat, heartbeat)
					w.countCopy(heartbeat, status, body)
				})
			}
		}
	}
}

// countCopy counts a copy by its answer.
func (w *Cluster) countCopy(heartbeat wire.Heartbeat, status int, body []byte) {
	m := w.Cloud.machine(heartbeat.Machine)
	w.mu.Lock()
	defer w.mu.Unlock()
	if m == nil {
		return
	}
	var a wire.HeartbeatAnswer
	switch {
	case status == http.StatusServiceUnavailable && (m.epoch > heartbeat.AgentEpoch || m.lastSeq > heartbeat.Seq):
		w.failoverCopies.stats.Older++
		return
	case status != http.StatusOK || wire.Unmarshal(body, &a) != nil || a.Token <= heartbeat.Token:
		return
	}
	first := answeredHeartbeat{heartbeat.Machine, heartbeat.AgentEpoch, heartbeat.Seq, a.Token}
	if w.failoverCopies.answeredFirst[first] || m.lastAnswered == first {
		return // the leader has answered this heartbeat before
	}
	if w.failoverCopies.answeredFirst == nil {
		w.failoverCopies.answeredFirst = map[answeredHeartbeat]bool{}
	}
	w.failoverCopies.answeredFirst[first] = true
	stats := &w.failoverCopies.stats
	stats.First++
	if m.epoch > heartbeat.AgentEpoch {
		stats.EarlierEpoch++
	}
	for _, t := range heartbeat.Tasks {
		if on := m.tasks[taskKey{t.Task, t.Attempt}]; t.State != wire.TaskExited && (on == nil || on.state == wire.TaskExited) {
			stats.EarlierAttempt++
			break
		}
	}
}

// CopyStats returns the counts of copies so far.
func (w *Cluster) CopyStats() CopyStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failoverCopies.stats
}

// OvertakenHeartbeats counts heartbeats that were overtaken by their own copies. The rest of Ahead
// beyond Kept and Refused was redirected to another controller.
type OvertakenHeartbeats struct {
	Ahead   int // a leader answered the copy with 200, and the heartbeat was sent and answered after that
	Next    int // of Ahead: the leader began after the heartbeat was made
	Kept    int // of Ahead: the heartbeat itself was answered with 200
	Refused int // of Ahead: the heartbeat itself was answered with 503
}

// overtakeTimeout is how long a heartbeat waits for the answers to its copies. Controllers hold
// heartbeats for 2.5 s while there is no leader, and a worker drops answers after 4 s.
const overtakeTimeout = 3 * time.Second

// DeliverCopiesFirst makes copies overtake one in oneIn heartbeats. Every controller gets a copy,
// and the heartbeat itself is sent once a leader has answered one, or after 3 s. A value of 0 ends
// the fault.
func (w *Cluster) DeliverCopiesFirst(oneIn int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failoverCopies.overtakeOneIn = oneIn
}

// OvertakenHeartbeats returns the counts of heartbeats that DeliverCopiesFirst has selected so far.
func (w *Cluster) OvertakenHeartbeats() OvertakenHeartbeats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failoverCopies.overtaken
}

// sendCopiesAhead sends a copy of a heartbeat to every controller. It returns the token of the
// first answer with status 200, or 0 if there is none within overtakeTimeout.
func (w *Cluster) sendCopiesAhead(heartbeat wire.Heartbeat) uint64 {
	tokens := make(chan uint64, len(w.nodes))
	for _, n := range w.nodes {
		w.wg.Go(func() {
			var a wire.HeartbeatAnswer
			if status, body := w.post(n.addr, wire.PathHeartbeat, heartbeat); status != http.StatusOK || wire.Unmarshal(body, &a) != nil {
				a.Token = 0
			}
			tokens <- a.Token
		})
	}
	timeout := time.NewTimer(overtakeTimeout)
	defer timeout.Stop()
	for range w.nodes {
		select {
		case token := <-tokens:
			if token > 0 {
				return token
			}
		case <-timeout.C:
			return 0
		}
	}
	return 0
}

// countOvertaken counts a heartbeat that was sent after its copies, by the status of its answer.
// The token is the result of sendCopiesAhead. The caller holds the lock.
func (w *Cluster) countOvertaken(heartbeat wire.Heartbeat, token uint64, status int) {
	if token == 0 {
		return
	}
	counts := &w.failoverCopies.overtaken
	counts.Ahead++
	if token > heartbeat.Token {
		counts.Next++
	}
	switch status {
	case http.StatusOK:
		counts.Kept++
	case http.StatusServiceUnavailable:
		counts.Refused++
	}
}
