// Applies the cloud's list of machines to the model.

package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	cloudListLagFactor        = 2 // of the configured lag
	cloudListLagMarginSeconds = 10
)

// cloudListLag returns the time after which the cloud's list is expected to show a change.
func (m *Model) cloudListLag() time.Duration {
	return config.Seconds(cloudListLagFactor*m.settings.Cluster.Cloud.ListLagS + cloudListLagMarginSeconds)
}

// ApplyCloudList applies the cloud's list of machines. It adds machines that have not sent a
// heartbeat yet. The list lags and may be older than the previous one, so that it proves
// nothing about tasks.
func (m *Model) ApplyCloudList(list []wire.ListedMachine, now time.Time) {
	for i := range list {
		listed := &list[i]
		known := m.machineNamed(listed.Name) != nil
		mc := m.findOrAddMachine(listed.Name, now)
		if mc.Gone {
			continue
		}
		if !known {
			m.log.Info("machine listed", "machine", listed.Name, "type", listed.Type, "zone", listed.Zone, "spot", listed.Spot, "state", listed.State)
			mc.recordAge(config.Seconds(listed.AgeS), now)
		}
		mc.setListedAddr(listed.Addr)
		if mc.typeIndex < 0 || mc.Zone < 0 {
			m.setTypeAndZone(mc, listed.Type, listed.Zone, listed.Spot)
		}
		mc.recordListing(listed.State, now)
	}
}
