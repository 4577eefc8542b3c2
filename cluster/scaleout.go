package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file lists the offers that a scale-out may use and applies the results of scale-outs.

// Offer is a type, zone and market in which machines can be requested from the cloud.
type Offer struct {
	Type string
	Zone string
	Spot bool
	key  offerKey
}

const (
	// offerRefusalTime is how long an offer is excluded after a refusal.
	offerRefusalTime = 15 * time.Second
	// maxScaleOut bounds the machines that a pass requests, to a few requests of the largest
	// size that the cloud accepts.
	maxScaleOut = 200
)

// offers returns the offers that may be used now, in the form that package placement takes
// and, in the same order, with the names of their types and zones.
func (m *Model) offers(now time.Time) ([]placement.Offer, []Offer) {
	var out []placement.Offer
	var names []Offer
	for ti := range m.MachineTypes {
		t := &m.MachineTypes[ti]
		for z := range m.Zones {
			if !t.Zones[z] {
				continue
			}
			for _, spot := range []bool{false, true} {
				key := offerKey{ti, z, spot}
				if m.refusedOffers.refused(key, now) {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				out = append(out, placement.Offer{Machine: placement.Machine{
					Type: ti, Zone: z, Spot: spot, ETA: t.BootTime.Seconds(), Capacity: t.Capacity, Price: price, FetchRate: t.FetchRate,
				}})
				names = append(names, Offer{Type: t.Name, Zone: m.Zones[z], Spot: spot, key: key})
			}
		}
	}
	return out, names
}

// OfferRefused records that the cloud had no machine for an offer. The offer is not used
// again for offerRefusalTime, so that the next pass tries another type or zone.
func (m *Model) OfferRefused(o Offer, now time.Time) {
	m.refusedOffers.refuse(o.key, now.Add(offerRefusalTime))
}

// ScaledOut adds machines that the cloud named in its response to a scale-out request.
func (m *Model) ScaledOut(o Offer, names []string, now time.Time) {
	for _, n := range names {
		mc := m.findOrAddMachine(n, now)
		mc.recordScaleOut()
		if !mc.alive && mc.AgentEpoch == 0 {
			mc.recordCreation()
		}
		m.setTypeAndZone(mc, o.Type, o.Zone, o.Spot)
		m.log.Info("machine scaled out", "machine", n, "type", o.Type, "zone", o.Zone, "spot", o.Spot)
	}
}
