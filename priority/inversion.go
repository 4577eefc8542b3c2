package priority

import "github.com/umberdeal/umberdeal/placement"

// InversionReason is the reason why a task of a lower tier started on resources that a request of
// a higher tier waits for.
type InversionReason uint8

// Reasons for priority inversions. "Lower" is the task that started, "higher" the request that
// waits. Unexplained means that no known reason applies, which is a fault of the scheduler.
const (
	Unexplained       InversionReason = iota
	WithinQuota                       // the lower one is within its team's guarantee
	HigherPriority                    // the lower one has a higher priority
	StarvationBound                   // the lower one had to start because of the starvation bound
	FairShare                         // the lower one's tier had less than its share
	MaxWait                           // the lower one had waited its tier's maximum wait
	QuotaLimit                        // the higher one's team is at its quota limit
	ZoneConstraint                    // the higher one may not use the zone, given its other tasks
	MachineConstraint                 // the higher one may not use the machine or its type
	GangTooLarge                      // the higher one is a gang for which there is not enough room
	WarmPoolReserved                  // the machine is reserved for a warm pool that the higher one may not use
	WarmPoolCache                     // the higher one's image would evict a warm pool's weights
	RepeatedFailure                   // the higher one fails wherever it is tried, and gets only free capacity
	numReasons
)

var reasonNames = [numReasons]string{"none", "guarantee", "priority", "bound", "share", "wait", "limit", "zone", "machine", "gang", "pool", "image", "fault"}

// String returns the name of the reason in metrics and in the inversion log.
func (r InversionReason) String() string { return reasonNames[min(r, numReasons-1)] }

// Inversion is a priority inversion: a task started on resources that would have fit a task of a
// waiting request of a higher tier.
type Inversion struct {
	Start      placement.Start
	PassedOver int // index of the waiting request
	Reason     InversionReason
}

// FindInversions compares what a scheduling pass started with what still waits. reqs are the
// requests in the order in which they were served, teams is the usage of the teams before the
// pass, and starts and machines are the result of the pass. Each start yields at most one
// Inversion: over the request of the highest tier that it passed over and, within that tier, over
// the one that was served first. Starts of placeholder requests (Headroom) are ignored.
func FindInversions(reqs []placement.Request, teams []placement.Team, starts []placement.Start, machines []placement.Machine) []Inversion {
	waiting := unserved(reqs, teams, starts)
	if len(waiting) == 0 {
		return nil
	}
	var inversions []Inversion
	for _, start := range starts {
		if reqs[start.Request].Headroom {
			continue
		}
		tier, best := reqs[start.Request].Tier, -1
		for i := range waiting {
			if high := &reqs[waiting[i].request]; high.Tier < tier && high.Need.Fits(start.FreeBefore) {
				best, tier = i, high.Tier
			}
		}
		if best < 0 {
			continue
		}
		passedOver := &waiting[best]
		inversions = append(inversions, Inversion{start, passedOver.request, inversionReason(reqs, start, passedOver, &machines[start.Machine])})
	}
	return inversions
}

// unservedRequest is a request with tasks that were not started.
type unservedRequest struct {
	request      int  // index of the request
	atQuotaLimit bool // only the limit of its team keeps its tasks from starting
}

// unserved lists the requests with tasks that were not started, in their order. Placeholder
// requests (Headroom) are left out.
func unserved(reqs []placement.Request, teams []placement.Team, starts []placement.Start) []unservedRequest {
	started := make([]int, len(reqs))
	for _, s := range starts {
		started[s.Request]++
	}
	used := make([]placement.Team, len(teams))
	copy(used, teams)
	var out []unservedRequest
	for i := range reqs {
		r := &reqs[i]
		allowed := placement.TasksWithinLimit(r, used)
		if !r.Headroom && started[i] < len(r.Tasks) {
			out = append(out, unservedRequest{i, started[i] >= allowed || r.Gang && allowed < len(r.Tasks)})
		}
		if r.Team >= 0 {
			used[r.Team].Used = used[r.Team].Used.Add(r.Need, float64(started[i]))
		}
	}
	return out
}

// inversionReason returns why a task started although a request of a higher tier waits. If the
// lower one was served first, the reason is its position in the queue. Otherwise something must
// have kept the higher one from the machine.
func inversionReason(reqs []placement.Request, start placement.Start, passedOver *unservedRequest, m *placement.Machine) InversionReason {
	low, high := &reqs[start.Request], &reqs[passedOver.request]
	if start.Request < passedOver.request {
		switch {
		case high.FreeCapacityOnly && !low.FreeCapacityOnly:
			return RepeatedFailure
		case low.WithinGuarantee && !high.WithinGuarantee:
			return WithinQuota
		case low.Priority < high.Priority && low.WithinGuarantee == high.WithinGuarantee:
			return HigherPriority
		case low.WithinGuarantee == high.WithinGuarantee && low.Priority == high.Priority && low.PromotionCause == uint8(PromotedByWait):
			return MaxWait // whether or not the starvation bound applies to either of them
		case low.StartDue:
			// It is served before all others of its priority, also before higher tiers. If
			// both are due to start, the one with the earlier deadline is served first.
			return StarvationBound
		case low.WithinGuarantee != high.WithinGuarantee, low.Priority != high.Priority, high.StartDue:
			return Unexplained
		case low.PromotionCause == uint8(PromotedByShare):
			return FairShare
		}
		return Unexplained
	}
	noPoolAccess, evictsWeights := m.PoolRefuses(high)
	switch {
	case passedOver.atQuotaLimit:
		return QuotaLimit
	case high.Zone >= 0 && high.Zone != m.Zone, high.MaxPerZone > 0 && high.PlacedByZone[m.Zone] >= high.MaxPerZone:
		return ZoneConstraint
	case !high.Types[m.Type], m.Spot && !high.Spot, high.Avoid[start.Machine]:
		return MachineConstraint
	case noPoolAccess:
		return WarmPoolReserved
	case evictsWeights:
		return WarmPoolCache
	case high.Gang:
		return GangTooLarge
	case high.OneZone && high.Zone < 0:
		return ZoneConstraint // all its tasks went to another zone
	}
	return Unexplained
}
