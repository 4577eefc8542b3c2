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

// This file keeps copies of workers' heartbeats for the next leader: whatever they tell
// is as old as they are, and it is the first that a leader which has just begun hears
// of their machines.

// copiesPerMachine bounds the copies that are kept of a machine's heartbeats.
const copiesPerMachine = 3

// failoverCopies is what is kept. The cluster's lock guards it.
type failoverCopies struct {
	oneIn         int // one in so many heartbeats is kept; 0: none
	watching      bool
	copies        map[string][]wire.Heartbeat // by machine
	answeredFirst map[answeredHeartbeat]bool  // copies that were the first that a leader heard
	stats         CopyStats

	overtakeOneIn int // one in so many heartbeats is overtaken by its copies
	overtaken     OvertakenHeartbeats
}

// answeredHeartbeat is a heartbeat and the token of a leader that has answered it.
type answeredHeartbeat struct {
	machine           string
	epoch, seq, token uint64
}

// CopyStats counts what has become of copies so far. One that is answered 200 was the newest
// that its leader had heard of the machine, and its worker's own heartbeat was not
// answered by that leader before.
type CopyStats struct {
	First          int // answered by a leader that began after the copy was made, the first time
	EarlierEpoch   int // of these, of an epoch that has ended since
	EarlierAttempt int // and of these, with an attempt that is not on the machine any more
	Older          int // came after newer heartbeats, and were not answered 200
}

// DelayCopiesUntilFailover keeps a copy of one in so many heartbeats, to be delivered to all nodes
// when a leader's key is committed, as it begins, and again a moment later; 0 ends
// the keeping, and what is kept goes to the next leaders all the same.
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

// deliverCopiesRepeatedly delivers the copies at once and again until a new leader has begun.
func (w *Cluster) deliverCopiesRepeatedly() {
	for _, after := range []time.Duration{0, 50, 100, 200, 2000} {
		if !call.Pause(w.ctx, after*time.Millisecond) {
			return
		}
		w.DeliverDelayedCopies()
	}
}

// keepForFailover keeps a heartbeat's copy if it is its turn; the lock is held.
func (w *Cluster) keepForFailover(r wire.Heartbeat) {
	if w.failoverCopies.oneIn == 0 || w.pick(w.failoverCopies.oneIn) > 0 {
		return
	}
	kept := w.failoverCopies.copies[r.Machine]
	if len(kept) < copiesPerMachine {
		w.failoverCopies.copies[r.Machine] = append(kept, r)
		return
	}
	kept[w.pick(copiesPerMachine)] = r
}

// DeliverDelayedCopies sends every copy that is kept to every node, and does not wait for the answers.
func (w *Cluster) DeliverDelayedCopies() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(w.failoverCopies.copies)) {
		for _, r := range w.failoverCopies.copies[name] {
			for _, n := range w.nodes {
				if n.stop == nil {
					continue
				}
				w.wg.Go(func() {
					status, body := w.post(n.addr, wire.PathHeartbeat, r)
					w.countCopy(r, status, body)
				})
			}
		}
	}
}

// countCopy counts how a copy was answered.
func (w *Cluster) countCopy(r wire.Heartbeat, status int, body []byte) {
	m := w.Cloud.machine(r.Machine)
	w.mu.Lock()
	defer w.mu.Unlock()
	if m == nil {
		return
	}
	var a wire.HeartbeatAnswer
	switch {
	case status == http.StatusServiceUnavailable && (m.epoch > r.AgentEpoch || m.lastSeq > r.Seq):
		w.failoverCopies.stats.Older++
		return
	case status != http.StatusOK || wire.Unmarshal(body, &a) != nil || a.Token <= r.Token:
		return
	}
	first := answeredHeartbeat{r.Machine, r.AgentEpoch, r.Seq, a.Token}
	if w.failoverCopies.answeredFirst[first] || m.lastAnswered == first {
		return // not the first that this leader has heard
	}
	if w.failoverCopies.answeredFirst == nil {
		w.failoverCopies.answeredFirst = map[answeredHeartbeat]bool{}
	}
	w.failoverCopies.answeredFirst[first] = true
	stats := &w.failoverCopies.stats
	stats.First++
	if m.epoch > r.AgentEpoch {
		stats.EarlierEpoch++
	}
	for _, t := range r.Tasks {
		if on := m.tasks[taskKey{t.Task, t.Attempt}]; t.State != wire.TaskExited && (on == nil || on.state == wire.TaskExited) {
			stats.EarlierAttempt++
			break
		}
	}
}

// CopyStats returns what has become of the copies so far.
func (w *Cluster) CopyStats() CopyStats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failoverCopies.stats
}

// OvertakenHeartbeats is what became of heartbeats that their own copies have overtaken.
type OvertakenHeartbeats struct {
	Ahead   int // a leader answered the copy 200, and the heartbeat was sent and answered after that
	Next    int // of these, the heartbeat does not show this leader's token: it has begun since
	Kept    int // of all, the heartbeat itself was answered 200 by the node that it came to
	Refused int // or got a 503; others were sent to the node where their worker belongs
}

// overtakeTimeout is how long a heartbeat waits for its copies to be answered; nodes keep
// heartbeats for 2.5 s while nobody leads, and the worker gives its own up after 4 s.
const overtakeTimeout = 3 * time.Second

// DeliverCopiesFirst has one in so many heartbeats overtaken by its own copies: every node has
// one, and a leader has answered it, before the heartbeat itself is sent; 0 ends that.
func (w *Cluster) DeliverCopiesFirst(oneIn int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failoverCopies.overtakeOneIn = oneIn
}

// OvertakenHeartbeats is what has become of such heartbeats.
func (w *Cluster) OvertakenHeartbeats() OvertakenHeartbeats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failoverCopies.overtaken
}

// sendCopiesAhead sends a heartbeat's copies ahead of it, and returns the token by which one of
// them was answered 200, or 0.
func (w *Cluster) sendCopiesAhead(r wire.Heartbeat) uint64 {
	tokens := make(chan uint64, len(w.nodes))
	for _, n := range w.nodes {
		w.wg.Go(func() {
			var a wire.HeartbeatAnswer
			if status, body := w.post(n.addr, wire.PathHeartbeat, r); status != http.StatusOK || wire.Unmarshal(body, &a) != nil {
				a.Token = 0
			}
			tokens <- a.Token
		})
	}
	late := time.NewTimer(overtakeTimeout)
	defer late.Stop()
	for range w.nodes {
		select {
		case token := <-tokens:
			if token > 0 {
				return token
			}
		case <-late.C:
			return 0
		}
	}
	return 0
}

// countOvertaken counts how a heartbeat was answered that its copies have overtaken; token is
// that by which a copy was answered. The lock is held.
func (w *Cluster) countOvertaken(r wire.Heartbeat, token uint64, status int) {
	if token == 0 {
		return
	}
	counts := &w.failoverCopies.overtaken
	counts.Ahead++
	if token > r.Token {
		counts.Next++
	}
	switch status {
	case http.StatusOK:
		counts.Kept++
	case http.StatusServiceUnavailable:
		counts.Refused++
	}
}
