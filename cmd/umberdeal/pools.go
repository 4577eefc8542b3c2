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
	ctx, stop, _, st, err := c.open()
	if err != nil {
		return err
	}
	defer stop()
	items, _, err := st.List(ctx, jobstore.PlanStatePrefix)
	if err != nil {
		return err
	}
	notes := map[string]wire.Raw{}
	for _, it := range items {
		notes[strings.TrimPrefix(it.Key, jobstore.PlanStatePrefix)] = it.Value
	}
	all, bad := warmpool.ReadStates(notes)
	for _, name := range bad {
		fmt.Fprintf(os.Stderr, "%s can't be read\n", name)
	}
	if len(all) == 0 {
		return errors.New("no pool is recorded: a plan with pools is to be applied first, and a leader takes half a minute")
	}
	return printPools(os.Stdout, all, c.Machines, time.Now())
}

// staleAfter is how old a pool's record may be; a leader writes it every five
// minutes at least.
const staleAfter = 7 * time.Minute

// printPools writes pools as a table.
func printPools(to io.Writer, all []warmpool.State, machines bool, now time.Time) error {
	w := tabwriter.NewWriter(to, 0, 4, 2, ' ', 0)
	for i := range all {
		s := &all[i]
		n := &s.Record
		at := time.UnixMilli(n.AtMs)
		stale := ""
		if now.Sub(at) > staleAfter {
			stale = ", STALE: no leader has written it since"
		}
		fmt.Fprintf(w, "pool %s\tas of %s%s\n", s.Name, at.UTC().Format(time.RFC3339), stale)
		fmt.Fprintf(w, "  weights\t%s, %g GB\n", n.Image, n.WeightsGB)
		fmt.Fprintf(w, "  machines\t%d of %d held, %d with weights, %d fetch\n", n.Held, n.Target, n.Warm, n.Fetching)
		if n.CostLimited {
			fmt.Fprintf(w, "  limit\tno more may be paid for\n")
		}
		if n.FetchRefused != "" {
			fmt.Fprintf(w, "  fetches\t%s\n", n.FetchRefused)
		}
		fmt.Fprintf(w, "  this hour\t%d replicas wanted at once so far\n", n.CurrentPeak)
		var hits, misses, ceded int64
		why := ""
		for _, sh := range s.Shards {
			hits, misses, ceded = hits+sh.Hits, misses+sh.Misses, ceded+sh.Preemptions
			if sh.LastPreemption != "" {
				why = "; lately: " + sh.LastPreemption
			}
		}
		fmt.Fprintf(w, "  replicas\t%d found their weights, %d did not\n", hits, misses)
		fmt.Fprintf(w, "  ceded\t%d tasks of higher tiers took room%s\n", ceded, why)
		teams, all := warmpool.Totals(s.Shards)
		for _, t := range slices.Sorted(maps.Keys(teams)) {
			role := "borrowed"
			if t == n.Payer {
				role = "pays"
			}
			fmt.Fprintf(w, "  cost\t%s (%s) %.2f for %.1f machine hours\n", t, role, float64(teams[t].Micros)/1e6, float64(teams[t].Ms)/3.6e6)
		}
		fmt.Fprintf(w, "  cost\tall machines %.2f for %.1f machine hours\n", float64(all.Micros)/1e6, float64(all.Ms)/3.6e6)
		if !machines {
			continue
		}
		for _, sh := range s.Shards {
			for _, m := range sh.Members {
				state := "no weights"
				if m.WarmVersion == n.ImageVersion {
					state = "weights"
				}
				if m.Leaving {
					state = "let go"
				}
				var by []string
				for _, p := range m.Shares {
					by = append(by, fmt.Sprintf("%s %.1f%%", p.Team, float64(p.PerMille)/10))
				}
				fmt.Fprintf(w, "  %s\t%s, %s, since %s %s\n", m.Machine, m.Zone, state, time.UnixMilli(m.SinceMs).UTC().Format(time.RFC3339), strings.Join(by, ", "))
			}
		}
	}
	return w.Flush()
}
