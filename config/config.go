// Package config reads and validates the two configuration files of a node. The platform provides
// Settings, and the operators write Tuning. Both files are TOML. Errors name the fields as the
// files do.
package config

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings is the content of the platform's file. Unknown fields are ignored because the platform
// may be newer than this program.
type Settings struct {
	Node       string   `toml:"node_name"` // name of this node
	Zone       string   `toml:"location"`  // zone of this node
	Bind       string   `toml:"bind"`      // host:port at which this node serves users and workers
	PeerListen string   `toml:"mesh_addr"` // host:port at which this node serves other nodes
	Peers      []Peer   `toml:"siblings"`  // the other nodes of the deployment
	Services   Services `toml:"services"`
	Cluster    Cluster  `toml:"cluster"`
}

// Peer is another controller node of the deployment.
type Peer struct {
	Name string `toml:"node_name"`
	Zone string `toml:"location"`
	Addr string `toml:"addr"` // host:port at which that node serves other nodes
}

// Services holds the addresses (host:port) of the cloud's API and of the key-value store (State).
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster describes the deployment: its size, zones, teams and objectives, and the timeouts and limits
// that apply to it. SkewMs is the clock skew in milliseconds.
type Cluster struct {
	Size       int         `toml:"size"` // number of controller nodes
	Zones      []string    `toml:"zones"`
	SkewMs     float64     `toml:"skew_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      StateLimits `toml:"state"`
	Cloud      CloudLimits `toml:"cloud"`
	Limits     Limits      `toml:"limits"`
}

// Team holds a team's guaranteed resources (CPUs, GPUs) and its limits (CPUsMax, GPUsMax). The value
// 0 means no guarantee or no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// ObjectiveKind is what a service-level objective measures. An unknown kind has no effect, because
// the settings may be newer than the program.
type ObjectiveKind string

// Kinds of service-level objectives.
const (
	ObjectiveWait      ObjectiveKind = "wait"      // a job starts within WithinS of its acceptance
	ObjectiveGuarantee ObjectiveKind = "guarantee" // as ObjectiveWait, for jobs that their team's guarantee covers
	ObjectiveFinished  ObjectiveKind = "finished"  // a job completes within WithinS of its acceptance
	ObjectiveDeadline  ObjectiveKind = "deadline"  // a job completes by its deadline, or within Times that time
	ObjectivePrice     ObjectiveKind = "price"     // cost of the machines
	ObjectiveCost      ObjectiveKind = "cost"      // synonym of ObjectivePrice
)

// Known reports whether k is one of the kinds declared above.
func (k ObjectiveKind) Known() bool {
	switch k {
	case ObjectiveWait, ObjectiveGuarantee, ObjectiveFinished, ObjectiveDeadline, ObjectivePrice, ObjectiveCost:
		return true
	}
	return false
}

// Objective is one service-level objective of the deployment. It applies to the jobs of one class, or
// to all jobs if Class is empty.
type Objective struct {
	Kind    ObjectiveKind `toml:"kind"`
	Class   string        `toml:"class"`
	WithinS float64       `toml:"within_s"` // seconds after the job's acceptance
	Share   float64       `toml:"share"`    // fraction of the jobs that must meet the objective
	Times   float64       `toml:"times"`    // ObjectiveDeadline: a multiple of the job's own deadline
}

// Workers holds the intervals and timeouts of workers, in seconds.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`    // interval between heartbeats
	LeaseS     float64 `toml:"lease_s"`     // time from sending the last answered heartbeat until a worker kills its tasks
	GangWaitS  float64 `toml:"gang_wait_s"` // time that a task of a gang waits for the others to start
	GangPeerS  float64 `toml:"gang_peer_s"` // time from the loss of a gang's task until the others have ended
	CancelS    float64 `toml:"cancel_s"`    // time from a confirmed cancellation until the job's tasks must have ended
}

// StateLimits holds the limits of the key-value store.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // changes per second
	ValueKB  float64 `toml:"value_kb"`  // size of a value
	TxnOps   int     `toml:"txn_ops"`   // changes in a transaction
}

// CloudLimits holds the rate limit of the cloud's API in requests per second, and the time in seconds
// after which a change appears in the cloud's list of machines.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits holds the resources that a controller node may use.
type Limits struct {
	CPU     float64 `toml:"cpu"` // number of CPUs
	MemMB   float64 `toml:"mem_mb"`
	Sockets int     `toml:"sockets"` // number of open sockets
}

// Seconds converts a number of seconds to a duration. The magnitude of s must be below 9.2e9, the
// range of a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and validates the settings file at path. See Parse for the errors.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(string(text))
}

// Smallest limits with which a node can work.
const (
	// minTxnOps is the number of changes in the largest transaction that can't be divided. The store
	// must also accept this many changes per second.
	minTxnOps  = 3
	minSockets = 32
)

