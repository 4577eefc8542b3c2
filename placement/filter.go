package placement

// This file filters machines: which of them a request may use, and which of their resources.

// capacityKind says which resources a search counts as available.
type capacityKind int

const (
	freeNow      capacityKind = iota // free on a machine that is up
	freeSoon                         // the same, with what tasks that are being stopped will release
	onBooting                        // on a machine that is rented and not up yet
	byPreempting                     // as freeSoon, with what preempting tasks would release
	numCapacityKinds
)

// passesFilter reports whether the request may use the machine, apart from whether its task fits.
func (p *planner) passesFilter(machine int, r *Request, kind capacityKind) bool {
	m := &p.input.Machines[machine]
	if (kind == onBooting) == m.Ready {
		return false
	}
	return r.accepts(m) && !r.Avoid[machine] && poolAdmits(m, r)
}

// accepts reports whether the request may use machines of that type and zone, and spot instances
// if the machine is one.
func (r *Request) accepts(m *Machine) bool {
	return r.Types[m.Type] && (r.Zone < 0 || r.Zone == m.Zone) && (!m.Spot || r.Spot)
}

// zoneIsFull reports whether the request has as many tasks in a zone as MaxPerZone allows.
func (r *Request) zoneIsFull(zone int) bool {
	return r.MaxPerZone > 0 && r.PlacedByZone[zone] >= r.MaxPerZone
}

// availableCapacity returns the resources of a machine that a search of that kind counts as
// available.
func availableCapacity(m *Machine, kind capacityKind) Resources {
	if kind == freeNow {
		return m.Free
	}
	return m.Free.Add(m.Releasing, 1)
}
