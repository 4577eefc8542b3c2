// Package plans returns parts of operators' plans (TOML) for tests. It imports no other package
// of this module, so that the tests of every package can import it.
package plans

import "fmt"

// Region returns the TOML table of a region of the plan's calendar. The parameter open holds the
// opening times by weekday and work holds the only entry of the region's work list, both as the
// inside of a TOML inline table. The parameter marginS is in seconds.
func Region(name, open, evening string, marginS int, work string) string {
	return fmt.Sprintf(`
[[calendar.regions]]
name = %q
zone = "UTC"
open = { %s }
evening = %q
margin_s = %d
work = [ { %s } ]
`, name, open, evening, marginS, work)
}

// Pool is a warm pool for the replicas of a model, on machines of one type in the zones "a" and
// "b".
type Pool struct {
	Name, Model string
	WeightsGB   float64
	MachineType string
	Min, Max    int // machines
	Replicas    int // largest burst of replicas that start within 10 seconds
	Payer       string
	More        string // more lines of the pool's table
}

// TOML returns the pool's table of a plan.
func (p Pool) TOML() string {
	return fmt.Sprintf(`
[[pools]]
name = %q
model = %q
gb = %g
types = [%q]
zones = ["a", "b"]
least = %d
most = %d
burst = { replicas = %d, within_s = 10 }
cost_an_hour = 1e6
payer = %q
%s
`, p.Name, p.Model, p.WeightsGB, p.MachineType, p.Min, p.Max, p.Replicas, p.Payer, p.More)
}
