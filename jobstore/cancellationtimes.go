// The times at which unfinished cancellations were first requested.

package jobstore

import "time"

// maxCancellationTimes bounds how many cancellations are remembered.
const maxCancellationTimes = 4096

// cancellationTimes remembers when each unfinished cancellation was first requested. A requester that was
// rejected and retries is then served before those that made their first request later. Between its
// requests it delays nobody. If there are too many times, the oldest is forgotten. The Store's lock
// guards it.
type cancellationTimes struct {
	times map[string]time.Time
	order []string // ids in order of insertion, including finished ones
}

// firstRequestedAt returns when a cancellation was first requested. If no time is remembered for it, the
// result is now, which is remembered.
func (c *cancellationTimes) firstRequestedAt(id string, now time.Time) time.Time {
	if at, ok := c.times[id]; ok {
		return at
	}
	if len(c.order) >= maxCancellationTimes {
		delete(c.times, c.order[0])
		c.order = c.order[1:]
	}
	c.times[id] = now
	c.order = append(c.order, id)
	return now
}

// cancellationRequestedAt returns when a cancellation was first requested at this controller.
func (s *Store) cancellationRequestedAt(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancellationTimes.firstRequestedAt(id, time.Now())
}

// forgetCancellationTime forgets the time of a finished cancellation.
func (s *Store) forgetCancellationTime(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancellationTimes.times, id)
}
