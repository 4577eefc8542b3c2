package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// tierDelayStep is by how much longer than it is the time until an id's turn counts
	// for each tier, and tierDelayMax is the most.
	tierDelayStep, tierDelayMax = 0.5, 2
	// pollIntervalS is how many seconds lie between two polls of a user.
	pollIntervalS = 5
	// retrySpreadS is over how many seconds retries are spread.
	retrySpreadS = 4
)

// PollSchedule says whose polls come first while there are more than a node can answer.
//
// Each id has a place on a circle that the time goes round once a Period, and the
// sooner its turn comes, the sooner it is served. Where polls are x times what can be
// answered, the x-th part of the circle that lies ahead is, and each id is within it
// for Period/x. So whoever asks clearly more often than that is answered once a period,
// at whichever nodes, without coordination between them: they read the same time of
// day. Left to chance, some job would be refused fifteen times running.
type PollSchedule struct {
	Period time.Duration
	// Tier is an id's priority tier. Later tiers have their turn as often as the first
	// and for a shorter time, so that nobody is left out. Nil: all are of one tier.
	Tier func(id string) int
}

// UntilTurn is how long it is until an id's turn.
func (s PollSchedule) UntilTurn(id string, now time.Time) time.Duration {
	period := max(s.Period, time.Millisecond)
	place := time.Duration(xxhash.Sum64String(id) % uint64(period))
	return ((place-time.Duration(now.UnixNano())%period)%period + period) % period
}

// Priority orders polls, the smallest first, for a PriorityLimiter.
func (s PollSchedule) Priority(id string, now time.Time) float64 {
	priority := s.UntilTurn(id, now).Seconds()
	if s.Tier != nil {
		priority *= min(1+tierDelayStep*float64(s.Tier(id)), tierDelayMax)
	}
	return priority
}

// RetryAfterS is after how many seconds a poll that was refused is to come again: as
// its turn begins if that is near. The others spread, since those that were refused
// together would come together.
func (s PollSchedule) RetryAfterS(id string, now time.Time) int {
	if left := int(s.UntilTurn(id, now) / time.Second); left < pollIntervalS {
		return max(1, left)
	}
	spread := (xxhash.Sum64String(id) + uint64(now.Unix())) % retrySpreadS
	return pollIntervalS - retrySpreadS/2 + int(spread)
}
