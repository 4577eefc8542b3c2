package cluster

import (
	"math"
	"slices"
	"time"
)

// This file is the list of places, by the time at which each comes free, on which the
// starvation bound plays starts through.

// zonePlaces is after how many seconds there is a place for a task, once for each,
// by zone. Where a class's jobs need no zone of their own, it is one list.
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

// earliest is after how many seconds a job has n places at once, and in which
// zone; infinite where there never are so many.
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

// occupy holds the first n places of a zone until they are free again.
func (r *zonePlaces) occupy(zone, n int, until float64) {
	t := r.byZone[zone]
	at, _ := slices.BinarySearch(t, until)
	at = max(at, n) // its places are the first, and free again no sooner than that
	copy(t, t[n:at])
	for i := at - n; i < at; i++ {
		t[i] = until
	}
}
