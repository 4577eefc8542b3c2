// The overview of a node and of the cluster, as data.

package metrics

import (
	"time"

	"github.com/umberdeal/umberdeal/calendar"
)

// Overview is the state of a node and of the cluster, as `umberdeal status` shows it. All of it
// is as of the time At. If no leader answers, Cluster and Routing are nil, so that they never
// hold outdated data. Operators' programs and nodes of other versions read the JSON, so the
// names and the order of fields must not change.
type Overview struct {
	At             time.Time     `json:"at"`
	Node           string        `json:"node"`
	Zone           string        `json:"zone"`
	Ready          bool          `json:"ready"`
	StoreReachable bool          `json:"state_served"` // whether the key-value store answers
	Leader         string        `json:"leader"`       // "" if none is known
	Connections    Connections   `json:"connections"`
	Heartbeats     Heartbeats    `json:"reports"`
	Routing        *Routing      `json:"plan,omitempty"`
	Plan           *PlanVersion  `json:"orders,omitempty"`
	Cluster        *Cluster      `json:"fleet,omitempty"`
	RecentErrors   []RecentError `json:"troubles,omitempty"`
}

// Connections counts the open connections of a node by the kind of client, and the connections that it
// has closed since its start because they exceeded Limit.
type Connections struct {
	Users           int    `json:"users"`
	Workers         int    `json:"workers"`
	Other           int    `json:"other"`
	Limit           int    `json:"most"`   // largest number of open connections
	ClosedOverLimit uint64 `json:"closed"` // connections closed over Limit
}

// Heartbeats counts workers' heartbeats by the way a node has handled them since its start. Waiting and
// WorkersServed are current numbers.
type Heartbeats struct {
	Forwarded     uint64 `json:"passed"`   // forwarded to the leader and answered
	Failed        uint64 `json:"failed"`   // forwarded without an answer
	Redirected    uint64 `json:"moved"`    // redirected to another node, to balance the workers over nodes
	Waiting       int    `json:"waiting"`  // waiting for their turn
	Refused       uint64 `json:"refused"`  // rejected over the limit
	WorkersServed int    `json:"answered"` // workers that this node has answered within the length of their lease
}

// Routing is the leader's assignment of workers to the nodes that receive their heartbeats.
type Routing struct {
	Workers int      `json:"workers"`
	Direct  int      `json:"direct"` // workers that report to the leader itself
	Relays  []string `json:"relays"` // nodes that forward the heartbeats of the other workers
}

// PlanVersion is the version of the operators' plan that a node has loaded.
type PlanVersion struct {
	Version    int  `json:"version"`
	Unreadable bool `json:"lost"` // no version can be read, so no task is placed
}

// Cluster is the state of the cluster in the leader's model.
type Cluster struct {
	BatchWindows []calendar.View `json:"nights,omitempty"` // of the plan's calendar

	Node                  string             `json:"node"` // the leader
	FencingToken          uint64             `json:"token"`
	LeaderSince           time.Time          `json:"since"`
	LeaseValid            bool               `json:"sure"`
	Machines              map[string]int     `json:"machines"`           // by state
	Tasks                 map[string]int     `json:"tasks"`              // by state
	Jobs                  int                `json:"jobs"`               // unfinished jobs
	LateJobs              int                `json:"late"`               // unfinished jobs past their deadline
	LongestWaitSeconds    map[string]float64 `json:"longest_wait_s"`     // of jobs with waiting tasks, by class
	LeastLeaseLeftSeconds float64            `json:"least_lease_left_s"` // of all workers' leases
	WarmPools             []WarmPool         `json:"pools,omitempty"`
	PriorityInversions    map[string]uint64  `json:"departures,omitempty"` // tasks, by tier and reason
	// StarvedJobs holds the jobs that can't start within the starvation bound and have waited
	// longest. StarvedJobCount counts all such jobs.
	StarvedJobs     []StarvedJob `json:"unbegun"`
	StarvedJobCount int          `json:"unbegun_all"`
}

// StarvedJob is a job that can't start within the starvation bound. BlockedBy is the reason as text.
type StarvedJob struct {
	ID            string  `json:"id"`
	Class         string  `json:"class"`
	Team          string  `json:"team"`
	Tasks         int     `json:"tasks"`
	BlockedBy     string  `json:"in_the_way"`
	WaitedSeconds float64 `json:"waits_s"`
}

// WarmPool is the state of a warm pool of the operators' plan. Its machines hold a model's weights.
// Costs are in the unit of the catalog's prices.
type WarmPool struct {
	Name         string             `json:"name"`
	Target       int                `json:"aim"`               // number of machines that the pool should hold
	Held         int                `json:"held"`              // number of machines that the pool holds
	Warm         int                `json:"warm"`              // held machines that have the weights
	Fetching     int                `json:"filling"`           // held machines that fetch the weights
	Hits         int64              `json:"hits"`              // replicas placed on a machine with their weights
	Misses       int64              `json:"misses"`            // replicas placed on a machine without their weights
	Preemptions  int64              `json:"ceded"`             // tasks of other work placed on its machines as a last resort
	CostLimited  bool               `json:"limited,omitempty"` // the pool is at its cost limit
	FetchRefused string             `json:"refused,omitempty"` // reason why weights are not prefetched; "" if they are
	Cost         map[string]float64 `json:"cost"`              // by team
}
