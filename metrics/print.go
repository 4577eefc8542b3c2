// The overview as a table.

package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
)

// maxPastWindows is the number of past batch windows of a region that an overview shows.
const maxPastWindows = 2

// Print writes the overview to out as a table, followed by the batch windows if there are any.
func (o *Overview) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	p := tablePrinter{w}
	p.printNode(o)
	if o.Cluster != nil {
		p.printCluster(o.Cluster)
	} else {
		p.row("fleet", "not known: no leader has answered")
	}
	p.printPlans(o)
	p.printTraffic(o)
	p.printRecentErrors(o.RecentErrors)
	if err := w.Flush(); err != nil || o.Cluster == nil || len(o.Cluster.BatchWindows) == 0 {
		return err
	}
	fmt.Fprintln(out, "nights, as the leader knows them now:")
	return calendar.Print(out, o.Cluster.BatchWindows, maxPastWindows)
}

// tablePrinter writes the rows of a table. Each row has a name and a text.
type tablePrinter struct{ out io.Writer }

func (p tablePrinter) row(name, format string, args ...any) {
	fmt.Fprintf(p.out, "%s\t%s\n", name, fmt.Sprintf(format, args...))
}

func (p tablePrinter) printNode(o *Overview) {
	leader := o.Leader
	if leader == "" {
		leader = "none is known"
	}
	p.row("node", "%s (%s), %s", o.Node, o.Zone, o.At.Format(time.RFC3339))
	p.row("ready", "%v, state service served %v", o.Ready, o.StoreReachable)
	p.row("leader", "%s", leader)
}

func (p tablePrinter) printCluster(c *Cluster) {
	p.row("leads", "%s since %s, token %d, sure of its lease %v", c.Node, c.LeaderSince.Format(time.RFC3339), c.FencingToken, c.LeaseValid)
	p.row("machines", "%s", formatCounts(c.Machines))
	p.row("tasks", "%s", formatCounts(c.Tasks))
	p.row("jobs", "%d not over, %d past their deadline", c.Jobs, c.LateJobs)
	var waits []string
	for _, k := range slices.Sorted(maps.Keys(c.LongestWaitSeconds)) {
		waits = append(waits, fmt.Sprintf("%s %.1f s", k, c.LongestWaitSeconds[k]))
	}
	p.row("longest waits", "%s", strings.Join(waits, ", "))
	if c.StarvedJobCount > 0 {
		p.row("can't begin in time", "%d jobs", c.StarvedJobCount)
	}
	for _, j := range c.StarvedJobs {
		p.row("", "%s (%s of %s, %d tasks) waits for %.0f s: %s", j.ID, j.Class, j.Team, j.Tasks, j.WaitedSeconds, j.BlockedBy)
	}
	p.row("least lease left", "%.1f s", c.LeastLeaseLeftSeconds)
	if len(c.PriorityInversions) > 0 {
		p.row("departures from the order", "%s", formatCounts(c.PriorityInversions))
	}
	for i := range c.WarmPools {
		p.row("pool "+c.WarmPools[i].Name, "%s", c.WarmPools[i].text())
	}
}

func (p tablePrinter) printPlans(o *Overview) {
	if r := o.Routing; r != nil {
		p.row("workers report", "%d, %d of them to the leader, the rest by way of %s", r.Workers, r.Direct, strings.Join(r.Relays, ", "))
	}
	if v := o.Plan; v != nil {
		p.row("plan", "version %d", v.Version)
		if v.Unreadable {
			p.row("", "no version can be read: nothing new is placed until one is applied")
		}
	}
}

func (p tablePrinter) printTraffic(o *Overview) {
	c := o.Connections
	p.row("connections", "users %d, workers %d, other %d, at most %d; %d closed for want of room", c.Users, c.Workers, c.Other, c.Limit, c.ClosedOverLimit)
	h := o.Heartbeats
	p.row("reports", "%d passed on, %d in vain, %d workers moved, %d wait, %d refused; %d workers answered here",
		h.Forwarded, h.Failed, h.Redirected, h.Waiting, h.Refused, h.WorkersServed)
}

func (p tablePrinter) printRecentErrors(recent []RecentError) {
	for i, e := range recent {
		name := ""
		if i == 0 {
			name = "last troubles"
		}
		p.row(name, "%s %s", e.At.Format("15:04:05"), e.Text)
	}
}

// text describes the warm pool in one line.
func (p *WarmPool) text() string {
	var costs []string
	for _, team := range slices.Sorted(maps.Keys(p.Cost)) {
		costs = append(costs, fmt.Sprintf("%s %.2f", team, p.Cost[team]))
	}
	s := fmt.Sprintf("%d of %d machines held, %d with weights, %d fetch; %d hits, %d misses, %d ceded; cost %s",
		p.Held, p.Target, p.Warm, p.Fetching, p.Hits, p.Misses, p.Preemptions, strings.Join(costs, ", "))
	if p.CostLimited {
		s += "; at its limit"
	}
	if p.FetchRefused != "" {
		s += "; " + p.FetchRefused
	}
	return s
}

// formatCounts lists counts, sorted by name.
func formatCounts[N int | uint64](counts map[string]N) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}
