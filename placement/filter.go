// Filters: which machines a request may use, and which of their resources.

package placement

// capacityKind says which resources a search counts as available.
type capacityKind int

const (
	freeNow      capacityKind = iota // free on a ready machine
	freeSoon                         // freeNow plus the resources of tasks that are being stopped
	onBooting                        // free on a machine that is rented but still booting
	byPreempting                     // freeSoon plus the resources of tasks that may be preempted
	numCapacityKinds
)

// passesFilter reports whether the request may use the machine. It does not check whether a task
// fits there.
func (p *planner) passesFilter(machine int, r *Request, kind capacityKind) bool {
	m := &p.input.Machines[machine]
	if (kind == onBooting) == m.Ready {
		return false
	}
	return r.accepts(m) && !r.Avoid[machine] && poolAdmits(m, r)
}

// accepts reports whether the request may use the machine's type and zone, and whether it may use
// spot instances if the machine is one.
func (r *Request) accepts(m *Machine) bool {
	return r.Types[m.Type] && (r.Zone < 0 || r.Zone == m.Zone) && (!m.Spot || r.Spot)
}

// zoneIsFull reports whether the request already has MaxPerZone tasks in the zone.
func (r *Request) zoneIsFull(zone int) bool {
	return r.MaxPerZone > 0 && r.PlacedByZone[zone] >= r.MaxPerZone
}

// availableCapacity returns the resources of a machine that a search of the given kind counts as
// available.
func availableCapacity(m *Machine, kind capacityKind) Resources {
	if kind == freeNow {
		return m.Free
	}
	return m.Free.Add(m.Releasing, 1)
}
