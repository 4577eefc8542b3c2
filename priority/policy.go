// Package priority decides who is served first where the operators' plan divides the
// work into tiers by team and class. A Policy assigns jobs to tiers and promotes work
// of lower tiers that has waited too long or has less than its share (Policy.Promote);
// FindInversions compares what a scheduling pass started with what still waits, and
// gives the reason of every priority inversion; InversionLog counts them.
//
// The leader's model (package cluster) calls it once a pass and keeps the log. The
// package is pure: the same input gives the same decision, the time is passed in, and
// nothing has to be remembered from one leader to the next but the log.
package priority

import (
	"math"
	"slices"
)

// Policy is a checked list of tiers in force. The zero value and nil are no policy: all
// work is of one tier.
type Policy struct {
	tiers []Tier
}

// New makes an order of checked settings, nil if they hold none.
func New(s *Settings) *Policy {
	if s.Empty() {
		return nil
	}
	o := &Policy{tiers: slices.Clone(s.Tiers)}
	if last := &o.tiers[len(o.tiers)-1]; !last.isCatchAll() {
		o.tiers = append(o.tiers, Tier{Name: catchAllName, LongestWaitS: catchAllWaitSeconds})
	}
	return o
}

// NumTiers is how many there are, the rest included; 1 without an order.
func (o *Policy) NumTiers() int {
	if o == nil {
		return 1
	}
	return len(o.tiers)
}

// TierName is a tier's name.
func (o *Policy) TierName(tier int) string {
	if o == nil || tier < 0 || tier >= len(o.tiers) {
		return ""
	}
	return o.tiers[tier].Name
}

// TierOf is the tier of a team's work of a class: the first that names it. 0 is
// served first.
func (o *Policy) TierOf(team, class string) int {
	if o == nil {
		return 0
	}
	for i := range o.tiers {
		if o.tiers[i].matches(team, class) {
			return i
		}
	}
	return len(o.tiers) - 1
}

// PendingJob is a job that waits for room.
type PendingJob struct {
	Tier          int
	Tasks         int     // that may start now
	Gang          bool    // a gang: all of them or none
	TaskShare     float64 // of a task, as a part of the fleet: of the resource it takes most of
	WaitedSeconds float64 // seconds since it was accepted
	Placed        int     // tasks that are on machines, or on their way there
	Started       bool    // a task of it has run
}

// PromotionCause is why a job, or some of its tasks, is served before higher tiers.
type PromotionCause uint8

// Causes.
const (
	NotPromoted     PromotionCause = iota // it is not: its tier decides
	PromotedByShare                       // its tier has less than its share of the fleet
	PromotedByWait                        // nothing of it runs, and it has waited its tier's longest wait
	PromotedInTier                        // the same, but it goes before its own tier only: waits have won enough of the fleet
)

// Promotion is how many of a job's tasks are served before higher tiers, or before
// their own (ByTurn), and why.
type Promotion struct {
	Tasks int
	Cause PromotionCause
}

// Promote says what of the waiting work is served before higher tiers, for each
// job in their order; within a tier the first have it first. booked is what each
// tier has of the fleet, from 0 to 1. It rests on what is booked and when jobs
// came, and on nothing that a leader would have to remember.
//
// A job that has waited too long is due to start: an array starts with its first
// task, a gang needs all its places. A tier below its share is due as many tasks
// as it lacks. Where more comes than can ever be done, everything has waited for
// long at last; so that the order is not turned round then, waits bring a tier on
// only while it and those after it have less than half of the fleet, the next less
// than a quarter, and so on.
func (o *Policy) Promote(waiting []PendingJob, booked []float64) []Promotion {
	out := make([]Promotion, len(waiting))
	if o == nil {
		return out
	}
	has := make([]float64, len(o.tiers))
	copy(has, booked)
	o.promoteByWait(waiting, has, out)
	o.promoteByShare(waiting, has, out)
	return out
}

// promoteByWait promotes a beginning of each job that has waited its tier's longest
// wait, and adds it to what the tiers have. What has not begun at all comes before what
// only stands still.
func (o *Policy) promoteByWait(waiting []PendingJob, has []float64, out []Promotion) {
	for _, begun := range []bool{false, true} {
		for i := range waiting {
			w := &waiting[i]
			if w.Started != begun || !o.waitExceeded(w) {
				continue
			}
			out[i] = Promotion{1, PromotedByWait}
			if w.Gang {
				out[i].Tasks = w.Tasks
			}
			if sumFrom(has, w.Tier) >= maxWaitShare(w.Tier) {
				out[i].Cause = PromotedInTier
				continue
			}
			has[w.Tier] += float64(out[i].Tasks) * w.TaskShare
		}
	}
}

// promoteByShare promotes as many tasks as each tier lacks to its share.
func (o *Policy) promoteByShare(waiting []PendingJob, has []float64, out []Promotion) {
	for i := range waiting {
		w := &waiting[i]
		if w.Tier <= 0 || w.Tier >= len(o.tiers) || w.TaskShare <= 0 {
			continue
		}
		share, more := o.tiers[w.Tier].Share, w.Tasks
		if out[i].Cause == PromotedByWait {
			more -= out[i].Tasks
		}
		lacks := share - has[w.Tier]
		if lacks <= 1e-9 || more <= 0 || w.Gang && float64(w.Tasks)*w.TaskShare > lacks+share {
			continue // or a gang that would take far more than the share: its wait brings it on
		}
		if !w.Gang {
			more = min(more, int(lacks/w.TaskShare)+1)
		}
		has[w.Tier] += float64(more) * w.TaskShare
		if out[i].Cause == PromotedByWait {
			out[i].Tasks += more
			continue
		}
		out[i] = Promotion{more, PromotedByShare}
	}
}

// MaxWaitSeconds is after how many seconds a job of the tier goes before higher ones;
// 0: it never does for having waited.
func (o *Policy) MaxWaitSeconds(tier int) float64 { return o.tiers[tier].LongestWaitS }

// waitExceeded says whether a job has waited its tier's longest wait, with nothing of it
// running.
func (o *Policy) waitExceeded(w *PendingJob) bool {
	if w.Tier <= 0 || w.Tier >= len(o.tiers) || w.Tasks <= 0 || w.Placed > 0 {
		return false
	}
	longest := o.tiers[w.Tier].LongestWaitS
	return longest > 0 && w.WaitedSeconds >= longest
}

// maxWaitShare is how much of the fleet waits may win for a tier and those after it.
func maxWaitShare(tier int) float64 { return math.Pow(0.5, float64(tier)) }

// sumFrom is what a tier and those after it have.
func sumFrom(has []float64, tier int) (sum float64) {
	for _, h := range has[tier:] {
		sum += h
	}
	return sum
}
