// Forecasts when places for tasks become free. A place is enough free resources on one machine for
// one task of a given job.

package cluster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// placeTimes holds, for each place, the seconds from now until it is free. Triage keeps it as a
// binary min-heap. A sorted list is such a heap.
type placeTimes []float64

// occupyEarliest occupies the place that is free first for another number of seconds. There must be
// at least one place. Triage spends most of its time here, and container/heap takes four times as
// long.
func (t placeTimes) occupyEarliest(seconds float64) {
	freeAt, i := t[0]+seconds, 0
	for {
		child := 2*i + 1
		if child >= len(t) {
			break
		}
		if child+1 < len(t) && t[child+1] < t[child] {
			child++
		}
		if freeAt <= t[child] {
			break
		}
		t[i] = t[child]
		i = child
	}
	t[i] = freeAt
}

// mayUse reports whether the job's constraints on machine types and spot machines allow the
// machine.
func (j *Job) mayUse(mc *Machine) bool {
	return mc.typeIndex >= 0 && j.allowedTypes[mc.typeIndex] && (!mc.Spot || j.Spec.Spot)
}

// allowsZone reports whether the job's zone constraint allows a zone, given by its index.
func (j *Job) allowsZone(zone int) bool { return j.zone < 0 || j.zone == zone }

// placesFor returns, for each place for a task of the job, the seconds until it is free, unsorted.
// It counts the places in one zone, or in all zones if zone is negative. Places occupied by tasks of
// higher priority don't count, since more tasks like them are likely to follow. Places occupied by
// tasks of lower priority count as free, since these tasks can be preempted.
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

// taskEnd is the expected end of a task.
type taskEnd struct {
	afterSeconds float64             // from now
	freed        placement.Resources // resources that become free
}

// appendReadyPlaces appends the places that a ready machine has for tasks of the job. These are the
// places that are free now and those that become free when tasks of the same priority end.
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
	slices.SortFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.afterSeconds, b.afterSeconds) })
	for _, end := range ends {
		free = free.Add(end.freed, 1)
		for fit := tasksThatFit(j.Need, free); count < fit; count++ {
			places = append(places, end.afterSeconds)
		}
	}
	return places
}

// maxTasksThatFit bounds the places that are counted on one machine for very small tasks.
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

// zonePlaces holds the places for tasks of a job by zone. One job represents its class.
type zonePlaces struct {
	byZone  []placeTimes // each list sorted
	anyZone bool         // the job has no zone constraint, and byZone has one list for all zones
}

// zonePlacesFor forecasts the places for tasks of the job.
func (m *Model) zonePlacesFor(j *Job, now time.Time) *zonePlaces {
	places := &zonePlaces{anyZone: !j.Spec.OneZone && j.zone < 0}
	if places.anyZone {
		places.byZone = []placeTimes{m.placesFor(j, -1, now)}
	} else {
		for zone := range m.Zones {
			places.byZone = append(places.byZone, m.placesFor(j, zone, now))
		}
	}
	for _, times := range places.byZone {
		slices.Sort(times)
	}
	return places
}

func (p *zonePlaces) clone() *zonePlaces {
	out := &zonePlaces{anyZone: p.anyZone}
	for _, times := range p.byZone {
		out.byZone = append(out.byZone, slices.Clone(times))
	}
	return out
}

// earliest returns the seconds until a job has n places at the same time, and the index of their
// list in byZone. It returns infinity and -1 if there are never that many.
func (p *zonePlaces) earliest(j *Job, n int) (afterSeconds float64, zone int) {
	afterSeconds, zone = math.Inf(1), -1
	for z, times := range p.byZone {
		if !p.anyZone && j.zone >= 0 && j.zone != z || len(times) < n {
			continue
		}
		if times[n-1] < afterSeconds {
			afterSeconds, zone = times[n-1], z
		}
	}
	return afterSeconds, zone
}

// occupy takes the first n places of a list of byZone until the given second from now. The list
// stays sorted.
func (p *zonePlaces) occupy(zone, n int, untilSecond float64) {
	times := p.byZone[zone]
	end, _ := slices.BinarySearch(times, untilSecond)
	end = max(end, n) // untilSecond is not before the n-th place is free
	copy(times, times[n:end])
	for i := end - n; i < end; i++ {
		times[i] = untilSecond
	}
}
