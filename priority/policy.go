// Package priority decides which work is served first if the operators' plan divides work into
// tiers by team and class. A Policy assigns jobs to tiers, and promotes work of lower tiers
// that has waited too long or has less than its share (Policy.Promote). FindInversions
// compares what a scheduling pass started with what still waits, and returns every priority
// inversion with its reason. InversionLog counts them.
//
// The leader's model (package cluster) calls the package once per pass and keeps the log. The
// package is pure: the same input gives the same decision, and the time is part of the
// input. Apart from the log, a new leader needs nothing from earlier leaders.
package priority

import (
	"math"
	"slices"
)

// Policy is the validated list of tiers in force. A nil *Policy means that there are no tiers:
// all work is of one tier.
type Policy struct {
	tiers []Tier
}

// New returns the Policy of settings that passed Settings.Check, or nil if they define no tiers.
// It appends a catch-all tier if the last tier is not one.
func New(s *Settings) *Policy {
	if s.Empty() {
		return nil
	}
	p := &Policy{tiers: slices.Clone(s.Tiers)}
	if last := &p.tiers[len(p.tiers)-1]; !last.isCatchAll() {
		p.tiers = append(p.tiers, Tier{Name: catchAllName, LongestWaitS: catchAllWaitSeconds})
	}
	return p
}

// NumTiers returns the number of tiers including the catch-all tier, or 1 for a nil Policy.
func (p *Policy) NumTiers() int {
	if p == nil {
		return 1
	}
	return len(p.tiers)
}

// TierName returns the name of a tier, or "" if there is no such tier.
func (p *Policy) TierName(tier int) string {
	if p == nil || tier < 0 || tier >= len(p.tiers) {
		return ""
	}
	return p.tiers[tier].Name
}

// TierOf returns the tier of a team's work of a class: the first tier that matches both. Tier 0 is
// served first. It returns 0 for a nil Policy.
func (p *Policy) TierOf(team, class string) int {
	if p == nil {
		return 0
	}
	for i := range p.tiers {
		if p.tiers[i].matches(team, class) {
			return i
		}
	}
	return len(p.tiers) - 1
}

// PendingJob is a job that waits for room.
type PendingJob struct {
	Tier          int
	Tasks         int     // number of tasks that may start now
	Gang          bool    // either all tasks start or none
	TaskShare     float64 // share of the fleet that one task takes, of the resource of which it takes most
	WaitedSeconds float64 // since the job was accepted
	Placed        int     // number of tasks that are assigned to machines
	Started       bool    // at least one of its tasks has run
}

// PromotionCause is the reason why tasks of a job are promoted, that is, served earlier than their
// position in the queue.
type PromotionCause uint8

// Causes of promotions.
const (
	NotPromoted     PromotionCause = iota // the tier decides when it is served
	PromotedByShare                       // ahead of higher tiers: its tier has less than its share of the fleet
	PromotedByWait                        // ahead of higher tiers: none of its tasks is placed, and it has waited its tier's maximum wait
	PromotedInTier                        // as PromotedByWait, but only ahead of its own tier, because promotions by wait have enough of the fleet
)

// Promotion is the number of a job's tasks that are promoted, and the cause.
type Promotion struct {
	Tasks int
	Cause PromotionCause
}

// Promote returns the promotion of each waiting job. The jobs are in the order of the queue, in
// which the jobs of a tier receive its promotions. booked is the share of the fleet that each tier
// uses, from 0 to 1. For a nil Policy nothing is promoted.
//
// A job that has waited too long is promoted with its first task, or with all tasks if it is a
// gang. A tier below its share is promoted with as many tasks as it lacks. Under lasting overload
// all jobs eventually wait too long, and promotions by wait would invert the order of the tiers.
// They are therefore limited: tier 1 is promoted by wait only while tier 1 and the later ones
// together use less than half of the fleet, tier 2 only while it and the later ones use less than
// a quarter, and so on.
func (p *Policy) Promote(waiting []PendingJob, booked []float64) []Promotion {
	promotions := make([]Promotion, len(waiting))
	if p == nil {
		return promotions
	}
	tierShares := make([]float64, len(p.tiers))
	copy(tierShares, booked)
	p.promoteByWait(waiting, tierShares, promotions)
	p.promoteByShare(waiting, tierShares, promotions)
	return promotions
}

// promoteByWait promotes the first task, or the whole gang, of each job that has waited its tier's
// maximum wait, and adds the promoted tasks to tierShares. Jobs that have never started come
// before jobs that have started but have no task placed now.
func (p *Policy) promoteByWait(waiting []PendingJob, tierShares []float64, promotions []Promotion) {
	for _, started := range []bool{false, true} {
		for i := range waiting {
			job := &waiting[i]
			if job.Started != started || !p.waitExceeded(job) {
				continue
			}
			promotions[i] = Promotion{1, PromotedByWait}
			if job.Gang {
				promotions[i].Tasks = job.Tasks
			}
			if sumFrom(tierShares, job.Tier) >= maxWaitShare(job.Tier) {
				promotions[i].Cause = PromotedInTier
				continue
			}
			tierShares[job.Tier] += float64(promotions[i].Tasks) * job.TaskShare
		}
	}
}

// promoteByShare promotes as many tasks as each tier lacks to reach its share, and adds them to
// tierShares.
func (p *Policy) promoteByShare(waiting []PendingJob, tierShares []float64, promotions []Promotion) {
	for i := range waiting {
		job := &waiting[i]
		if job.Tier <= 0 || job.Tier >= len(p.tiers) || job.TaskShare <= 0 {
			continue
		}
		share, tasks := p.tiers[job.Tier].Share, job.Tasks
		if promotions[i].Cause == PromotedByWait {
			tasks -= promotions[i].Tasks
		}
		lacking := share - tierShares[job.Tier]
		if lacking <= shareTolerance || tasks <= 0 || job.Gang && float64(job.Tasks)*job.TaskShare > lacking+share {
			continue // a gang that would far exceed the share is promoted only by its wait
		}
		if !job.Gang {
			tasks = min(tasks, int(lacking/job.TaskShare)+1)
		}
		tierShares[job.Tier] += float64(tasks) * job.TaskShare
		if promotions[i].Cause == PromotedByWait {
			promotions[i].Tasks += tasks
			continue
		}
		promotions[i] = Promotion{tasks, PromotedByShare}
	}
}

// MaxWaitSeconds returns after how many seconds a job of the tier is promoted ahead of higher
// tiers; 0 means never.
func (p *Policy) MaxWaitSeconds(tier int) float64 { return p.tiers[tier].LongestWaitS }

// waitExceeded reports whether a job has waited its tier's maximum wait and has no task placed.
func (p *Policy) waitExceeded(job *PendingJob) bool {
	if job.Tier <= 0 || job.Tier >= len(p.tiers) || job.Tasks <= 0 || job.Placed > 0 {
		return false
	}
	maxWaitSeconds := p.tiers[job.Tier].LongestWaitS
	return maxWaitSeconds > 0 && job.WaitedSeconds >= maxWaitSeconds
}

// maxWaitShare returns the share of the fleet up to which a tier and all later ones together are
// promoted by wait.
func maxWaitShare(tier int) float64 { return math.Pow(0.5, float64(tier)) }

// sumFrom returns the sum of the shares of a tier and all later ones.
func sumFrom(tierShares []float64, tier int) (sum float64) {
	for _, share := range tierShares[tier:] {
		sum += share
	}
	return sum
}
