package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// stallRecovery remembers the last pause of the leader's process. While it lasted
// the clocks ran on and heartbeats piled up unread, so that silence within it says
// nothing about a machine.
type stallRecovery struct {
	ended  time.Time // zero: there was none
	lasted time.Duration
}

// recovering says whether a stall has ended within this time.
func (s *stallRecovery) recovering(now time.Time, within time.Duration) bool {
	return !s.ended.IsZero() && now.Sub(s.ended) < within
}

// silence is the time since a heartbeat, without the stall if it came after it.
func (s *stallRecovery) silence(lastSeen, now time.Time) time.Duration {
	d := now.Sub(lastSeen)
	if lastSeen.Before(s.ended) {
		d -= s.lasted
	}
	return d
}

// ResumeAfterStall takes in that the leader's process stood still for so long, until
// then, while its clocks ran on.
func (m *Model) ResumeAfterStall(resumed time.Time, stood time.Duration) {
	m.stall = stallRecovery{ended: resumed, lasted: stood}
}

// recoveringFromStall says whether the leader has just gone on after standing still: what
// workers have reported meanwhile is read before any of them is called silent.
func (m *Model) recoveringFromStall(now time.Time) bool {
	return m.stall.recovering(now, config.Seconds(m.settings.Cluster.Workers.ReportS)+time.Second)
}

// silentFor is how long nothing has been heard of a machine, not counting the
// time in which the leader could not listen.
func (m *Model) silentFor(mc *Machine, now time.Time) time.Duration {
	return m.stall.silence(mc.LastSeen, now)
}
