package priority

import (
	"maps"
	"slices"
)

// InversionLog counts priority inversions by tier and reason, and keeps the most recent ones. Its
// size is bounded. The leader saves it, and the next leader continues it.
type InversionLog struct {
	Counts      map[string]uint64 `msgpack:"n"` // by InversionEvent.Key
	Recent      []InversionEvent  `msgpack:"l"` // oldest first
	PlanVersion int               `msgpack:"p"` // version of the plan when the log was saved
	Capacity    [3]float64        `msgpack:"f"` // capacity of which shares are computed: CPUs, GPUs, memory in GB
}

// Clone returns a copy that later changes of the log do not affect.
func (l *InversionLog) Clone() InversionLog {
	c := *l
	c.Counts, c.Recent = maps.Clone(l.Counts), slices.Clone(l.Recent)
	return c
}

// InversionEvent is a recorded priority inversion: Job, of tier Tier, started although PassedOver,
// of the higher tier PassedOverTier, waited.
type InversionEvent struct {
	AtMs           int64  `msgpack:"at"` // Unix time in milliseconds
	Job            string `msgpack:"j"`
	Tier           string `msgpack:"t"`
	PassedOver     string `msgpack:"o"`
	PassedOverTier string `msgpack:"ot"`
	Reason         string `msgpack:"r"` // InversionReason.String
}

const (
	maxRecentEvents = 48
	maxCountedKeys  = 400
)

// Key returns the key under which the inversion is counted: the tier passed over and the reason.
func (e *InversionEvent) Key() string { return e.PassedOverTier + ": " + e.Reason }

// Add counts an inversion and adds it to the recent ones. It replaces an earlier event with the
// same jobs and reason. Once there are maxCountedKeys keys, inversions under new keys are not
// counted.
func (l *InversionLog) Add(e InversionEvent) {
	if l.Counts == nil {
		l.Counts = map[string]uint64{}
	}
	if _, ok := l.Counts[e.Key()]; ok || len(l.Counts) < maxCountedKeys {
		l.Counts[e.Key()]++
	}
	l.Recent = slices.DeleteFunc(l.Recent, func(o InversionEvent) bool {
		return o.Job == e.Job && o.PassedOver == e.PassedOver && o.Reason == e.Reason
	})
	l.Recent = append(l.Recent, e)
	if n := len(l.Recent); n > maxRecentEvents {
		l.Recent = slices.Delete(l.Recent, 0, n-maxRecentEvents)
	}
}

// Merge adds the log of earlier leaders, whose events are older than those of l.
func (l *InversionLog) Merge(earlier InversionLog) {
	if l.Capacity == ([3]float64{}) {
		l.PlanVersion, l.Capacity = earlier.PlanVersion, earlier.Capacity
	}
	own := l.Recent
	l.Recent = slices.Clone(earlier.Recent)
	l.Recent = append(l.Recent, own...)
	if n := len(l.Recent); n > maxRecentEvents {
		l.Recent = slices.Delete(l.Recent, 0, n-maxRecentEvents)
	}
	for key, n := range earlier.Counts {
		if l.Counts == nil {
			l.Counts = map[string]uint64{}
		}
		if _, ok := l.Counts[key]; ok || len(l.Counts) < maxCountedKeys {
			l.Counts[key] += n
		}
	}
}

// PassingOver returns the recent inversions that passed over a job, oldest first.
func (l *InversionLog) PassingOver(job string) (out []InversionEvent) {
	for _, e := range l.Recent {
		if e.PassedOver == job {
			out = append(out, e)
		}
	}
	return out
}
