// Package plans writes parts of the operators' plans for tests. It imports no other
// package of the module, so that tests of any can use it.
package plans

import "fmt"

// Region is a region of a calendar, as a table of a plan: open has its opening times by
// weekdays, and work is one entry of the list of its work.
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

// Pool is a warm pool of a model's replicas, on machines of one type in both of the usual
// zones.
type Pool struct {
	Name, Model string
	WeightsGB   float64
	MachineType string
	Min, Max    int // machines
	Replicas    int // that may start at once
	Payer       string
	More        string // other lines of the pool's table
}

// TOML is the pool's table in a plan.
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
