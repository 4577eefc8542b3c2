// Cache of searches that found no room. Later searches that must fail as well are skipped.

package placement

import "slices"

// maxFailedSearches bounds the remembered searches of each kind, and so the time to compare a new
// search with them.
const maxFailedSearches = 64

// failedSearch is a search that found no room. A later search for at least as much fails too,
// because available room only shrinks while a plan is made. The exceptions are preemptions, after
// which the failures of kind freeSoon are forgotten, and new machines, after which those of kind
// onBooting are. The cache saves time because most of hundreds of waiting jobs are alike.
type failedSearch struct {
	request *Request
	zone    int // -1: any
	tasks   int
}

// knownToFail reports whether a search for room for n tasks must fail because a recorded search
// did. zone is -1 for any zone.
func (p *planner) knownToFail(kind capacityKind, r *Request, zone, n int) bool {
	for i := range p.failedSearches[kind] {
		f := &p.failedSearches[kind][i]
		if f.tasks > n || f.zone >= 0 && f.zone != zone {
			continue
		}
		if kind == byPreempting && !f.request.mayPreemptAllOf(r) {
			continue
		}
		if f.request.fitsWherever(r) {
			return true
		}
	}
	return false
}

// fitsWherever reports whether one task of r finds room on every machine on which one task of
// other does. It ignores zones, which the caller compares. Images matter only for borrowed
// machines of warm pools.
func (r *Request) fitsWherever(other *Request) bool {
	if other.Spot && !r.Spot || !r.Need.Fits(other.Need) {
		return false
	}
	if !slices.Equal(r.Types, other.Types) || !slices.Equal(r.PoolAccess, other.PoolAccess) {
		return false
	}
	sameImage := r.Image == other.Image && r.ImageGB <= other.ImageGB
	return sameImage || !slices.Contains(r.PoolAccess, BorrowAccess)
}

// mayPreemptAllOf reports whether every task that may be preempted for other may also be preempted
// for r.
func (r *Request) mayPreemptAllOf(other *Request) bool {
	if r.Priority > other.Priority {
		return false
	}
	return !other.WithinGuarantee || r.WithinGuarantee && r.Team == other.Team
}

// rememberFailure records a failed search for room for n tasks, unless a restriction of this
// request alone (Avoid, MaxPerZone) may be the reason.
func (p *planner) rememberFailure(kind capacityKind, r *Request, zone, n int) {
	if len(r.Avoid) > 0 || r.MaxPerZone > 0 || len(p.failedSearches[kind]) >= maxFailedSearches {
		return
	}
	p.failedSearches[kind] = append(p.failedSearches[kind], failedSearch{r, zone, n})
}
