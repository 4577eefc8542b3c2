package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// workerLease is the lease of a machine's worker, as heartbeats and their answers establish
// it. AgentEpoch and Seq are those of the newest heartbeat applied. After a lease expiry they
// are the next agent epoch and 0. The pair never decreases. If tokenShown is set, alive is set
// too, unless the machine is gone.
type workerLease struct {
	alive        bool // this leader received a heartbeat, and the lease has not expired since
	tokenShown   bool // the last heartbeat carried this leader's fencing token
	AgentEpoch   uint64
	Seq          uint64    // of the last heartbeat applied, within the agent epoch
	lastAnswered time.Time // start of the lease for this leader; zero before the first answer
	lastSeen     time.Time // when the last heartbeat was applied
}

// isNewer reports whether a heartbeat is newer than the last one applied.
func (l *workerLease) isNewer(epoch, seq uint64) bool {
	return epoch > l.AgentEpoch || epoch == l.AgentEpoch && seq > l.Seq
}

// renewLease records a heartbeat that is newer than the last one applied.
func (l *workerLease) renewLease(heartbeat *wire.Heartbeat, token uint64, now time.Time) {
	l.alive, l.AgentEpoch, l.Seq, l.lastSeen = true, heartbeat.AgentEpoch, heartbeat.Seq, now
	l.tokenShown = heartbeat.Token == token
}

// endEpoch ends the lease and the agent epoch. Late heartbeats of the ended epoch are no
// longer newer than the last one applied.
func (l *workerLease) endEpoch() {
	l.alive, l.tokenShown = false, false
	l.AgentEpoch++
	l.Seq = 0
}

// recordAnswer records that the newest heartbeat is answered now.
func (l *workerLease) recordAnswer(now time.Time) { l.lastAnswered = now }

// recordRetryAnswer records that another copy of the newest heartbeat is answered. It advances
// lastAnswered at most to the arrival of the first copy: the worker counts its lease from when
// it sent the heartbeat, which was before that.
func (l *workerLease) recordRetryAnswer() {
	if l.lastAnswered.Before(l.lastSeen) {
		l.lastAnswered = l.lastSeen
	}
}

// DiscountAnswers records that none of the answers so far renewed the worker's lease.
func (l *workerLease) DiscountAnswers() { l.lastAnswered = time.Time{} }
