// Package warmpool decides about warm pools: machines that hold a model's weights
// before a burst of replicas comes. It sizes a pool from the demand of past weeks
// (WeeklyDemand, Pool.TargetSize), chooses which machines join, leave or are rented
// (Pool.PlanScaling) and fetch weights next (Pool.NextFetches), says which other work
// may use them (Pool.Access), and divides their cost among teams (Shard).
//
// The leader's model (package cluster) calls it and keeps its records; commands read
// these with ReadStates. The package is pure: it does no I/O, the time is passed in,
// and the same input gives the same decision. Every millisecond of a member is charged
// to exactly one team (see State.Audit).
package warmpool

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Pool is what the operators' plan says of one pool.
type Pool struct {
	Name              string   `toml:"name" msgpack:"n"`
	Model             string   `toml:"model" msgpack:"m"`                   // image of the weights; a tag after ':' may change
	WeightsGB         float64  `toml:"gb" msgpack:"g"`                      // size of that image
	Types             []string `toml:"types" msgpack:"t"`                   // machine types
	Zones             []string `toml:"zones" msgpack:"z"`                   // over which the machines are spread
	Spot              bool     `toml:"spot" msgpack:"s,omitempty"`          // spot machines will do
	MinMachines       int      `toml:"least" msgpack:"l"`                   // machines, at any hour
	MaxMachines       int      `toml:"most" msgpack:"x"`                    // machines
	Burst             Burst    `toml:"burst" msgpack:"b"`                   // what the pool is for
	WarmShare         float64  `toml:"warm" msgpack:"w,omitempty"`          // share of the hours' peaks that finds weights; 0: 0.9
	MaxHourlyCost     float64  `toml:"cost_an_hour" msgpack:"c"`            // the most that the machines may cost together
	Payer             string   `toml:"payer" msgpack:"p"`                   // team that pays while nobody books
	Borrowers         []string `toml:"borrowers" msgpack:"o,omitempty"`     // teams whose work may use the machines, and pays for it
	ConcurrentFetches int      `toml:"fetch_at_once" msgpack:"f,omitempty"` // machines that fetch at the same time; 0: an eighth of most
}

// Burst is so many replicas that come within seconds of each other.
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
)

// repository is an image's name without its tag.
func repository(image string) string {
	if i := strings.LastIndexByte(image, ':'); i > strings.LastIndexByte(image, '/') {
		return image[:i]
	}
	return image
}

// Serves says whether an image is the pool's model, in whatever version.
func (p *Pool) Serves(image string) bool { return repository(image) == repository(p.Model) }

// AllowsTeam says whether a team may use the pool's machines.
func (p *Pool) AllowsTeam(team string) bool {
	return team == p.Payer || slices.Contains(p.Borrowers, team)
}

// MaxConcurrentFetches is how many machines fetch at the same time at most: each of them takes
// from what all images of the fleet come from.
func (p *Pool) MaxConcurrentFetches() int {
	if p.ConcurrentFetches > 0 {
		return p.ConcurrentFetches
	}
	return max(2, (p.MaxMachines+7)/8)
}

// LeadTime is how long before it is needed a pool of n machines begins to grow: a boot
// as slow as they come, and the fetches in turn.
func (p *Pool) LeadTime(n int, boot time.Duration, fetchGBPS float64) time.Duration {
	rounds := (n + p.MaxConcurrentFetches() - 1) / p.MaxConcurrentFetches()
	fetch := 0.0
	if fetchGBPS > 0 {
		fetch = p.WeightsGB / fetchGBPS * fetchMargin
	}
	d := 2*boot + time.Duration(float64(rounds)*fetch*float64(time.Second)) + time.Minute
	return min(d, maxLeadTime)
}

const (
	fetchMargin = 1.4 // a fetch takes up to a third longer than the catalogue says
	maxLeadTime = 3 * time.Hour
)

// PeakMachines is how many machines the busiest of the hours that a pool may have to
// grow for is likely to need.
func (p *Pool) PeakMachines(w *WeeklyDemand, now time.Time, perMachine int) int {
	replicas := w.Quantile(now, maxLeadTime, p.warmShare())
	return min(max((replicas+max(perMachine, 1)-1)/max(perMachine, 1), p.MinMachines), p.MaxMachines)
}

func (p *Pool) warmShare() float64 {
	if p.WarmShare == 0 {
		return defaultWarmShare
	}
	return p.WarmShare
}

// TargetSize is how many machines to hold at a time: as many as the share Warm of the
// peaks of this hour of the week has needed, looked up from now until the lead is
// over, so that a pool has grown when the hour begins. perMachine is how many
// replicas a machine takes, price what one costs an hour.
func (p *Pool) TargetSize(w *WeeklyDemand, now time.Time, lead time.Duration, perMachine int, price float64) int {
	replicas := w.Quantile(now, lead, p.warmShare())
	n := (replicas + max(perMachine, 1) - 1) / max(perMachine, 1)
	n = min(max(n, p.MinMachines), p.MaxMachines)
	// The limit is hard, least or not: whoever sets it too low is told by status.
	return min(n, p.Affordable(price))
}

// Affordable is how many machines of that price an hour stay within the limit.
func (p *Pool) Affordable(price float64) int {
	if price <= 0 {
		return p.MaxMachines
	}
	return int(math.Floor(p.MaxHourlyCost/price + 1e-9))
}