// Parse decodes and validates the text of a settings file. The error joins a FieldError for each
// missing or invalid field.
func Parse(text string) (*Settings, error) {
	var s Settings
	md, err := toml.Decode(text, &s)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	required := s.checkRequired()
	for i, c := range required {
		if !md.IsDefined(strings.Split(c.field, ".")...) {
			required[i].problem = ErrMissing
		}
	}
	checks := slices.Concat(required, checkTeams(s.Cluster.Teams), checkObjectives(s.Cluster.Objectives), s.checkPeers())
	if errs := problems("settings", checks); len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return &s, nil
}

// checkRequired checks the fields that every settings file must set.
func (s *Settings) checkRequired() []check {
	zones := check{field: "cluster.zones"}
	if len(s.Cluster.Zones) == 0 {
		zones.problem = errors.New("must name a zone")
	}
	workers, store := s.Cluster.Workers, s.Cluster.State
	return []check{
		notEmpty("node_name", s.Node),
		notEmpty("location", s.Zone),
		notEmpty("bind", s.Bind),
		notEmpty("mesh_addr", s.PeerListen),
		notEmpty("services.cloud", s.Services.Cloud),
		notEmpty("services.state", s.Services.State),
		atLeast("cluster.size", s.Cluster.Size, 1),
		zones,
		within("cluster.skew_ms", s.Cluster.SkewMs, 0, maxDuration),
		duration("cluster.workers.report_s", workers.HeartbeatS),
		duration("cluster.workers.lease_s", workers.LeaseS),
		duration("cluster.workers.gang_wait_s", workers.GangWaitS),
		duration("cluster.workers.gang_peer_s", workers.GangPeerS),
		{"cluster.workers.cancel_s", workers.checkCancelTime()},
		positive("cluster.state.rps", store.RPS),
		rate("cluster.state.write_rps", store.WriteRPS, minTxnOps),
		positive("cluster.state.value_kb", store.ValueKB),
		atLeast("cluster.state.txn_ops", store.TxnOps, minTxnOps),
		positive("cluster.cloud.rps", s.Cluster.Cloud.RPS),
		within("cluster.cloud.list_lag_s", s.Cluster.Cloud.ListLagS, 0, maxDuration),
		positive("cluster.limits.cpu", s.Cluster.Limits.CPU),
		positive("cluster.limits.mem_mb", s.Cluster.Limits.MemMB),
		atLeast("cluster.limits.sockets", s.Cluster.Limits.Sockets, minSockets),
	}
}

// checkTeams checks that teams have unique names and valid guarantees and limits.
func checkTeams(teams []Team) []check {
	var checks []check
	seen := map[string]bool{}
	for i, t := range teams {
		field := fmt.Sprintf("cluster.teams[%d]", i)
		if t.Name == "" || seen[t.Name] {
			checks = append(checks, check{field + ".name", errors.New("must be set and unique")})
		}
		seen[t.Name] = true
		checks = append(checks,
			notNegative(field+".cpus", t.CPUs),
			notNegative(field+".cpus_max", t.CPUsMax),
			notNegative(field+".gpus", t.GPUs),
			notNegative(field+".gpus_max", t.GPUsMax))
	}
	return checks
}

// checkObjectives checks the times of the objectives of known kinds.
func checkObjectives(objectives []Objective) []check {
	var checks []check
	for i, o := range objectives {
		if !o.Kind.Known() {
			continue
		}
		field := fmt.Sprintf("cluster.objectives[%d]", i)
		checks = append(checks,
			within(field+".within_s", o.WithinS, 0, maxDuration),
			within(field+".times", o.Times, 0, maxDuration))
	}
	return checks
}

// checkPeers checks that each peer has an address and a name that differs from this node's.
func (s *Settings) checkPeers() []check {
	var checks []check
	for i, p := range s.Peers {
		if p.Name == "" || p.Addr == "" || p.Name == s.Node {
			checks = append(checks, check{fmt.Sprintf("siblings[%d]", i), errors.New("needs a node_name of its own and an addr")})
		}
	}
	return checks
}

// GCPercent is the amount of memory that may be allocated between garbage collections, in percent of
// the live heap. With Go's default of 100, the leader of a large cluster collects garbage several
// times a second while four fifths of its memory are unused. The live heap is small, and the runtime
// collects more often by itself near the memory limit (MemoryLimit).
const GCPercent = 300

// goMemoryShare is the Go runtime's share of a node's memory. The rest is for memory that the
// runtime's limit does not cover.
const goMemoryShare = 0.6

// MemoryLimit returns the soft memory limit to set in the Go runtime, in bytes.
func (s *Settings) MemoryLimit() int64 {
	return int64(s.Cluster.Limits.MemMB * goMemoryShare * (1 << 20))
}
