// Package config reads and checks a node's two files: the settings that the platform
// hands over (Settings), and the operators' own tuning (Tuning). Both are TOML, and errors
// name fields as the files do.
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

// Settings is the platform's file. Fields that are not known are ignored, since the
// platform may be newer than this program.
type Settings struct {
	Node       string   `toml:"node_name"`
	Zone       string   `toml:"location"`
	Bind       string   `toml:"bind"`
	PeerListen string   `toml:"mesh_addr"`
	Peers      []Peer   `toml:"siblings"`
	Services   Services `toml:"services"`
	Cluster    Cluster  `toml:"cluster"`
}

// Peer is another controller.
type Peer struct {
	Name string `toml:"node_name"`
	Zone string `toml:"location"`
	Addr string `toml:"addr"`
}

// Services are the addresses of the cloud's API and of the key-value store (State).
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster describes the deployment.
type Cluster struct {
	Size       int         `toml:"size"`
	Zones      []string    `toml:"zones"`
	SkewMs     float64     `toml:"skew_ms"`
	Teams      []Team      `toml:"teams"`
	Objectives []Objective `toml:"objectives"`
	Workers    Workers     `toml:"workers"`
	State      StateLimits `toml:"state"`
	Cloud      CloudLimits `toml:"cloud"`
	Limits     Limits      `toml:"limits"`
}

// Team is a team's guarantee (CPUs, GPUs) and limit (CPUsMax, GPUsMax); 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// ObjectiveKind says what a service-level objective measures. Settings may be
// newer than the program: a kind that is not listed here has no effect.
type ObjectiveKind string

// Kinds of service-level objectives.
const (
	ObjectiveWait      ObjectiveKind = "wait"      // a job starts within WithinS of its acceptance
	ObjectiveGuarantee ObjectiveKind = "guarantee" // the same, for jobs that their team's guarantee covers
	ObjectiveFinished  ObjectiveKind = "finished"  // a job is completed within WithinS of its acceptance
	ObjectiveDeadline  ObjectiveKind = "deadline"  // a job is completed by its deadline, or within Times that time
	ObjectivePrice     ObjectiveKind = "price"     // what machines cost
	ObjectiveCost      ObjectiveKind = "cost"      // another name for price in settings
)

// Known reports whether a kind is listed here.
func (k ObjectiveKind) Known() bool {
	switch k {
	case ObjectiveWait, ObjectiveGuarantee, ObjectiveFinished, ObjectiveDeadline, ObjectivePrice, ObjectiveCost:
		return true
	}
	return false
}

// Objective is one service-level objective of the deployment, for the jobs of a
// class, or for all jobs where the class is empty.
type Objective struct {
	Kind    ObjectiveKind `toml:"kind"`
	Class   string        `toml:"class"`
	WithinS float64       `toml:"within_s"` // seconds after the job's acceptance
	Share   float64       `toml:"share"`    // of the jobs that are to meet it
	Times   float64       `toml:"times"`    // for deadlines: a multiple of the job's own deadline
}

// Workers holds the intervals and timeouts of workers, in seconds.
type Workers struct {
	HeartbeatS float64 `toml:"report_s"`    // between heartbeats
	LeaseS     float64 `toml:"lease_s"`     // after sending the last heartbeat that was answered, until a worker kills its tasks
	GangWaitS  float64 `toml:"gang_wait_s"` // how long a task of a gang waits for the others to start
	GangPeerS  float64 `toml:"gang_peer_s"` // after a gang has lost a task, until the others have ended
	CancelS    float64 `toml:"cancel_s"`    // after a confirmed cancellation, until the job's tasks must be gone
}

// StateLimits are the key-value store's limits.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// CloudLimits are the limits of the cloud's API. A change may show in its list only after
// ListLagS seconds.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits are the resources that a node may use.
type Limits struct {
	CPU     float64 `toml:"cpu"`
	MemMB   float64 `toml:"mem_mb"`
	Sockets int     `toml:"sockets"`
}

// Seconds converts a number of seconds to a duration. Its magnitude must be below 9.2e9, the range
// of a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(string(text))
}

// Limits below which a node can't work.
const (
	// minTxnOps is the size of the largest transactions that can't be divided; the store must take as
	// many changes within a second.
	minTxnOps  = 3
	minSockets = 32
)

// Parse reads and checks the text of a settings file. The error has a FieldError for
// every field that is missing or invalid.
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

// checkRequired checks the fields that every settings file has.
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

// checkObjectives checks the times of objectives of known kinds; the others have no effect.
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

func (s *Settings) checkPeers() []check {
	var checks []check
	for i, p := range s.Peers {
		if p.Name == "" || p.Addr == "" || p.Name == s.Node {
			checks = append(checks, check{fmt.Sprintf("siblings[%d]", i), errors.New("needs a node_name of its own and an addr")})
		}
	}
	return checks
}

// GCPercent is how much may be allocated between garbage collections, in percent of the
// live heap. With Go's default of 100, the leader of a large cluster collects several times
// a second with four fifths of its memory unused. The live heap is small, and near the memory
// limit (MemoryLimit) the runtime collects more often by itself.
const GCPercent = 300

// goMemoryShare is the Go runtime's share of a node's memory: the rest is for memory that the
// runtime's limit does not cover.
const goMemoryShare = 0.6

// MemoryLimit is the soft memory limit to set in the Go runtime, in bytes.
func (s *Settings) MemoryLimit() int64 {
	return int64(s.Cluster.Limits.MemMB * goMemoryShare * (1 << 20))
}
