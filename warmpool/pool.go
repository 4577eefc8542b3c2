// Package pools decides on warm pools: machines that hold a model's weights ahead
// of a burst, how many, which, and who pays. It is pure: the time is passed in,
// and the same input gives the same decision.
package warmpool

import (
	"fmt"
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

// Check names each bad field with its place, and what contradicts what. Without
// zones or teams to compare with, names are not looked up.
func Check(ps []Pool, zones, teams []string) []error {
	var errs []error
	if len(ps) > maxPools {
		errs = append(errs, fmt.Errorf("pools: %d of them, the most is %d", len(ps), maxPools))
	}
	names, models := map[string]int{}, map[string]int{}
	for i := range ps {
		p := &ps[i]
		bad := func(field, format string, args ...any) {
			errs = append(errs, fmt.Errorf("pools[%d].%s: %s", i, field, fmt.Sprintf(format, args...)))
		}
		if !plainName(p.Name) {
			bad("name", "%q is not 1 to %d letters, digits, '-' or '_'", p.Name, maxNameLength)
		} else if k, ok := names[p.Name]; ok {
			bad("name", "%q is the name of pools[%d] too", p.Name, k)
		} else {
			names[p.Name] = i
		}
		if p.Model == "" || len(p.Model) > maxImageLength {
			bad("model", "is not an image of 1 to %d characters", maxImageLength)
		} else if k, ok := models[repository(p.Model)]; ok {
			// Which of them a replica counts for could not be said.
			bad("model", "%q is the model of pools[%d] too", p.Model, k)
		} else {
			models[repository(p.Model)] = i
		}
		if !positive(p.WeightsGB) {
			bad("gb", "must be above 0")
		}
		if len(p.Types) == 0 {
			bad("types", "no machine type is named")
		}
		if len(p.Zones) == 0 {
			bad("zones", "no zone is named")
		}
		for k, z := range p.Zones {
			if len(zones) > 0 && !slices.Contains(zones, z) {
				bad(fmt.Sprintf("zones[%d]", k), "there is no zone %q", z)
			}
			if slices.Contains(p.Zones[:k], z) {
				bad(fmt.Sprintf("zones[%d]", k), "%q is named twice", z)
			}
		}
		switch {
		case p.MinMachines < 0:
			bad("least", "must not be below 0")
		case p.MinMachines > p.MaxMachines:
			bad("least", "%d is above most, %d", p.MinMachines, p.MaxMachines)
		}
		if p.MaxMachines < 1 || p.MaxMachines > maxPoolSize {
			bad("most", "must be from 1 to %d", maxPoolSize)
		}
		if p.Burst.Replicas < 1 {
			bad("burst.replicas", "must be above 0")
		}
		if !positive(p.Burst.WithinS) || p.Burst.WithinS > 3600 {
			bad("burst.within_s", "must be above 0 and at most 3600")
		}
		if !(p.WarmShare >= 0 && p.WarmShare < 1) {
			bad("warm", "must be a share below 1")
		}
		if !positive(p.MaxHourlyCost) {
			bad("cost_an_hour", "must be above 0")
		}
		if p.ConcurrentFetches < 0 || p.ConcurrentFetches > maxPoolSize {
			bad("fetch_at_once", "must be from 0 to %d", maxPoolSize)
		}
		team := func(field, t string) {
			if t == "" {
				bad(field, "no team is named")
			} else if len(teams) > 0 && !slices.Contains(teams, t) {
				bad(field, "there is no team %q", t)
			}
		}
		team("payer", p.Payer)
		for k, t := range p.Borrowers {
			field := fmt.Sprintf("borrowers[%d]", k)
			team(field, t)
			if t != "" && t == p.Payer {
				bad(field, "%q pays, and does not borrow", t)
			}
			if slices.Contains(p.Borrowers[:k], t) {
				bad(field, "%q is named twice", t)
			}
		}
	}
	return errs
}

func positive(v float64) bool { return v > 0 && !math.IsInf(v, 1) }

func plainName(s string) bool {
	for _, c := range s {
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return false
		}
	}
	return len(s) > 0 && len(s) <= maxNameLength
}

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
