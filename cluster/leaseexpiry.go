package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// leaseEnd returns when a machine's lease expires: unless it is answered again, no task can
// be running on it from then on. The lease counts from the last answer, or from the
// election, before which another leader may have answered; clock drift is allowed for.
func (m *Model) leaseEnd(mc *Machine) time.Time {
	last := mc.lastAnswered
	if last.Before(m.ElectedAt) {
		last = m.ElectedAt
	}
	lease := m.settings.Cluster.Workers.LeaseS
	return last.Add(config.Seconds(lease*(1+4*m.clockDrift)) + 300*time.Millisecond)
}

// Tick applies the passage of time: expired leases, machines with interruption notices,
// batch windows and warm pools.
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

// removeUnlaunched removes the placements on a machine that is not ready whose launches were
// never sent. Such tasks are certainly not on the machine, so that they need not wait for its
// lease to expire.
func (m *Model) removeUnlaunched(mc *Machine, now time.Time) {
	for _, ref := range sortedRefs(mc.Tasks) {
		j := m.Jobs[ref.Job]
		// A reservation promises its places: they are kept while the machine may return.
		if p := j.Tasks[ref.Task].Placement; p != nil && !p.mayBeOnMachine() && j.reservation == nil {
			m.log.Debug("unlaunched task revoked", "job", j.ID, "task", ref.Task, "machine", mc.Name)
			m.removePlacement(j, ref.Task, now)
		}
	}
}

// loseTasksOn removes the placements of all tasks on a machine, which are proved to be gone.
func (m *Model) loseTasksOn(mc *Machine, why lossReason, now time.Time) {
	for _, ref := range sortedRefs(mc.Tasks) {
		if j := m.Jobs[ref.Job]; j.Tasks[ref.Task].Placement != nil {
			m.taskLost(j, ref.Task, why, now)
		}
	}
}

// evacuate stops the tasks on a machine with an interruption notice, so that they save
// checkpoints. Running tasks without checkpoints go on, since they may finish in time.
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

// MachineGone applies proof that a machine is gone, that is, a deletion which the cloud has
// confirmed. Unlike a lease expiry this is final: later heartbeats are ignored.
func (m *Model) MachineGone(name string, now time.Time) {
	mc := m.machineNamed(name)
	if mc == nil || mc.Gone {
		return
	}
	mc.markGone()
	m.log.Info("machine gone", "machine", name)
	m.loseTasksOn(mc, lossMachineGone, now)
}
