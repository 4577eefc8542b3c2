package priority

import "github.com/umberdeal/umberdeal/placement"

// This file finds priority inversions, tasks that start where work of a higher tier
// waits, and says why each was allowed.

// InversionReason is why a lower tier's task got room that a higher one waits for.
type InversionReason uint8

// Reasons. Unexplained is an inversion that nothing explains: it must not be.
const (
	Unexplained       InversionReason = iota
	WithinQuota                       // the lower one is within its team's guarantee
	HigherPriority                    // the lower one's priority is higher
	StarvationBound                   // the lower one had to begin by then
	FairShare                         // its tier had less than its share
	MaxWait                           // it had waited its tier's longest wait
	QuotaLimit                        // the higher one's team is at its limit
	ZoneConstraint                    // the higher one may not be in that zone, given its other tasks
	MachineConstraint                 // the machine's type or kind is not for the higher one, or it stays away from it
	GangTooLarge                      // the higher one needs more places at once than there are
	WarmPoolReserved                  // the machine is kept for a warm pool that the higher one may not use
	WarmPoolCache                     // the higher one's image would evict a warm pool's weights
	RepeatedFailure                   // the higher one fails wherever it is tried, and is given spare room only
	numReasons
)

var reasonNames = [numReasons]string{"none", "guarantee", "priority", "bound", "share", "wait", "limit", "zone", "machine", "gang", "pool", "image", "fault"}

func (r InversionReason) String() string { return reasonNames[min(r, numReasons-1)] }

// Inversion is a task placed where one of a higher tier could have been.
type Inversion struct {
	Start      placement.Start
	PassedOver int // the request passed over
	Reason     InversionReason
}

// FindInversions compares what a pass started with what still waits. teams is the
// teams' use before the pass. A task placed is an inversion at most once: over the highest that it was placed
// before, the one that came first in the line among equals.
func FindInversions(reqs []placement.Request, teams []placement.Team, starts []placement.Start, machines []placement.Machine) []Inversion {
	line := unserved(reqs, teams, starts)
	if len(line) == 0 {
		return nil
	}
	var out []Inversion
	for _, s := range starts {
		if reqs[s.Request].Headroom {
			continue
		}
		tier, best := reqs[s.Request].Tier, -1
		for i := range line {
			if h := &reqs[line[i].request]; h.Tier < tier && h.Need.Fits(s.FreeBefore) {
				best, tier = i, h.Tier
			}
		}
		if best < 0 {
			continue
		}
		h := &line[best]
		out = append(out, Inversion{s, h.request, inversionReason(reqs, s, h, &machines[s.Machine])})
	}
	return out
}

// unservedRequest is a request of which tasks were left.
type unservedRequest struct {
	request      int
	atQuotaLimit bool // by its team's limit alone
}

// unserved lists the requests with tasks left, in their order.
func unserved(reqs []placement.Request, teams []placement.Team, starts []placement.Start) []unservedRequest {
	got := make([]int, len(reqs))
	for _, s := range starts {
		got[s.Request]++
	}
	used := make([]placement.Team, len(teams))
	copy(used, teams)
	var out []unservedRequest
	for i := range reqs {
		r := &reqs[i]
		n := placement.TasksWithinLimit(r, used)
		if !r.Headroom && got[i] < len(r.Tasks) {
			out = append(out, unservedRequest{i, got[i] >= n || r.Gang && n < len(r.Tasks)})
		}
		if r.Team >= 0 {
			used[r.Team].Used = used[r.Team].Used.Add(r.Need, float64(got[i]))
		}
	}
	return out
}

// inversionReason says why a start came before a request that was left. Where the lower
// one stood ahead in the line, that is why; where it stood behind, something must
// have kept the higher one from the machine.
func inversionReason(reqs []placement.Request, s placement.Start, h *unservedRequest, m *placement.Machine) InversionReason {
	low, high := &reqs[s.Request], &reqs[h.request]
	if s.Request < h.request {
		switch {
		case high.FreeCapacityOnly && !low.FreeCapacityOnly:
			return RepeatedFailure
		case low.WithinGuarantee && !high.WithinGuarantee:
			return WithinQuota
		case low.Priority < high.Priority && low.WithinGuarantee == high.WithinGuarantee:
			return HigherPriority
		case low.WithinGuarantee == high.WithinGuarantee && low.Priority == high.Priority && low.PromotionCause == uint8(PromotedByWait):
			return MaxWait // among those whose start is due by the bound, or not
		case low.StartDue:
			// Before all of its priority, and at last before higher ones; of two
			// whose start is due, the one whose time is nearer.
			return StarvationBound
		case low.WithinGuarantee != high.WithinGuarantee, low.Priority != high.Priority, high.StartDue:
			return Unexplained
		case low.PromotionCause == uint8(PromotedByShare):
			return FairShare
		}
		return Unexplained
	}
	pool, image := m.PoolRefuses(high)
	switch {
	case h.atQuotaLimit:
		return QuotaLimit
	case high.Zone >= 0 && high.Zone != m.Zone, high.MaxPerZone > 0 && high.PlacedByZone[m.Zone] >= high.MaxPerZone:
		return ZoneConstraint
	case !high.Types[m.Type], m.Spot && !high.Spot, high.Avoid[s.Machine]:
		return MachineConstraint
	case pool:
		return WarmPoolReserved
	case image:
		return WarmPoolCache
	case high.Gang:
		return GangTooLarge
	case high.OneZone && high.Zone < 0:
		return ZoneConstraint // its tasks went to another
	}
	return Unexplained
}
