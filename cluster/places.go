package cluster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file forecasts when places for tasks become free. A place is enough free resources on
// one machine for one task of a given job.

// placeTimes has for each place the seconds from now until it is free. The simulations keep it
// as a binary min-heap; a sorted list is one.
type placeTimes []float64

// occupyEarliest occupies the place that is free first for the given number of seconds more.
// Triage spends most of its time here, and container/heap takes four times as long for it.
func (t placeTimes) occupyEarliest(by float64) {
	x, i := t[0]+by, 0
	for {
		k := 2*i + 1
		if k >= len(t) {
			break
		}
		if k+1 < len(t) && t[k+1] < t[k] {
			k++
		}
		if x <= t[k] {
			break
		}
		t[i] = t[k]
		i = k
	}
	t[i] = x
}

// mayUse reports whether the job's constraints on machine types and spot machines allow the
// machine.
func (j *Job) mayUse(mc *Machine) bool {
	return mc.typeIndex >= 0 && j.allowedTypes[mc.typeIndex] && (!mc.Spot || j.Spec.Spot)
}

// allowsZone reports whether the job's zone constraint allows a zone.
func (j *Job) allowsZone(zone int) bool { return j.zone < 0 || j.zone == zone }

// placesFor returns for each place for a task of the job in a zone, or in all zones if zone is
// negative, the seconds until it is free, unsorted. Places that tasks of higher priority occupy are not
// counted, since more tasks like them are likely to follow; those of tasks of lower priority
// count as free, since these can be preempted.
func (m *Model) placesFor(j *Job, zone int, now time.Time) []float64 {
	var places []float64
	for _, mc := range m.Machines {
		if !j.mayUse(mc) || zone >= 0 && zone != mc.Zone {
			continue
		}
		if m.Ready(mc, now) {
			places = m.appendReadyPlaces(places, mc, j, now)
		} else if eta, boots := m.estimateBootTimeLeft(mc, now); boots {
			for range tasksThatFit(j.Need, m.MachineTypes[mc.typeIndex].Capacity) {
				places = append(places, eta)
			}
		}
	}
	return places
}

// taskEnd is when a task is expected to end, in seconds from now, and what it frees then.
type taskEnd struct {
	after float64
	need  placement.Resources
}

// appendReadyPlaces appends the places that a ready machine has for tasks of the job: those
// that are free now, and those that tasks of the same priority free when they end.
func (m *Model) appendReadyPlaces(places []float64, mc *Machine, j *Job, now time.Time) []float64 {
	free := m.MachineTypes[mc.typeIndex].Capacity
	var ends []taskEnd
	for ref := range mc.Tasks {
		occupant := m.Jobs[ref.Job]
		if occupant.priority <= j.priority {
			free = free.Add(occupant.Need, -1)
		}
		if occupant.priority == j.priority {
			ends = append(ends, taskEnd{m.secondsLeft(occupant, ref.Task, now), occupant.Need})
		}
	}
	count := tasksThatFit(j.Need, free)
	for range count {
		places = append(places, 0)
	}
	slices.SortFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.after, b.after) })
	for _, end := range ends {
		free = free.Add(end.need, 1)
		for fit := tasksThatFit(j.Need, free); count < fit; count++ {
			places = append(places, end.after)
		}
	}
	return places
}

// maxTasksThatFit bounds the places that are counted on one machine for tasks that need
// next to nothing.
const maxTasksThatFit = 1000

// tasksThatFit returns how many tasks fit into free resources, at most maxTasksThatFit.
func tasksThatFit(need, free placement.Resources) int {
	n := float64(maxTasksThatFit)
	for _, x := range [][2]float64{{need.CPU, free.CPU}, {need.GPU, free.GPU}, {need.Mem, free.Mem}} {
		if x[0] > 0 {
			n = min(n, math.Floor(x[1]/x[0]+1e-6))
		}
	}
	return int(max(n, 0))
}

// zonePlaces lists, for each place for a task, the seconds until it is free, by zone, or in
// one list if the job that it was made for has no zone constraint. One job stands for its class.
type zonePlaces struct {
	byZone  []placeTimes
	anyZone bool // one list for all zones
}

// zonePlacesFor forecasts the places for tasks of the job, each list sorted.
func (m *Model) zonePlacesFor(j *Job, now time.Time) *zonePlaces {
	r := &zonePlaces{anyZone: !j.Spec.OneZone && j.zone < 0}
	if r.anyZone {
		r.byZone = []placeTimes{m.placesFor(j, -1, now)}
	} else {
		for z := range m.Zones {
			r.byZone = append(r.byZone, m.placesFor(j, z, now))
		}
	}
	for _, t := range r.byZone {
		slices.Sort(t)
	}
	return r
}

func (r *zonePlaces) clone() *zonePlaces {
	out := &zonePlaces{anyZone: r.anyZone}
	for _, t := range r.byZone {
		out.byZone = append(out.byZone, slices.Clone(t))
	}
	return out
}

// earliest returns the seconds until a job has n places at the same time, and in which zone.
// It returns infinity if there are never so many.
func (r *zonePlaces) earliest(j *Job, n int) (at float64, zone int) {
	at, zone = math.Inf(1), -1
	for z, t := range r.byZone {
		if !r.anyZone && j.zone >= 0 && j.zone != z || len(t) < n {
			continue
		}
		if t[n-1] < at {
			at, zone = t[n-1], z
		}
	}
	return at, zone
}

// occupy takes the first n places of a zone until the given second.
func (r *zonePlaces) occupy(zone, n int, until float64) {
	t := r.byZone[zone]
	at, _ := slices.BinarySearch(t, until)
	at = max(at, n) // its places are the first, and free again no sooner than that
	copy(t, t[n:at])
	for i := at - n; i < at; i++ {
		t[i] = until
	}
}
