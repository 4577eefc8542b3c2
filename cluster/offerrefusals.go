package cluster

import "time"

// offerKey identifies an offer of the cloud by the indices of its machine type and zone.
type offerKey struct {
	machineType, zone int
	spot              bool
}

// offerRefusals records the offers that scale-outs must not use for a while. The cloud recently
// had no capacity for such an offer, or a machine of the offer never came up.
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
