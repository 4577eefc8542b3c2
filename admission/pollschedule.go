package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PollSchedule says whose polls come first while there are more than a node can answer.
//
// Each id has a place on a circle that the time goes round once a Round, and the
// sooner its turn comes, the sooner it is served. Where polls are x times what
// can be answered, the x-th part of the circle that lies ahead is, and each id
// is within it for Round/x. So whoever asks clearly more often than that is
// answered once a round, at whichever nodes, without a word between them: they read
// the same time of day. By chance, some job would be shed fifteen times running.
type PollSchedule struct {
	Period time.Duration
	// Tier is an id's by the operators' order. Later tiers have their turn as often as
	// the first and for a shorter time, so that nobody is left out. Nil: all are of
	// one tier.
	Tier func(id string) int
}

// UntilTurn is how long it is until an id's turn.
func (t PollSchedule) UntilTurn(id string, now time.Time) time.Duration {
	round := max(t.Period, time.Millisecond)
	place := time.Duration(xxhash.Sum64String(id) % uint64(round))
	return ((place-time.Duration(now.UnixNano())%round)%round + round) % round
}

// Priority orders polls, the smallest first; it is a Gate's.
func (t PollSchedule) Priority(id string, now time.Time) float64 {
	key := t.UntilTurn(id, now).Seconds()
	if t.Tier != nil {
		key *= min(1+tierDelayStep*float64(t.Tier(id)), tierDelayMax)
	}
	return key
}

// RetryAfterS is after how many seconds a poll that was shed is to come again: as its
// turn begins if that is near. The others spread, since those that were shed
// together would come together.
func (t PollSchedule) RetryAfterS(id string, now time.Time) int {
	if left := int(t.UntilTurn(id, now) / time.Second); left < pollIntervalS {
		return max(1, left)
	}
	return pollIntervalS - 2 + int((xxhash.Sum64String(id)+uint64(now.Unix()))%4)
}

// By how much longer than it is an id's turn seems away for each tier, and at most.
const tierDelayStep, tierDelayMax = 0.5, 2

// pollIntervalS is how many seconds lie between two polls of a user's.
const pollIntervalS = 5
