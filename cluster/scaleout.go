package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// Offer is a combination of machine type, zone and market (on demand or spot) in which machines
// can be requested from the cloud.
type Offer struct {
	Type string
	Zone string
	Spot bool
	key  offerKey
}

const (
	// offerRefusalTime is how long an offer is excluded after the cloud refused it.
	offerRefusalTime = 15 * time.Second
	// maxScaleOut bounds the machines that a scheduling pass requests. It equals a few requests
	// of the largest size that the cloud accepts.
	maxScaleOut = 200
)

// offers returns the offers that may be used now, in the same order in two forms: the input of
// package placement, and with the names of types and zones.
func (m *Model) offers(now time.Time) ([]placement.Offer, []Offer) {
	var out []placement.Offer
	var named []Offer
	for typeIndex := range m.MachineTypes {
		t := &m.MachineTypes[typeIndex]
		for zone := range m.Zones {
			if !t.Zones[zone] {
				continue
			}
			for _, spot := range []bool{false, true} {
				key := offerKey{typeIndex, zone, spot}
				if m.refusedOffers.refused(key, now) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, placement.Offer{Machine: placement.Machine{
					Type: typeIndex, Zone: zone, Spot: spot, ETA: t.BootTime.Seconds(), Capacity: t.Capacity, Price: price, FetchRate: t.FetchRate,
				}})
				named = append(named, Offer{Type: t.Name, Zone: m.Zones[zone], Spot: spot, key: key})
			}
		}
	}
	return out, named
}

// OfferRefused records that the cloud had no machine for an offer. The offer is excluded for
// offerRefusalTime, so that the next pass tries another type or zone.
func (m *Model) OfferRefused(o Offer, now time.Time) {
	m.refusedOffers.refuse(o.key, now.Add(offerRefusalTime))
}

// ScaledOut adds the machines with the given names, which the cloud returned for a scale-out
// request of an offer.
func (m *Model) ScaledOut(o Offer, names []string, now time.Time) {
	for _, name := range names {
		mc := m.findOrAddMachine(name, now)
		mc.recordScaleOut()
		if !mc.alive && mc.AgentEpoch == 0 {
			mc.recordCreation()
		}
		m.setTypeAndZone(mc, o.Type, o.Zone, o.Spot)
		m.log.Info("machine scaled out", "machine", name, "type", o.Type, "zone", o.Zone, "spot", o.Spot)
	}
}
