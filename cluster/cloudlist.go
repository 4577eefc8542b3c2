package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// ApplyCloudList applies the cloud's list of machines. The list lags, and may be older than
// the previous one, so that it proves nothing about tasks. It is used to learn of machines
// that have not sent a heartbeat yet.
func (m *Model) ApplyCloudList(list []wire.ListedMachine, now time.Time) {
	for i := range list {
		l := &list[i]
		known := m.machineNamed(l.Name) != nil
		mc := m.findOrAddMachine(l.Name, now)
		if mc.Gone {
			continue
		}
		if !known {
			m.log.Info("machine listed", "machine", l.Name, "type", l.Type, "zone", l.Zone, "spot", l.Spot, "state", l.State)
			mc.recordAge(config.Seconds(l.AgeS), now)
		}
		mc.setListedAddr(l.Addr)
		if mc.typeIndex < 0 || mc.Zone < 0 {
			m.setTypeAndZone(mc, l.Type, l.Zone, l.Spot)
		}
		mc.recordListing(l.State, now)
	}
}
