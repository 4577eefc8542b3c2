package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// The time until an id's turn is multiplied by 1 + tierDelayStep per tier, and by
	// tierDelayMax at most.
	tierDelayStep, tierDelayMax = 0.5, 2
	// pollIntervalS is the interval at which users poll, in seconds.
	pollIntervalS = 5
	// retrySpreadS is the range over which retries are spread, in seconds.
	retrySpreadS = 4
)

// PollSchedule ranks users' polls for jobs while there are more than a node can answer,
// so that each job is preferred once per Period. If polls were refused at random, some
// job would be refused many times in a row.
//
// The hash of a job's id determines one instant in every Period: its turn. The sooner
// the next turn, the more urgent the poll. If polls arrive at x times the rate that can
// be answered, those whose turn is less than Period/x ahead are answered. Each id is in
// that window for Period/x out of every Period, so a user who polls clearly more often
// than every Period/x is answered at least once per Period. Nodes need no coordination,
// since all compute the turns from the time of day; their clocks must roughly agree.
type PollSchedule struct {
	Period time.Duration
	// Tier returns an id's priority tier, 0 for the first. Later tiers have turns as
	// often as the first, but their window is shorter, so that under overload none is
	// shut out. If Tier is nil, all ids are of one tier.
	Tier func(id string) int
}

// UntilNextTurn returns the time until the id's next turn, less than a Period.
func (s PollSchedule) UntilNextTurn(id string, now time.Time) time.Duration {
	period := max(s.Period, time.Millisecond)
	place := time.Duration(xxhash.Sum64String(id) % uint64(period))
	return ((place-time.Duration(now.UnixNano())%period)%period + period) % period
}

// Priority returns the priority of a poll in a PriorityLimiter: the smaller, the more
// urgent.
func (s PollSchedule) Priority(id string, now time.Time) float64 {
	priority := s.UntilNextTurn(id, now).Seconds()
	if s.Tier != nil {
		priority *= min(1+tierDelayStep*float64(s.Tier(id)), tierDelayMax)
	}
	return priority
}

// RetryAfterS returns after how many seconds a refused poll should be retried: at the
// id's turn if that is near. The other retries are spread, since polls that were refused
// at the same time would otherwise return at the same time.
func (s PollSchedule) RetryAfterS(id string, now time.Time) int {
	if left := int(s.UntilNextTurn(id, now) / time.Second); left < pollIntervalS {
		return max(1, left)
	}
	spread := (xxhash.Sum64String(id) + uint64(now.Unix())) % retrySpreadS
	return pollIntervalS - retrySpreadS/2 + int(spread)
}
