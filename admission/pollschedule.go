package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// For tier i, the time until a job's turn is multiplied by 1 + i*tierDelayStep, but by at
	// most tierDelayMax.
	tierDelayStep, tierDelayMax = 0.5, 2
	// pollIntervalS is the interval at which users poll, in seconds.
	pollIntervalS = 5
	// retrySpreadS is the width of the range over which retries are spread, in seconds.
	retrySpreadS = 4
)

// PollSchedule ranks users' polls for jobs while there are more polls than a node can
// answer, so that each job is preferred once per Period. If polls were refused at random,
// some job would be refused many times in a row. PollSchedule has no state and is safe for
// concurrent use if Tier is.
//
// The hash of a job's id determines one instant in every Period, the job's turn. The
// sooner the next turn, the more urgent the poll. If polls arrive at x times the rate that
// can be answered, those whose turn is less than Period/x ahead are answered. Each job is
// in that window for Period/x out of every Period. A user who polls clearly more often
// than every Period/x is therefore answered at least once per Period. Nodes need no
// coordination, since all compute the turns from the time of day. Their clocks must
// roughly agree.
type PollSchedule struct {
	Period time.Duration
	// Tier returns the priority tier of a job, 0 for the first. Jobs of later tiers have
	// turns as often as those of the first, but a shorter window before each turn. No tier
	// is starved under overload. If Tier is nil, all jobs are of one tier.
	Tier func(id string) int
}

// UntilNextTurn returns the time until the job's next turn, from 0 to less than Period.
func (s PollSchedule) UntilNextTurn(id string, now time.Time) time.Duration {
	period := max(s.Period, time.Millisecond)
	turn := time.Duration(xxhash.Sum64String(id) % uint64(period))
	return ((turn-time.Duration(now.UnixNano())%period)%period + period) % period
}

// Priority returns the priority of a poll for PriorityLimiter.Acquire. A smaller value is
// more urgent.
func (s PollSchedule) Priority(id string, now time.Time) float64 {
	priority := s.UntilNextTurn(id, now).Seconds()
	if s.Tier != nil {
		priority *= min(1+tierDelayStep*float64(s.Tier(id)), tierDelayMax)
	}
	return priority
}

// RetryAfterS returns the number of seconds, at least 1, after which a refused poll should
// be retried. If the job's turn is less than a poll interval away, the retry is at the
// turn. Other retries are spread, because polls refused at the same time would otherwise
// return at the same time.
func (s PollSchedule) RetryAfterS(id string, now time.Time) int {
	if left := int(s.UntilNextTurn(id, now) / time.Second); left < pollIntervalS {
		return max(1, left)
	}
	spread := (xxhash.Sum64String(id) + uint64(now.Unix())) % retrySpreadS
	return pollIntervalS - retrySpreadS/2 + int(spread)
}
