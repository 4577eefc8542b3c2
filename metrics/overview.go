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

// Overview is what an operator asks of a node. Everything in it is of the moment
// At; Fleet is the leader's, and missing where no leader answers: nothing old is
// shown as if it were current.
type Overview struct {
	At             time.Time     `json:"at"`
	Node           string        `json:"node"`
	Zone           string        `json:"zone"`
	Ready          bool          `json:"ready"`
	StoreReachable bool          `json:"state_served"`
	Leader         string        `json:"leader"`
	Connections    Connections   `json:"connections"`
	Heartbeats     Heartbeats    `json:"reports"`
	Routing        *Routing      `json:"plan,omitempty"`
	Plan           *PlanVersion  `json:"orders,omitempty"`
	Cluster        *Cluster      `json:"fleet,omitempty"`
	RecentErrors   []RecentError `json:"troubles,omitempty"`
}

// Connections are those open at a node, and how many were closed for want of
// room since its start.
type Connections struct {
	Users           int    `json:"users"`
	Workers         int    `json:"workers"`
	Other           int    `json:"other"`
	Limit           int    `json:"most"`
	ClosedOverLimit uint64 `json:"closed"`
}

// Reports counts what a node has done with workers' reports since its start.
type Heartbeats struct {
	Forwarded     uint64 `json:"passed"`   // to the leader, and answered
	Failed        uint64 `json:"failed"`   // passed on in vain
	Redirected    uint64 `json:"moved"`    // workers told to report elsewhere for balance
	Waiting       int    `json:"waiting"`  // now
	Refused       uint64 `json:"refused"`  // for want of room
	WorkersServed int    `json:"answered"` // workers answered here within a lease
}

// Plan is where workers report.
type Routing struct {
	Workers int      `json:"workers"`
	Direct  int      `json:"direct"`
	Relays  []string `json:"relays"`
}

// Orders is which version of the operators' plan this node knows.
type PlanVersion struct {
	Version    int  `json:"version"`
	Unreadable bool `json:"lost"` // no version can be read: nothing is placed
}

// Fleet is the leader's view.
type Cluster struct {
	BatchWindows []calendar.View `json:"nights,omitempty"` // of the plan's calendar

	Node                  string             `json:"node"`
	FencingToken          uint64             `json:"token"`
	LeaderSince           time.Time          `json:"since"`
	LeaseValid            bool               `json:"sure"` // of its lease
	Machines              map[string]int     `json:"machines"`
	Tasks                 map[string]int     `json:"tasks"`
	Jobs                  int                `json:"jobs"`
	LateJobs              int                `json:"late"` // past their deadline and not over
	LongestWaitSeconds    map[string]float64 `json:"longest_wait_s"`
	LeastLeaseLeftSeconds float64            `json:"least_lease_left_s"`
	Pools                 []WarmPool         `json:"pools,omitempty"`
	PriorityInversions    map[string]uint64  `json:"departures,omitempty"` // from the operators' order
	// Jobs that can't begin in time: those that wait for longest, and how many.
	StarvedJobs     []StarvedJob `json:"unbegun"`
	StarvedJobCount int          `json:"unbegun_all"`
}

// StarvedJob is a job that can't begin in time.
type StarvedJob struct {
	ID            string  `json:"id"`
	Class         string  `json:"class"`
	Team          string  `json:"team"`
	Tasks         int     `json:"tasks"`
	BlockedBy     string  `json:"in_the_way"`
	WaitedSeconds float64 `json:"waits_s"`
}

// Pool is a warm pool of the operators' plan. Costs are in the catalogue's unit.
type WarmPool struct {
	Name         string             `json:"name"`
	Target       int                `json:"aim"`
	Held         int                `json:"held"`
	Warm         int                `json:"warm"`
	Fetching     int                `json:"filling"`
	Hits         int64              `json:"hits"`
	Misses       int64              `json:"misses"`
	Preemptions  int64              `json:"ceded"`
	CostLimited  bool               `json:"limited,omitempty"`
	FetchRefused string             `json:"refused,omitempty"`
	Cost         map[string]float64 `json:"cost"` // by team
}

