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
	At          time.Time   `json:"at"`
	Node        string      `json:"node"`
	Zone        string      `json:"zone"`
	Ready       bool        `json:"ready"`
	StateServed bool        `json:"state_served"`
	Leader      string      `json:"leader"`
	Connections Connections `json:"connections"`
	Reports     Reports     `json:"reports"`
	Plan        *Plan       `json:"plan,omitempty"`
	Orders      *Orders     `json:"orders,omitempty"`
	Fleet       *Fleet      `json:"fleet,omitempty"`
	Troubles    []Trouble   `json:"troubles,omitempty"`
}

// Connections are those open at a node, and how many were closed for want of
// room since its start.
type Connections struct {
	Users   int    `json:"users"`
	Workers int    `json:"workers"`
	Other   int    `json:"other"`
	Most    int    `json:"most"`
	Closed  uint64 `json:"closed"`
}

// Reports counts what a node has done with workers' reports since its start.
type Reports struct {
	Passed  uint64 `json:"passed"`   // to the leader, and answered
	Failed  uint64 `json:"failed"`   // passed on in vain
	Moved   uint64 `json:"moved"`    // workers told to report elsewhere for balance
	Waiting int    `json:"waiting"`  // now
	Refused uint64 `json:"refused"`  // for want of room
	Served  int    `json:"answered"` // workers answered here within a lease
}

// Plan is where workers report.
type Plan struct {
	Workers int      `json:"workers"`
	Direct  int      `json:"direct"`
	Relays  []string `json:"relays"`
}

// Orders is which version of the operators' plan this node knows.
type Orders struct {
	Version int  `json:"version"`
	Lost    bool `json:"lost"` // no version can be read: nothing is placed
}

// Fleet is the leader's view.
type Fleet struct {
	Nights []calendar.View `json:"nights,omitempty"` // of the plan's calendar

	Node       string             `json:"node"`
	Token      uint64             `json:"token"`
	Since      time.Time          `json:"since"`
	Sure       bool               `json:"sure"` // of its lease
	Machines   map[string]int     `json:"machines"`
	Tasks      map[string]int     `json:"tasks"`
	Jobs       int                `json:"jobs"`
	Late       int                `json:"late"` // past their deadline and not over
	LongestS   map[string]float64 `json:"longest_wait_s"`
	LeaseLeftS float64            `json:"least_lease_left_s"`
	Pools      []Pool             `json:"pools,omitempty"`
	Departures map[string]uint64  `json:"departures,omitempty"` // from the operators' order
	// Jobs that can't begin in time: those that wait for longest, and how many.
	Unbegun    []StarvedJob `json:"unbegun"`
	UnbegunAll int          `json:"unbegun_all"`
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
type Pool struct {
	Name    string             `json:"name"`
	Aim     int                `json:"aim"`
	Held    int                `json:"held"`
	Warm    int                `json:"warm"`
	Filling int                `json:"filling"`
	Hits    int64              `json:"hits"`
	Misses  int64              `json:"misses"`
	Ceded   int64              `json:"ceded"`
	Limited bool               `json:"limited,omitempty"`
	Refused string             `json:"refused,omitempty"`
	Cost    map[string]float64 `json:"cost"` // by team
}

func (p *Pool) row() string {
	var costs []string
	for _, t := range slices.Sorted(maps.Keys(p.Cost)) {
		costs = append(costs, fmt.Sprintf("%s %.2f", t, p.Cost[t]))
	}
	out := fmt.Sprintf("%d of %d machines held, %d with weights, %d fetch; %d hits, %d misses, %d ceded; cost %s",
		p.Held, p.Aim, p.Warm, p.Filling, p.Hits, p.Misses, p.Ceded, strings.Join(costs, ", "))
	if p.Limited {
		out += "; at its limit"
	}
	if p.Refused != "" {
		out += "; " + p.Refused
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
	row("ready", "%v, state service served %v", o.Ready, o.StateServed)
	row("leader", "%s", leader)
	if f := o.Fleet; f == nil {
		row("fleet", "not known: no leader has answered")
	} else {
		row("leads", "%s since %s, token %d, sure of its lease %v", f.Node, f.Since.Format(time.RFC3339), f.Token, f.Sure)
		row("machines", "%s", list(f.Machines))
		row("tasks", "%s", list(f.Tasks))
		row("jobs", "%d not over, %d past their deadline", f.Jobs, f.Late)
		var waits []string
		for _, k := range slices.Sorted(maps.Keys(f.LongestS)) {
			waits = append(waits, fmt.Sprintf("%s %.1f s", k, f.LongestS[k]))
		}
		row("longest waits", "%s", strings.Join(waits, ", "))
		if f.UnbegunAll > 0 {
			row("can't begin in time", "%d jobs", f.UnbegunAll)
		}
		for _, u := range f.Unbegun {
			row("", "%s (%s of %s, %d tasks) waits for %.0f s: %s", u.ID, u.Class, u.Team, u.Tasks, u.WaitedSeconds, u.BlockedBy)
		}
		row("least lease left", "%.1f s", f.LeaseLeftS)
		if len(f.Departures) > 0 {
			row("departures from the order", "%s", list(f.Departures))
		}
		for i := range f.Pools {
			row("pool "+f.Pools[i].Name, "%s", f.Pools[i].row())
		}
	}
	if p := o.Plan; p != nil {
		row("workers report", "%d, %d of them to the leader, the rest by way of %s", p.Workers, p.Direct, strings.Join(p.Relays, ", "))
	}
	if p := o.Orders; p != nil {
		row("plan", "version %d", p.Version)
		if p.Lost {
			row("", "no version can be read: nothing new is placed until one is applied")
		}
	}
	c := o.Connections
	row("connections", "users %d, workers %d, other %d, at most %d; %d closed for want of room", c.Users, c.Workers, c.Other, c.Most, c.Closed)
	r := o.Reports
	row("reports", "%d passed on, %d in vain, %d workers moved, %d wait, %d refused; %d workers answered here", r.Passed, r.Failed, r.Moved, r.Waiting, r.Refused, r.Served)
	for i, t := range o.Troubles {
		name := ""
		if i == 0 {
			name = "last troubles"
		}
		row(name, "%s %s", t.At.Format("15:04:05"), t.Text)
	}
	if err := w.Flush(); err != nil || o.Fleet == nil || len(o.Fleet.Nights) == 0 {
		return err
	}
	fmt.Fprintln(out, "nights, as the leader knows them now:")
	return calendar.Print(out, o.Fleet.Nights, nightsShown)
}

// nightsShown is how many of a region's past nights an overview shows.
const nightsShown = 2

func list[N int | uint64](counts map[string]N) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(out, ", ")
}
