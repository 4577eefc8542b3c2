package admission

import (
	"sync"
	"time"
)

// minReplyTimes is the least limit of ReplyTimes.
const minReplyTimes = 16

// ReplyTimes remembers when workers were last answered. What it remembers is bounded;
// the oldest goes. It is safe for concurrent use.
type ReplyTimes struct {
	limit int

	mu   sync.Mutex // guards last
	last map[string]time.Time
}

// NewReplyTimes makes a ReplyTimes for at most limit workers.
func NewReplyTimes(limit int) *ReplyTimes {
	return &ReplyTimes{last: map[string]time.Time{}, limit: max(minReplyTimes, limit)}
}

// Record takes note that a worker was answered.
func (r *ReplyTimes) Record(worker string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.last) >= r.limit {
		r.evict(now)
	}
	r.last[worker] = now
}

// evict drops what is older than the mean. Called with mu held.
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

// Since returns how long ago a worker was answered; false if that is not known.
func (r *ReplyTimes) Since(worker string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.last[worker]
	return now.Sub(t), ok
}

// CountWithin is how many workers were answered within d.
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
