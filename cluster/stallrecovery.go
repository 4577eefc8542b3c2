package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// stallRecovery is the last stall of the leader's process, in which the process did not run.
// During a stall clocks advance and heartbeats queue up unread, so that silence proves nothing
// about a machine.
type stallRecovery struct {
	endedAt  time.Time // zero if there was none
	duration time.Duration
}

// recovering reports whether a stall ended less than the given time ago.
func (s *stallRecovery) recovering(now time.Time, within time.Duration) bool {
	return !s.endedAt.IsZero() && now.Sub(s.endedAt) < within
}

// silence returns the time since a heartbeat, without the duration of a stall after it.
func (s *stallRecovery) silence(lastSeen, now time.Time) time.Duration {
	silence := now.Sub(lastSeen)
	if lastSeen.Before(s.endedAt) {
		silence -= s.duration
	}
	return silence
}

// ResumeAfterStall records that the leader's process did not run for the given pause, which ended
// at resumed, while clocks advanced. Heartbeats that arrived in the pause are still unread, so
// that the pause does not count as silence of any machine.
func (m *Model) ResumeAfterStall(resumed time.Time, pause time.Duration) {
	m.stall = stallRecovery{endedAt: resumed, duration: pause}
}

// recoveringFromStall reports whether the leader's process resumed so recently that heartbeats
// from the pause may still be unread. While it returns true, no machine is treated as silent.
func (m *Model) recoveringFromStall(now time.Time) bool {
	return m.stall.recovering(now, config.Seconds(m.settings.Cluster.Workers.HeartbeatS)+time.Second)
}

// silentFor returns the time since a machine's last heartbeat, without a pause of the leader's
// process.
func (m *Model) silentFor(mc *Machine, now time.Time) time.Duration {
	return m.stall.silence(mc.lastSeen, now)
}
