package priority

import (
	"maps"
	"slices"
)

// This file is what is recorded of departures.

// Record is how often and why the order was departed from, counted by whoever
// led, and the last of it. It is bounded.
type Record struct {
	Counts map[string]uint64 `msgpack:"n"` // by Passed.Key
	Last   []Passed          `msgpack:"l"` // oldest first
	Plan   int               `msgpack:"p"` // the version of the plan that was last departed from
	Fleet  [3]float64        `msgpack:"f"` // what shares were counted of: CPUs, GPUs, memory in GB
}

// Clone is a copy that does not change with the record.
func (r *Record) Clone() Record {
	c := *r
	c.Counts, c.Last = maps.Clone(r.Counts), slices.Clone(r.Last)
	return c
}

// Passed is one departure.
type Passed struct {
	AtMs     int64  `msgpack:"at"`
	Job      string `msgpack:"j"`
	Tier     string `msgpack:"t"`
	Over     string `msgpack:"o"`
	OverTier string `msgpack:"ot"`
	Reason   string `msgpack:"r"`
}

const (
	lastKept   = 48
	countsKept = 400
)

// Key is what a departure is counted under: the tier passed over, and why.
func (p *Passed) Key() string { return p.OverTier + ": " + p.Reason }

// Note counts a departure and keeps the last ones, of each pair of jobs and
// reason the latest only.
func (r *Record) Note(p Passed) {
	if r.Counts == nil {
		r.Counts = map[string]uint64{}
	}
	if _, ok := r.Counts[p.Key()]; ok || len(r.Counts) < countsKept {
		r.Counts[p.Key()]++
	}
	r.Last = slices.DeleteFunc(r.Last, func(o Passed) bool { return o.Job == p.Job && o.Over == p.Over && o.Reason == p.Reason })
	r.Last = append(r.Last, p)
	if n := len(r.Last); n > lastKept {
		r.Last = slices.Delete(r.Last, 0, n-lastKept)
	}
}

// Merge takes in what earlier leaders counted.
func (r *Record) Merge(o Record) {
	if r.Fleet == ([3]float64{}) {
		r.Plan, r.Fleet = o.Plan, o.Fleet
	}
	last := r.Last
	r.Last = slices.Clone(o.Last)
	r.Last = append(r.Last, last...)
	if n := len(r.Last); n > lastKept {
		r.Last = slices.Delete(r.Last, 0, n-lastKept)
	}
	for k, n := range o.Counts {
		if r.Counts == nil {
			r.Counts = map[string]uint64{}
		}
		if _, ok := r.Counts[k]; ok || len(r.Counts) < countsKept {
			r.Counts[k] += n
		}
	}
}

// Over lists the last departures at a job's cost.
func (r *Record) Over(job string) (out []Passed) {
	for _, p := range r.Last {
		if p.Over == job {
			out = append(out, p)
		}
	}
	return out
}
