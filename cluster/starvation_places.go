package cluster

import (
	"math"
	"slices"
	"time"
)

// This file predicts when places for tasks become free, for the simulation by which the
// starvation bound decides.

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
