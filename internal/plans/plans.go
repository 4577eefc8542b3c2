// Package plans writes parts of plans for tests. It knows no other package, so
// that tests of any can use it.
package plans

import "fmt"

// Region is a region of a calendar that opens as said by weekdays; work is one
// entry of its list.
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

// Pool is a pool of a model's replicas on machines of one type in both of the
// usual zones; more is what is written besides.
func Pool(name, model string, gb float64, typ string, least, most, replicas int, payer, more string) string {
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
`, name, model, gb, typ, least, most, replicas, payer, more)
}
