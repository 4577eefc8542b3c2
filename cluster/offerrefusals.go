package cluster

import "time"

// offerKey names what the cloud can be asked for.
type offerKey struct {
	machineType, zone int
	spot              bool
}

// offerRefusals remembers what the cloud lately had nothing of, or gave machines of
// that never came up, so that the next scale-out tries elsewhere.
type offerRefusals struct {
	until map[offerKey]time.Time
}

func newOfferRefusals() offerRefusals { return offerRefusals{until: map[offerKey]time.Time{}} }

// refuse keeps an offer from being used until then.
func (r *offerRefusals) refuse(key offerKey, until time.Time) { r.until[key] = until }

// refused says whether an offer is not to be used now.
func (r *offerRefusals) refused(key offerKey, now time.Time) bool {
	until, ok := r.until[key]
	return ok && now.Before(until)
}
