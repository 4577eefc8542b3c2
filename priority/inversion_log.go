package priority

import (
	"maps"
	"slices"
)

// This file is what is recorded of priority inversions.

// InversionLog is how many priority inversions there were and why, counted by whoever
// led, and the last of it. It is bounded.
type InversionLog struct {
	Counts      map[string]uint64 `msgpack:"n"` // by Passed.Key
	Recent      []InversionEvent  `msgpack:"l"` // oldest first
	PlanVersion int               `msgpack:"p"` // the version of the plan that was last departed from
	Capacity    [3]float64        `msgpack:"f"` // what shares were counted of: CPUs, GPUs, memory in GB
}

// Clone is a copy that does not change with the record.
func (r *InversionLog) Clone() InversionLog {
	c := *r
	c.Counts, c.Recent = maps.Clone(r.Counts), slices.Clone(r.Recent)
	return c
}

// InversionEvent is one priority inversion.
type InversionEvent struct {
	AtMs           int64  `msgpack:"at"`
	Job            string `msgpack:"j"`
	Tier           string `msgpack:"t"`
	PassedOver     string `msgpack:"o"`
	PassedOverTier string `msgpack:"ot"`
	Reason         string `msgpack:"r"`
}

const (
	maxRecent = 48
	maxCounts = 400
)

// Key is what an inversion is counted under: the tier passed over, and why.
func (p *InversionEvent) Key() string { return p.PassedOverTier + ": " + p.Reason }

// Add counts an inversion and keeps the last ones, of each pair of jobs and
// reason the latest only.
func (r *InversionLog) Add(p InversionEvent) {
	if r.Counts == nil {
		r.Counts = map[string]uint64{}
	}
	if _, ok := r.Counts[p.Key()]; ok || len(r.Counts) < maxCounts {
		r.Counts[p.Key()]++
	}
	r.Recent = slices.DeleteFunc(r.Recent, func(o InversionEvent) bool {
		return o.Job == p.Job && o.PassedOver == p.PassedOver && o.Reason == p.Reason
	})
	r.Recent = append(r.Recent, p)
	if n := len(r.Recent); n > maxRecent {
		r.Recent = slices.Delete(r.Recent, 0, n-maxRecent)
	}
}

// Merge takes in what earlier leaders counted.
func (r *InversionLog) Merge(o InversionLog) {
	if r.Capacity == ([3]float64{}) {
		r.PlanVersion, r.Capacity = o.PlanVersion, o.Capacity
	}
	last := r.Recent
	r.Recent = slices.Clone(o.Recent)
	r.Recent = append(r.Recent, last...)
	if n := len(r.Recent); n > maxRecent {
		r.Recent = slices.Delete(r.Recent, 0, n-maxRecent)
	}
	for k, n := range o.Counts {
		if r.Counts == nil {
			r.Counts = map[string]uint64{}
		}
		if _, ok := r.Counts[k]; ok || len(r.Counts) < maxCounts {
			r.Counts[k] += n
		}
	}
}

// PassingOver lists the last inversions at a job's cost.
func (r *InversionLog) PassingOver(job string) (out []InversionEvent) {
	for _, p := range r.Recent {
		if p.PassedOver == job {
			out = append(out, p)
		}
	}
	return out
}
