package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// workerLease is what heartbeats and the answers to them have established about the lease
// of a machine's worker. AgentEpoch and Seq are those of the newest heartbeat applied or,
// after a lease expiry, the next agent epoch and 0; together they never go back. A machine
// whose token is shown is alive unless it is gone.
type workerLease struct {
	alive        bool // has sent this leader a heartbeat, and its lease has not expired
	tokenShown   bool // its last heartbeat carried this leader's fencing token
	AgentEpoch   uint64
	Seq          uint64    // of the last heartbeat applied, within the agent epoch
	lastAnswered time.Time // from when this leader counts the lease
	lastSeen     time.Time // when the last heartbeat was applied
}

// isNewer reports whether a heartbeat is newer than the last one applied.
func (l *workerLease) isNewer(epoch, seq uint64) bool {
	return epoch > l.AgentEpoch || epoch == l.AgentEpoch && seq > l.Seq
}

// renewLease records a newer heartbeat.
func (l *workerLease) renewLease(heartbeat *wire.Heartbeat, token uint64, now time.Time) {
	l.alive, l.AgentEpoch, l.Seq, l.lastSeen = true, heartbeat.AgentEpoch, heartbeat.Seq, now
	l.tokenShown = heartbeat.Token == token
}

// endEpoch ends the lease and with it the agent epoch, whose heartbeats are not newer than the
// last one applied from now on.
func (l *workerLease) endEpoch() {
	l.alive, l.tokenShown = false, false
	l.AgentEpoch++
	l.Seq = 0
}

// recordAnswer records that the newest heartbeat is answered now.
func (l *workerLease) recordAnswer(now time.Time) { l.lastAnswered = now }

// recordRetryAnswer records that another copy of the newest heartbeat is answered. The
// worker counts its lease from when it sent the heartbeat, which was before the first copy
// was applied, so that no later moment counts.
func (l *workerLease) recordRetryAnswer() {
	if l.lastAnswered.Before(l.lastSeen) {
		l.lastAnswered = l.lastSeen
	}
}

// DiscountAnswers records that none of the answers so far has renewed the worker's lease.
func (l *workerLease) DiscountAnswers() { l.lastAnswered = time.Time{} }
