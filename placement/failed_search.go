package placement

import "slices"

// This file remembers searches that found no room, so that none like them is made.

// maxFailedSearches bounds what is remembered of a kind, and so the time that looking
// through it takes.
const maxFailedSearches = 64

// failedSearch is a search that found no room. As room only shrinks while a plan is
// made, one for as much or more fails too: among hundreds of waiting jobs most are
// alike.
type failedSearch struct {
	request *Request
	zone    int // -1: any
	tasks   int
}

// knownToFail says whether a search for room for n tasks is known to fail.
func (p *planner) knownToFail(kind roomKind, r *Request, zone, n int) bool {
	for i := range p.failedSearches[kind] {
		f := &p.failedSearches[kind][i]
		if f.tasks > n || f.zone >= 0 && f.zone != zone {
			continue
		}
		if kind == byPreempting && !f.request.mayPreemptAllThat(r) {
			continue
		}
		if f.request.findsAllThat(r) {
			return true
		}
	}
	return false
}

// findsAllThat says whether a search for one task of the request finds each room that
// a search for one of the other finds.
func (r *Request) findsAllThat(other *Request) bool {
	if other.Spot && !r.Spot || !r.Need.Fits(other.Need) {
		return false
	}
	return slices.Equal(r.Types, other.Types) && slices.Equal(r.PoolAccess, other.PoolAccess)
}

// mayPreemptAllThat says whether each task may be preempted for the request that may be
// for the other.
func (r *Request) mayPreemptAllThat(other *Request) bool {
	if r.Priority > other.Priority {
		return false
	}
	return !other.WithinGuarantee || r.WithinGuarantee && r.Team == other.Team
}

// rememberFailure remembers a search for room for n tasks that failed, unless that was
// for reasons of this request alone.
func (p *planner) rememberFailure(kind roomKind, r *Request, zone, n int) {
	if len(r.Avoid) > 0 || r.MaxPerZone > 0 || len(p.failedSearches[kind]) >= maxFailedSearches {
		return
	}
	p.failedSearches[kind] = append(p.failedSearches[kind], failedSearch{r, zone, n})
}
