package admission

import (
	"sync"
	"time"
)

// minReplyTimes is the smallest limit of a ReplyTimes.
const minReplyTimes = 16

// ReplyTimes records when workers were last answered, for a bounded number of workers.
// When it is full, it evicts all entries that are at least as old as the mean. It is safe
// for concurrent use.
type ReplyTimes struct {
	limit int

	mu   sync.Mutex // guards last
	last map[string]time.Time
}

// NewReplyTimes returns a ReplyTimes for at most limit workers. It raises a limit below
// minReplyTimes to minReplyTimes.
func NewReplyTimes(limit int) *ReplyTimes {
	return &ReplyTimes{last: map[string]time.Time{}, limit: max(minReplyTimes, limit)}
}

// Record records that a worker was answered now.
func (r *ReplyTimes) Record(worker string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.last) >= r.limit {
		r.evict(now)
	}
	r.last[worker] = now
}

// evict removes all entries that are at least as old as the mean age. It removes many at
// once, so that it need not run for every new entry. The caller holds mu.
func (r *ReplyTimes) evict(now time.Time) {
	var sum time.Duration
	for _, t := range r.last {
		sum += now.Sub(t)
	}
	mean := sum / time.Duration(len(r.last))
	for worker, t := range r.last {
		if now.Sub(t) >= mean {
			delete(r.last, worker)
		}
	}
}

// Since returns how long ago a worker was answered, and whether that is known.
func (r *ReplyTimes) Since(worker string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.last[worker]
	return now.Sub(t), ok
}

// CountWithin returns the number of recorded workers that were last answered at most d
// before now.
func (r *ReplyTimes) CountWithin(now time.Time, d time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.last {
		if now.Sub(t) <= d {
			n++
		}
	}
	return n
}