func (p *WarmPool) text() string {
	var costs []string
	for _, t := range slices.Sorted(maps.Keys(p.Cost)) {
		costs = append(costs, fmt.Sprintf("%s %.2f", t, p.Cost[t]))
	}
	out := fmt.Sprintf("%d of %d machines held, %d with weights, %d fetch; %d hits, %d misses, %d ceded; cost %s",
		p.Held, p.Target, p.Warm, p.Fetching, p.Hits, p.Misses, p.Preemptions, strings.Join(costs, ", "))
	if p.CostLimited {
		out += "; at its limit"
	}
	if p.FetchRefused != "" {
		out += "; " + p.FetchRefused
	}
	return out
}

// Print writes an overview as a table.
func (o *Overview) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	leader := o.Leader
	if leader == "" {
		leader = "none is known"
	}
	row("node", "%s (%s), %s", o.Node, o.Zone, o.At.Format(time.RFC3339))
	row("ready", "%v, state service served %v", o.Ready, o.StoreReachable)
	row("leader", "%s", leader)
	if f := o.Cluster; f == nil {
		row("fleet", "not known: no leader has answered")
	} else {
		row("leads", "%s since %s, token %d, sure of its lease %v", f.Node, f.LeaderSince.Format(time.RFC3339), f.FencingToken, f.LeaseValid)
		row("machines", "%s", formatCounts(f.Machines))
		row("tasks", "%s", formatCounts(f.Tasks))
		row("jobs", "%d not over, %d past their deadline", f.Jobs, f.LateJobs)
		var waits []string
		for _, k := range slices.Sorted(maps.Keys(f.LongestWaitSeconds)) {
			waits = append(waits, fmt.Sprintf("%s %.1f s", k, f.LongestWaitSeconds[k]))
		}
		row("longest waits", "%s", strings.Join(waits, ", "))
		if f.StarvedJobCount > 0 {
			row("can't begin in time", "%d jobs", f.StarvedJobCount)
		}
		for _, u := range f.StarvedJobs {
			row("", "%s (%s of %s, %d tasks) waits for %.0f s: %s", u.ID, u.Class, u.Team, u.Tasks, u.WaitedSeconds, u.BlockedBy)
		}
		row("least lease left", "%.1f s", f.LeastLeaseLeftSeconds)
		if len(f.PriorityInversions) > 0 {
			row("departures from the order", "%s", formatCounts(f.PriorityInversions))
		}
		for i := range f.Pools {
			row("pool "+f.Pools[i].Name, "%s", f.Pools[i].text())
		}
	}
	if p := o.Routing; p != nil {
		row("workers report", "%d, %d of them to the leader, the rest by way of %s", p.Workers, p.Direct, strings.Join(p.Relays, ", "))
	}
	if p := o.Plan; p != nil {
		row("plan", "version %d", p.Version)
		if p.Unreadable {
			row("", "no version can be read: nothing new is placed until one is applied")
		}
	}
	c := o.Connections
	row("connections", "users %d, workers %d, other %d, at most %d; %d closed for want of room", c.Users, c.Workers, c.Other, c.Limit, c.ClosedOverLimit)
	r := o.Heartbeats
	row("reports", "%d passed on, %d in vain, %d workers moved, %d wait, %d refused; %d workers answered here", r.Forwarded, r.Failed, r.Redirected, r.Waiting, r.Refused, r.WorkersServed)
	for i, t := range o.RecentErrors {
		name := ""
		if i == 0 {
			name = "last troubles"
		}
		row(name, "%s %s", t.At.Format("15:04:05"), t.Text)
	}
	if err := w.Flush(); err != nil || o.Cluster == nil || len(o.Cluster.BatchWindows) == 0 {
		return err
	}
	fmt.Fprintln(out, "nights, as the leader knows them now:")
	return calendar.Print(out, o.Cluster.BatchWindows, maxPastWindows)
}

// nightsShown is how many of a region's past nights an overview shows.
const maxPastWindows = 2

func formatCounts[N int | uint64](counts map[string]N) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(out, ", ")
}
