package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// MachineType is a machine type of the cloud's catalog.
type MachineType struct {
	Name      string
	Capacity  placement.Resources
	CacheGB   float64 // size of the image cache
	FetchRate float64 // of images, in GB per second
	Price     float64 // per hour, on demand
	SpotPrice float64 // per hour, as a spot machine
	BootTime  time.Duration
	Zones     []bool // by index in Model.Zones, whether the type is offered there

	bootTimes bootEstimator
}

// SetMachineTypes applies the cloud's catalog of machine types. Known types keep their indices,
// because machines refer to them. Types that are no longer listed are kept.
func (m *Model) SetMachineTypes(types []wire.MachineType) {
	for _, t := range types {
		idx, ok := m.names.machineTypes[t.Name]
		if !ok {
			idx = len(m.MachineTypes)
			m.names.machineTypes[t.Name] = idx
			m.MachineTypes = append(m.MachineTypes, MachineType{})
		}
		zones := make([]bool, len(m.Zones))
		for _, z := range t.ZonesNamed {
			if i, ok := m.names.zones[z]; ok {
				zones[i] = true
			}
		}
		m.MachineTypes[idx] = MachineType{
			Name: t.Name, Capacity: placement.Resources{CPU: t.CPUs, GPU: t.GPUs, Mem: t.MemoryGB}, CacheGB: t.CacheGB,
			FetchRate: t.FetchGBPS, Price: t.Price, SpotPrice: t.SpotPrice, BootTime: config.Seconds(t.BootS), Zones: zones,
			bootTimes: m.MachineTypes[idx].bootTimes,
		}
	}
	// The job of the current provisioning may be out of the model. Its allowedTypes would not
	// cover the new types.
	m.windows.cancelProvision()
	for _, mc := range m.Machines {
		m.resolveType(mc)
	}
	for _, j := range m.Jobs {
		if j != nil {
			j.allowTypes(m.allowedTypes(&j.Spec))
		}
	}
	// The last job of a class may be out of the model already, so that the loop above did not
	// update it. Its allowedTypes is indexed by machine type and must cover the new types.
	for _, c := range m.classes.byName {
		c.lastJob.allowedTypes = m.allowedTypes(&c.lastJob.Spec)
	}
}

// machineTypeIndex returns the index of a machine type, or -1 if it is not in the catalog.
func (m *Model) machineTypeIndex(name string) int {
	if i, ok := m.names.machineTypes[name]; ok {
		return i
	}
	return -1
}

// allowedTypes returns, by machine type, whether a job may use it.
func (m *Model) allowedTypes(s *wire.Job) []bool {
	out := make([]bool, len(m.MachineTypes))
	for i := range m.MachineTypes {
		ok := len(s.Types) == 0
		for _, n := range s.Types {
			ok = ok || n == m.MachineTypes[i].Name
		}
		out[i] = ok
	}
	return out
}
