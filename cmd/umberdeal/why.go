// The command "job why".

package main

import (
	"context"
	"fmt"
	"maps"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/controller"
)

type whyCmd struct {
	stateFlags

	ID string `arg:"" help:"The job's id."`
}

func (c *whyCmd) Run() error {
	s, store, err := c.open()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	explanation, finalState, err := controller.WhyWaiting(ctx, s, store, c.ID, time.Now())
	switch {
	case err != nil:
		return err
	case finalState != "":
		fmt.Printf("%s is %s\n", c.ID, finalState)
	default:
		printWhy(&explanation)
	}
	return nil
}

// printWhy prints the reasons why a job waits and the jobs ahead of it.
func printWhy(w *cluster.Explanation) {
	fmt.Printf("%s: accepted %.0f s ago, %d of %d tasks done, %d on machines\n", w.ID, w.WaitedSeconds, w.Done, w.Tasks, w.Placed)
	if w.Tier != "" {
		fmt.Printf("tier: %s\n", w.Tier)
	}
	for _, s := range w.PendingReasons {
		fmt.Printf("waits for %s\n", s)
	}
	if len(w.PendingReasons) == 0 {
		fmt.Println("waits for nothing")
	}
	for _, why := range slices.Sorted(maps.Keys(w.AheadByReason)) {
		fmt.Printf("%d jobs ahead of it: %s\n", w.AheadByReason[why], why)
	}
	for _, a := range w.Nearest {
		fmt.Printf("  %s %s (%s)\n", a.ID, a.Tier, a.PrecedenceReason)
	}
	for _, p := range w.Inversions {
		fmt.Printf("passed over by %s (%s) at %s: %s\n", p.Job, p.Tier, time.UnixMilli(p.AtMs).UTC().Format(time.RFC3339), p.Reason)
	}
}
