package cluster

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file forecasts when places for tasks become free.

type placeTimes []float64

// occupyEarliest moves the earliest place back, to when it is free again. This is the
// step that triage takes most often by far, and container/heap takes four
// times as long for it.
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

// placesFor says after how many seconds there is a place in a zone (-1: in any)
// for a task like the job's, once for each. Places that tasks of higher priority hold are not
// counted, since others of theirs are likely to follow; those of lower
// priority can be had at once.
func (m *Model) placesFor(j *Job, zone int, now time.Time) []float64 {
	var out []float64
	type end struct {
		at   float64
		need placement.Resources
	}
	for _, mc := range m.Machines {
		if mc.Type < 0 || !j.AllowedTypes[mc.Type] || mc.Spot && !j.Spec.Spot || zone >= 0 && zone != mc.Zone {
			continue
		}
		room := m.MachineTypes[mc.Type].Capacity
		if !m.Ready(mc, now) {
			if eta, ok := m.bootTimeLeft(mc, now); ok {
				for range tasksThatFit(j.Need, room) {
					out = append(out, eta)
				}
			}
			continue
		}
		var ends []end
		for ref := range mc.Tasks {
			o := m.Jobs[ref.Job]
			if o.Priority <= j.Priority {
				room = room.Add(o.Need, -1)
			}
			if o.Priority == j.Priority {
				ends = append(ends, end{m.secondsLeft(o, ref.Task, now), o.Need})
			}
		}
		n := tasksThatFit(j.Need, room)
		for range n {
			out = append(out, 0)
		}
		sort.Slice(ends, func(a, b int) bool { return ends[a].at < ends[b].at })
		for _, e := range ends {
			room = room.Add(e.need, 1)
			for k := tasksThatFit(j.Need, room); n < k; n++ {
				out = append(out, e.at)
			}
		}
	}
	return out
}

// tasksThatFit is how many tasks with a need fit into room.
func tasksThatFit(need, room placement.Resources) int {
	n := 1000.0
	for _, x := range [][2]float64{{need.CPU, room.CPU}, {need.GPU, room.GPU}, {need.Mem, room.Mem}} {
		if x[0] > 0 {
			n = min(n, math.Floor(x[1]/x[0]+1e-6))
		}
	}
	return int(max(n, 0))
}

// zonePlaces lists, for each place for a task, the seconds until it is free, by zone, or in
// one list where the class's jobs have no zone constraint.
type zonePlaces struct {
	byZone  []placeTimes
	anyZone bool // one list for all zones
}

func (m *Model) zonePlacesFor(j *Job, now time.Time) *zonePlaces {
	r := &zonePlaces{anyZone: !j.Spec.OneZone && j.Zone < 0}
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
		if !r.anyZone && j.Zone >= 0 && j.Zone != z || len(t) < n {
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
