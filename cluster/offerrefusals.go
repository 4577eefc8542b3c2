package cluster

import "time"

// offerKey identifies an offer of the cloud.
type offerKey struct {
	machineType, zone int
	spot              bool
}

// offerRefusals holds the offers which the cloud has lately had no capacity for, or whose
// machines never came up, so that the next scale-out tries others.
type offerRefusals struct {
	until map[offerKey]time.Time
}

func newOfferRefusals() offerRefusals { return offerRefusals{until: map[offerKey]time.Time{}} }

// refuse excludes an offer until the given time.
func (r *offerRefusals) refuse(key offerKey, until time.Time) { r.until[key] = until }

// refused reports whether an offer is excluded now.
func (r *offerRefusals) refused(key offerKey, now time.Time) bool {
	until, ok := r.until[key]
	return ok && now.Before(until)
}
