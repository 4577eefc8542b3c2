package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// leaseEnd returns the time at which a machine's lease expires. From then on no task can be
// running on the machine, unless a heartbeat of it is answered before. The lease begins with the
// last answer, but not before the election, because an earlier leader may have answered until
// then. The result includes a margin for clock drift.
func (m *Model) leaseEnd(mc *Machine) time.Time {
	start := mc.lastAnswered
	if start.Before(m.ElectedAt) {
		start = m.ElectedAt
	}
	leaseSeconds := m.settings.Cluster.Workers.LeaseS
	return start.Add(config.Seconds(leaseSeconds*(1+4*m.clockDrift)) + 300*time.Millisecond)
}

// Tick applies the passage of time to leases, machines with interruption notices, batch windows
// and warm pools.
func (m *Model) Tick(now time.Time) {
	m.tickWindows(now)
	for _, mc := range m.Machines {
		if mc.Gone {
			continue
		}
		if (mc.alive || len(mc.Tasks) > 0) && now.After(m.leaseEnd(mc)) && !m.recoveringFromStall(now) {
			if mc.alive {
				m.log.Info("machine lease expired", "machine", mc.Name, "tasks", len(mc.Tasks))
			}
			mc.expireLease()
			m.loseTasksOn(mc, lossLeaseExpired, now)
		}
		if len(mc.Tasks) > 0 && !m.Ready(mc, now) {
			m.removeUnlaunched(mc, now)
		}
		if !mc.interruptionAt.IsZero() && mc.alive {
			m.evacuate(mc, now)
		}
	}
	m.tickPools(now)
}

// removeUnlaunched removes the placements on a machine that were never launched. It is called
// for machines that are not ready. These tasks are certainly not on the machine, so that they
// need not wait for its lease to expire.
func (m *Model) removeUnlaunched(mc *Machine, now time.Time) {
	for _, ref := range sortedRefs(mc.Tasks) {
		j := m.Jobs[ref.Job]
		// Reserved placements are kept while the machine may become ready again.
		if p := j.Tasks[ref.Task].Placement; p != nil && !p.mayBeOnMachine() && j.reservation == nil {
			m.log.Debug("unlaunched task revoked", "job", j.ID, "task", ref.Task, "machine", mc.Name)
			m.removePlacement(j, ref.Task, now)
		}
	}
}

// loseTasksOn removes the placements of all tasks on a machine. The caller has proof that the
// tasks are gone.
func (m *Model) loseTasksOn(mc *Machine, reason lossReason, now time.Time) {
	for _, ref := range sortedRefs(mc.Tasks) {
		if j := m.Jobs[ref.Job]; j.Tasks[ref.Task].Placement != nil {
			m.taskLost(j, ref.Task, reason, now)
		}
	}
}

// evacuate stops the tasks on a machine with an interruption notice, so that they save
// checkpoints. Running tasks without checkpoints continue, because they may finish in time.
func (m *Model) evacuate(mc *Machine, now time.Time) {
	for _, ref := range sortedRefs(mc.Tasks) {
		j := m.Jobs[ref.Job]
		p := j.Tasks[ref.Task].Placement
		if p == nil || p.Stop != nil {
			continue
		}
		if p.reportedState >= reportedRunning && j.Spec.CheckpointS <= 0 {
			continue
		}
		m.StopTask(ref, StopInterruption, now)
	}
}

// MachineGone applies a machine's deletion that the cloud has confirmed. It removes the
// placements on the machine. Unlike a lease expiry it is final, and later heartbeats of the
// machine are ignored.
func (m *Model) MachineGone(name string, now time.Time) {
	mc := m.machineNamed(name)
	if mc == nil || mc.Gone {
		return
	}
	mc.markGone()
	m.log.Info("machine gone", "machine", name)
	m.loseTasksOn(mc, lossMachineGone, now)
}
