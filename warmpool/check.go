// Validation of the pools in the operators' plan.

package warmpool

import (
	"fmt"
	"math"
	"slices"
)

// maxBurstSeconds is the largest value of Burst.WithinS.
const maxBurstSeconds = 3600

// Check returns an error for each invalid field and each contradiction between fields, with the
// path of the field. The result is nil if all pools are valid. zones and teams are the names known
// in the deployment. If one of them is empty, names of its kind are not checked.
func Check(pools []Pool, zones, teams []string) []error {
	c := checker{zones: zones, teams: teams, names: map[string]int{}, models: map[string]int{}}
	if len(pools) > maxPools {
		c.errs = append(c.errs, fmt.Errorf("pools: got %d pools, at most %d are allowed", len(pools), maxPools))
	}
	for i := range pools {
		c.index = i
		c.checkIdentity(&pools[i])
		c.checkPlacement(&pools[i])
		c.checkSize(&pools[i])
		c.checkLimits(&pools[i])
		c.checkTeams(&pools[i])
	}
	return c.errs
}

// checker collects the errors of a list of pools.
type checker struct {
	zones, teams []string       // names in the deployment; empty: unknown
	names        map[string]int // indexes of pools by name
	models       map[string]int // indexes of pools by the repository of their model
	index        int            // index of the pool being checked
	errs         []error
}

func (c *checker) fail(field, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("pools[%d].%s: %s", c.index, field, fmt.Sprintf(format, args...)))
}

func (c *checker) checkIdentity(p *Pool) {
	if !plainName(p.Name) {
		c.fail("name", "%q is not 1 to %d letters, digits, '-' or '_'", p.Name, maxNameLength)
	} else if k, ok := c.names[p.Name]; ok {
		c.fail("name", "%q is the name of pools[%d] too", p.Name, k)
	} else {
		c.names[p.Name] = c.index
	}
	if p.Model == "" || len(p.Model) > maxImageLength {
		c.fail("model", "is not an image of 1 to %d characters", maxImageLength)
	} else if k, ok := c.models[repository(p.Model)]; ok {
		// With two pools of one model, a replica could not be assigned to a pool.
		c.fail("model", "%q is the model of pools[%d] too", p.Model, k)
	} else {
		c.models[repository(p.Model)] = c.index
	}
	if !positive(p.WeightsGB) {
		c.fail("gb", "must be above 0")
	}
}

func (c *checker) checkPlacement(p *Pool) {
	if len(p.Types) == 0 {
		c.fail("types", "no machine type is named")
	}
	if len(p.Zones) == 0 {
		c.fail("zones", "no zone is named")
	}
	for k, z := range p.Zones {
		if len(c.zones) > 0 && !slices.Contains(c.zones, z) {
			c.fail(fmt.Sprintf("zones[%d]", k), "there is no zone %q", z)
		}
		if slices.Contains(p.Zones[:k], z) {
			c.fail(fmt.Sprintf("zones[%d]", k), "%q is named twice", z)
		}
	}
}

func (c *checker) checkSize(p *Pool) {
	switch {
	case p.MinMachines < 0:
		c.fail("least", "must not be below 0")
	case p.MinMachines > p.MaxMachines:
		c.fail("least", "%d is above most, %d", p.MinMachines, p.MaxMachines)
	}
	if p.MaxMachines < 1 || p.MaxMachines > maxPoolSize {
		c.fail("most", "must be from 1 to %d", maxPoolSize)
	}
}

func (c *checker) checkLimits(p *Pool) {
	if p.Burst.Replicas < 1 {
		c.fail("burst.replicas", "must be above 0")
	}
	if !positive(p.Burst.WithinS) || p.Burst.WithinS > maxBurstSeconds {
		c.fail("burst.within_s", "must be above 0 and at most 3600")
	}
	if math.IsNaN(p.WarmShare) || p.WarmShare < 0 || p.WarmShare >= 1 {
		c.fail("warm", "must be a share below 1")
	}
	if !positive(p.MaxHourlyCost) {
		c.fail("cost_an_hour", "must be above 0")
	}
	if p.ConcurrentFetches < 0 || p.ConcurrentFetches > maxPoolSize {
		c.fail("fetch_at_once", "must be from 0 to %d", maxPoolSize)
	}
}

func (c *checker) checkTeams(p *Pool) {
	c.checkTeam("payer", p.Payer)
	for k, t := range p.Borrowers {
		field := fmt.Sprintf("borrowers[%d]", k)
		c.checkTeam(field, t)
		if t != "" && t == p.Payer {
			c.fail(field, "%q pays, and does not borrow", t)
		}
		if slices.Contains(p.Borrowers[:k], t) {
			c.fail(field, "%q is named twice", t)
		}
	}
}

func (c *checker) checkTeam(field, team string) {
	if team == "" {
		c.fail(field, "no team is named")
	} else if len(c.teams) > 0 && !slices.Contains(c.teams, team) {
		c.fail(field, "there is no team %q", team)
	}
}

func positive(v float64) bool { return v > 0 && !math.IsInf(v, 1) }

// plainName reports whether a name has 1 to maxNameLength characters, all of them letters, digits,
// '-' or '_'.
func plainName(s string) bool {
	for _, c := range s {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
		default:
			return false
		}
	}
	return len(s) > 0 && len(s) <= maxNameLength
}
