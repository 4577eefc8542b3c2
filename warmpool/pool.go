// Package warmpool makes the decisions for warm pools. A warm pool is a set of machines that hold
// a model's weights before a burst of replicas arrives. The package
//   - computes a pool's target size from the demand of past weeks (WeeklyDemand, Pool.TargetSize),
//   - selects the machines that join, leave or are rented (Pool.PlanScaling),
//   - selects the machines that fetch weights next (Pool.NextFetches),
//   - decides which other work may use the machines (Pool.Access),
//   - divides the cost of the machines among teams (Shard).
//
// The leader's model (package cluster) calls the package and stores its records. Commands read the
// records with ReadStates. The package does no I/O and times are passed in, so the same input
// gives the same decision. Every millisecond of a member is charged to exactly one team (see
// State.Audit). Shard and WeeklyDemand are not safe for concurrent use.
package warmpool

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Pool is the configuration of one pool in the operators' plan.
type Pool struct {
	Name              string   `toml:"name" msgpack:"n"`
	Model             string   `toml:"model" msgpack:"m"`                   // image with the weights; the tag may differ between versions
	WeightsGB         float64  `toml:"gb" msgpack:"g"`                      // size of the image
	Types             []string `toml:"types" msgpack:"t"`                   // machine types
	Zones             []string `toml:"zones" msgpack:"z"`                   // zones over which the machines are spread
	Spot              bool     `toml:"spot" msgpack:"s,omitempty"`          // spot machines are allowed
	MinMachines       int      `toml:"least" msgpack:"l"`                   // minimum number of machines at any hour
	MaxMachines       int      `toml:"most" msgpack:"x"`                    // maximum number of machines
	Burst             Burst    `toml:"burst" msgpack:"b"`                   // burst that the pool is kept for
	WarmShare         float64  `toml:"warm" msgpack:"w,omitempty"`          // share of the hourly peaks that the pool must cover; 0: defaultWarmShare
	MaxHourlyCost     float64  `toml:"cost_an_hour" msgpack:"c"`            // limit on the total price of the machines
	Payer             string   `toml:"payer" msgpack:"p"`                   // team that pays for machine time booked by no other team
	Borrowers         []string `toml:"borrowers" msgpack:"o,omitempty"`     // other teams whose work may use the machines and pays for them
	ConcurrentFetches int      `toml:"fetch_at_once" msgpack:"f,omitempty"` // maximum number of concurrent fetches; 0: one eighth of MaxMachines, at least 2
}

// Burst is a number of replicas that arrive within WithinS seconds.
type Burst struct {
	Replicas int     `toml:"replicas" msgpack:"r"`
	WithinS  float64 `toml:"within_s" msgpack:"w"`
}

const (
	maxPools         = 32
	maxPoolSize      = 2000
	maxNameLength    = 40
	maxImageLength   = 200
	defaultWarmShare = 0.9

	// Without Pool.ConcurrentFetches, 1/defaultFetchDivisor of the machines fetch at the same time.
	defaultFetchDivisor  = 8
	minConcurrentFetches = 2 // of a pool without Pool.ConcurrentFetches
)

// repository returns an image's name without its tag.
func repository(image string) string {
	if i := strings.LastIndexByte(image, ':'); i > strings.LastIndexByte(image, '/') {
		return image[:i]
	}
	return image
}

// Serves reports whether an image is a version of the pool's model.
func (p *Pool) Serves(image string) bool { return repository(image) == repository(p.Model) }

// AllowsTeam reports whether a team may use the pool's machines.
func (p *Pool) AllowsTeam(team string) bool {
	return team == p.Payer || slices.Contains(p.Borrowers, team)
}

// MaxConcurrentFetches returns the maximum number of machines that fetch weights at the same time.
// The limit protects the image source, which all machines of the fleet share.
func (p *Pool) MaxConcurrentFetches() int {
	if p.ConcurrentFetches > 0 {
		return p.ConcurrentFetches
	}
	return max(minConcurrentFetches, (p.MaxMachines+defaultFetchDivisor-1)/defaultFetchDivisor)
}

// LeadTime returns how long before the demand a pool must start to grow to the given number of
// machines. It allows for a slow boot (twice the usual time), for the rounds of concurrent fetches,
// and one more minute. boot is the usual boot time. fetchGBPS is the fetch rate of one machine in GB
// per second. If it is 0, fetches count as immediate. The result is at most maxLeadTime.
func (p *Pool) LeadTime(machines int, boot time.Duration, fetchGBPS float64) time.Duration {
	rounds := (machines + p.MaxConcurrentFetches() - 1) / p.MaxConcurrentFetches()
	fetchSeconds := 0.0
	if fetchGBPS > 0 {
		fetchSeconds = p.WeightsGB / fetchGBPS * fetchMargin
	}
	lead := 2*boot + time.Duration(float64(rounds)*fetchSeconds*float64(time.Second)) + time.Minute
	return min(lead, maxLeadTime)
}

const (
	fetchMargin = 1.4 // fetches take up to a third longer than the catalog's rate suggests
	maxLeadTime = 3 * time.Hour
)

// PeakMachines returns the number of machines needed for the highest peak that is expected within
// maxLeadTime, between MinMachines and MaxMachines. replicasPerMachine below 1 counts as 1.
func (p *Pool) PeakMachines(demand *WeeklyDemand, now time.Time, replicasPerMachine int) int {
	replicas := demand.Quantile(now, maxLeadTime, p.warmShare())
	machines := (replicas + max(replicasPerMachine, 1) - 1) / max(replicasPerMachine, 1)
	return min(max(machines, p.MinMachines), p.MaxMachines)
}

func (p *Pool) warmShare() float64 {
	if p.WarmShare == 0 {
		return defaultWarmShare
	}
	return p.WarmShare
}

// TargetSize returns the number of machines to hold at a time. They cover the share WarmShare of
// the past peaks in each hour of the week from now until the lead time is over, so the pool has
// grown when an hour begins. replicasPerMachine below 1 counts as 1. hourlyPrice is the price of
// one machine.
func (p *Pool) TargetSize(demand *WeeklyDemand, now time.Time, lead time.Duration, replicasPerMachine int, hourlyPrice float64) int {
	replicas := demand.Quantile(now, lead, p.warmShare())
	machines := (replicas + max(replicasPerMachine, 1) - 1) / max(replicasPerMachine, 1)
	machines = min(max(machines, p.MinMachines), p.MaxMachines)
	// The cost limit takes precedence over MinMachines. The status shows that it takes effect.
	return min(machines, p.Affordable(hourlyPrice))
}

// Affordable returns how many machines of the given hourly price stay within MaxHourlyCost. For a
// price of 0 or less it returns MaxMachines.
func (p *Pool) Affordable(hourlyPrice float64) int {
	if hourlyPrice <= 0 {
		return p.MaxMachines
	}
	const tolerance = 1e-9 // rounding error of the division
	return int(math.Floor(p.MaxHourlyCost/hourlyPrice + tolerance))
}
