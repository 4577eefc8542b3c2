// Logs the utilization of each machine type.

package cluster

import (
	"context"
	"log/slog"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// typeUtilization is the utilization of the machines of one type.
type typeUtilization struct {
	ready, booting  int                 // number of machines
	withoutGPUTasks int                 // number of ready machines that have tasks, none of which needs a GPU
	capacity        placement.Resources // total of the ready machines
	used            placement.Resources // part of capacity that tasks use
	notRunning      placement.Resources // part of used that is held by tasks not reported as running
}

// LogUtilization logs, at debug level, the resources in use on each machine type and the number of
// waiting tasks. wanted holds the requests that a pass left unplaced.
func (m *Model) LogUtilization(wanted []placement.Request, now time.Time) {
	if !m.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	waiting := 0
	for i := range wanted {
		waiting += len(wanted[i].Tasks)
	}
	for i := range m.MachineTypes {
		u := m.utilizationOf(i, now)
		m.log.Debug("machine type utilization", "type", m.MachineTypes[i].Name, "ready", u.ready, "booting", u.booting,
			"cpus", u.capacity.CPU, "cpusUsed", u.used.CPU, "gpus", u.capacity.GPU, "gpusUsed", u.used.GPU,
			"cpusNotRunning", u.notRunning.CPU, "gpusNotRunning", u.notRunning.GPU,
			"withoutGPUTasks", u.withoutGPUTasks, "waiting", waiting)
	}
}

// utilizationOf returns the utilization of a machine type, given by its index.
func (m *Model) utilizationOf(machineType int, now time.Time) typeUtilization {
	var u typeUtilization
	for _, mc := range m.Machines {
		if mc.typeIndex != machineType {
			continue
		}
		if !m.Ready(mc, now) {
			if _, boots := m.estimateBootTimeLeft(mc, now); boots {
				u.booting++
			}
			continue
		}
		m.addReadyMachine(&u, mc)
	}
	return u
}

// addReadyMachine adds a machine that can be given tasks to the utilization of its type.
func (m *Model) addReadyMachine(u *typeUtilization, mc *Machine) {
	u.ready++
	u.capacity = u.capacity.Add(m.MachineTypes[mc.typeIndex].Capacity, 1)
	u.used = u.used.Add(mc.Used, 1)
	needsGPU := false
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		needsGPU = needsGPU || j.Need.GPU != 0
		if j.Tasks[ref.Task].Placement.reportedState < reportedRunning {
			u.notRunning = u.notRunning.Add(j.Need, 1)
		}
	}
	if len(mc.Tasks) > 0 && !needsGPU {
		u.withoutGPUTasks++
	}
}
