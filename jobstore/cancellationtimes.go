package jobstore

import "time"

// maxCancellationTimes bounds how many cancellations are remembered.
const maxCancellationTimes = 4096

// cancellationTimes remembers since when cancellations that are not over have been asked for, so that a
// requester who is sent away and comes back is served before those who asked later. While away, it delays
// nobody. When there are too many, the oldest is forgotten. A Store's lock guards it.
type cancellationTimes struct {
	times map[string]time.Time
	order []string // ids in order of insertion, including some that are over
}

// firstRequestedAt returns when a cancellation was firstRequestedAt asked for, which is now unless it is remembered.
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

// cancellationRequestedAt returns when a cancellation was first asked for at this controller.
func (s *Store) cancellationRequestedAt(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cancellationTimes.firstRequestedAt(id, time.Now())
}

// forgetCancellationTime forgets a cancellation that was committed.
func (s *Store) forgetCancellationTime(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancellationTimes.times, id)
}
