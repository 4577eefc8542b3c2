// The command "plan pools".

package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

type planPoolsCmd struct {
	stateFlags
	Machines bool `help:"Each machine as well."`
}

func (c *planPoolsCmd) Run() error {
	_, store, err := c.open()
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	items, _, err := store.List(ctx, jobstore.PlanStatePrefix)
	if err != nil {
		return err
	}
	records := map[string]wire.Raw{}
	for _, item := range items {
		records[strings.TrimPrefix(item.Key, jobstore.PlanStatePrefix)] = item.Value
	}
	pools, unreadable := warmpool.ReadStates(records)
	for _, name := range unreadable {
		fmt.Fprintf(os.Stderr, "%s can't be read\n", name)
	}
	if len(pools) == 0 {
		return errors.New("no pool is recorded: apply a plan with pools first, and wait half a minute for a leader to record them")
	}
	table := poolTable{pools: pools, withMachines: c.Machines, now: time.Now()}
	return table.print(os.Stdout)
}

// staleAfter is the age from which a pool's record counts as stale. A leader writes the record at least
// every five minutes.
const staleAfter = 7 * time.Minute

// poolTable prints the recorded state of pools as a table.
type poolTable struct {
	pools        []warmpool.State
	withMachines bool
	now          time.Time
}

func (t *poolTable) print(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	for i := range t.pools {
		pool := &t.pools[i]
		printPool(w, pool, t.now)
		printPoolUse(w, pool.Shards)
		printPoolCost(w, pool)
		if t.withMachines {
			printPoolMachines(w, pool)
		}
	}
	return w.Flush()
}

// printPool prints the record of a pool, without its use and costs.
func printPool(w io.Writer, pool *warmpool.State, now time.Time) {
	r := &pool.Record
	recorded := time.UnixMilli(r.AtMs)
	stale := ""
	if now.Sub(recorded) > staleAfter {
		stale = ", STALE: no leader has written it since"
	}
	fmt.Fprintf(w, "pool %s\tas of %s%s\n", pool.Name, recorded.UTC().Format(time.RFC3339), stale)
	fmt.Fprintf(w, "  weights\t%s, %g GB\n", r.Image, r.WeightsGB)
	fmt.Fprintf(w, "  machines\t%d of %d held, %d with weights, %d fetch\n", r.Held, r.Target, r.Warm, r.Fetching)
	if r.CostLimited {
		fmt.Fprintf(w, "  limit\tno more may be paid for\n")
	}
	if r.FetchRefused != "" {
		fmt.Fprintf(w, "  fetches\t%s\n", r.FetchRefused)
	}
	fmt.Fprintf(w, "  this hour\t%d replicas wanted at once so far\n", r.CurrentPeak)
}

// printPoolUse prints the pool's hits, misses and preemptions, summed over all of its shards.
func printPoolUse(w io.Writer, shards []warmpool.Shard) {
	var hits, misses, preemptions int64
	last := ""
	for _, shard := range shards {
		hits, misses, preemptions = hits+shard.Hits, misses+shard.Misses, preemptions+shard.Preemptions
		if shard.LastPreemption != "" {
			last = "; lately: " + shard.LastPreemption
		}
	}
	fmt.Fprintf(w, "  replicas\t%d found their weights, %d did not\n", hits, misses)
	fmt.Fprintf(w, "  ceded\t%d tasks of higher tiers took room%s\n", preemptions, last)
}

// printPoolCost prints the cost for each team and for all machines of the pool.
func printPoolCost(w io.Writer, pool *warmpool.State) {
	teams, total := warmpool.Totals(pool.Shards)
	for _, team := range slices.Sorted(maps.Keys(teams)) {
		role := "borrowed"
		if team == pool.Record.Payer {
			role = "pays"
		}
		fmt.Fprintf(w, "  cost\t%s (%s) %s\n", team, role, costText(teams[team].Micros, teams[team].Ms))
	}
	fmt.Fprintf(w, "  cost\tall machines %s\n", costText(total.Micros, total.Ms))
}

const (
	microsPerPriceUnit = 1e6
	msPerHour          = 3.6e6
)

// costText formats a cost in millionths of the price unit for machine time in milliseconds.
func costText(micros, ms int64) string {
	return fmt.Sprintf("%.2f for %.1f machine hours", float64(micros)/microsPerPriceUnit, float64(ms)/msPerHour)
}

// printPoolMachines prints one row for each machine of the pool.
func printPoolMachines(w io.Writer, pool *warmpool.State) {
	for _, shard := range pool.Shards {
		for _, m := range shard.Members {
			var shares []string
			for _, share := range m.Shares {
				shares = append(shares, fmt.Sprintf("%s %.1f%%", share.Team, float64(share.PerMille)/10))
			}
			fmt.Fprintf(w, "  %s\t%s, %s, since %s %s\n", m.Machine, m.Zone, memberState(m.Leaving, m.WarmVersion == pool.Record.ImageVersion),
				time.UnixMilli(m.SinceMs).UTC().Format(time.RFC3339), strings.Join(shares, ", "))
		}
	}
}

// memberState returns the displayed state of a pool's machine.
func memberState(leaving, warm bool) string {
	switch {
	case leaving:
		return "let go"
	case warm:
		return "weights"
	}
	return "no weights"
}
