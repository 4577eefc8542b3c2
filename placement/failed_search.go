package placement

import "slices"

// This file remembers searches that found no room, so that searches which must fail as well are
// skipped.

// maxFailedSearches bounds the searches that are remembered of one kind, and with it the time
// to compare a new search with them.
const maxFailedSearches = 64

// failedSearch is a search that found no room. While a plan is made, room only shrinks, apart
// from preemptions and new machines, after which the failures of freeSoon and of onBooting are
// forgotten. So a later search for as much or more fails too. This saves time because most of
// hundreds of waiting jobs are alike.
type failedSearch struct {
	request *Request
	zone    int // -1: any
	tasks   int
}

// knownToFail reports whether a search for room for n tasks is known to fail.
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

// fitsWherever reports whether a search for one task of the request succeeds on each machine on
// which one for the other request does. Zones are compared by the caller. Images matter where a pool
// lends its machines: only that depends on them.
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

// mayPreemptAllOf reports whether each task that may be preempted for the other request may be
// preempted for this one.
func (r *Request) mayPreemptAllOf(other *Request) bool {
	if r.Priority > other.Priority {
		return false
	}
	return !other.WithinGuarantee || r.WithinGuarantee && r.Team == other.Team
}

// rememberFailure remembers a search for room for n tasks that failed, unless the reason may
// concern this request alone.
func (p *planner) rememberFailure(kind capacityKind, r *Request, zone, n int) {
	if len(r.Avoid) > 0 || r.MaxPerZone > 0 || len(p.failedSearches[kind]) >= maxFailedSearches {
		return
	}
	p.failedSearches[kind] = append(p.failedSearches[kind], failedSearch{r, zone, n})
}
