// The command "plan nights".

package main

import (
	"fmt"
	"os"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/wire"
)

type planNightsCmd struct {
	stateFlags
	Past int  `default:"5" placeholder:"N" help:"How many past nights of each region to show."`
	JSON bool `name:"json" help:"Print JSON instead of a table."`
}

// Run shows the committed records of the batch windows, so it needs no running controller. It marks a
// record as stale if a batch window is open and no leader has updated the record recently.
func (c *planNightsCmd) Run() error {
	_, store, err := c.open()
	if err != nil {
		return err
	}
	ctx, stop := commandContext()
	defer stop()
	var p *plan.Plan
	state, err := jobstore.LoadPlan(ctx, store, func(text string) error {
		p, err = plan.Parse(text)
		return err
	})
	if err != nil {
		return err
	}
	if state.Number == 0 || p == nil {
		return jobstore.ErrNoPlan
	}
	cal, err := calendar.New(&p.Calendar)
	if err != nil {
		return err
	}
	now := time.Now()
	var views []calendar.View
	for _, r := range cal.Regions {
		e, err := store.Get(ctx, jobstore.PlanStatePrefix+calendar.RecordName(r.Name))
		if err != nil {
			return err
		}
		var rec calendar.Record
		if e.Version != 0 {
			if err := wire.Unmarshal(e.Value, &rec); err != nil {
				fmt.Fprintf(os.Stderr, "%s can't be read: %v\n", e.Key, err)
				continue
			}
		}
		views = append(views, r.View(rec, now))
	}
	if c.JSON {
		return printJSON(os.Stdout, views)
	}
	if len(views) == 0 {
		fmt.Printf("version %d of the plan has no calendar\n", state.Number)
		return nil
	}
	return calendar.Print(os.Stdout, views, c.Past)
}
