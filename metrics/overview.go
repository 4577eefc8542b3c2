package metrics

import (
	"time"

	"github.com/umberdeal/umberdeal/calendar"
)

// Overview is the state of a node, and of the cluster if a leader answers, as `umberdeal
// status` shows it. Everything in it is as of the time At: if no leader answers, Cluster and
// Routing are nil rather than out of date. Operators' programs and nodes of other versions
// read the JSON, so the names and the order of fields must not change.
type Overview struct {
	At             time.Time     `json:"at"`
	Node           string        `json:"node"`
	Zone           string        `json:"zone"`
	Ready          bool          `json:"ready"`
	StoreReachable bool          `json:"state_served"` // the key-value store
	Leader         string        `json:"leader"`       // "" if none is known
	Connections    Connections   `json:"connections"`
	Heartbeats     Heartbeats    `json:"reports"`
	Routing        *Routing      `json:"plan,omitempty"`
	Plan           *PlanVersion  `json:"orders,omitempty"`
	Cluster        *Cluster      `json:"fleet,omitempty"`
	RecentErrors   []RecentError `json:"troubles,omitempty"`
}

// Connections counts the open connections of a node, and those that it has closed over the
// limit since its start.
type Connections struct {
	Users           int    `json:"users"`
	Workers         int    `json:"workers"`
	Other           int    `json:"other"`
	Limit           int    `json:"most"`
	ClosedOverLimit uint64 `json:"closed"`
}

// Heartbeats counts what a node has done with workers' heartbeats since its start.
type Heartbeats struct {
	Forwarded     uint64 `json:"passed"`   // to the leader, with an answer
	Failed        uint64 `json:"failed"`   // forwarded without an answer
	Redirected    uint64 `json:"moved"`    // answered with another node's address, for balance
	Waiting       int    `json:"waiting"`  // now
	Refused       uint64 `json:"refused"`  // over the limit
	WorkersServed int    `json:"answered"` // workers answered here within a lease
}

// Routing is where workers send their heartbeats.
type Routing struct {
	Workers int      `json:"workers"`
	Direct  int      `json:"direct"` // of them, to the leader
	Relays  []string `json:"relays"` // nodes that forward those of the others
}

// PlanVersion is the version of the operators' plan that a node has loaded.
type PlanVersion struct {
	Version    int  `json:"version"`
	Unreadable bool `json:"lost"` // no version can be read: nothing is placed
}

// Cluster is the state of the cluster in the leader's model.
type Cluster struct {
	BatchWindows []calendar.View `json:"nights,omitempty"` // of the plan's calendar

	Node                  string             `json:"node"` // the leader
	FencingToken          uint64             `json:"token"`
	LeaderSince           time.Time          `json:"since"`
	LeaseValid            bool               `json:"sure"`
	Machines              map[string]int     `json:"machines"` // by state
	Tasks                 map[string]int     `json:"tasks"`    // by state
	Jobs                  int                `json:"jobs"`     // that are not over
	LateJobs              int                `json:"late"`     // of them, past their deadline
	LongestWaitSeconds    map[string]float64 `json:"longest_wait_s"`
	LeastLeaseLeftSeconds float64            `json:"least_lease_left_s"` // of all workers' leases
	WarmPools             []WarmPool         `json:"pools,omitempty"`
	PriorityInversions    map[string]uint64  `json:"departures,omitempty"` // tasks, by tier and reason
	// Jobs that can't start within the starvation bound: those that have waited longest, and
	// how many there are in all.
	StarvedJobs     []StarvedJob `json:"unbegun"`
	StarvedJobCount int          `json:"unbegun_all"`
}

// StarvedJob is a job that can't start within the starvation bound.
type StarvedJob struct {
	ID            string  `json:"id"`
	Class         string  `json:"class"`
	Team          string  `json:"team"`
	Tasks         int     `json:"tasks"`
	BlockedBy     string  `json:"in_the_way"`
	WaitedSeconds float64 `json:"waits_s"`
}

// WarmPool is the state of a warm pool of the operators' plan. Costs are in the unit of the
// catalogue's prices.
type WarmPool struct {
	Name         string             `json:"name"`
	Target       int                `json:"aim"`     // machines that it should hold
	Held         int                `json:"held"`    // machines that it holds
	Warm         int                `json:"warm"`    // of them, machines with the weights
	Fetching     int                `json:"filling"` // of them, machines that fetch the weights
	Hits         int64              `json:"hits"`    // replicas placed on a machine with their weights
	Misses       int64              `json:"misses"`  // replicas placed on one without
	Preemptions  int64              `json:"ceded"`   // tasks of other work placed on its machines as a last resort
	CostLimited  bool               `json:"limited,omitempty"`
	FetchRefused string             `json:"refused,omitempty"` // why weights are not prefetched
	Cost         map[string]float64 `json:"cost"`              // by team
}
