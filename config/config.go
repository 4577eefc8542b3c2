// Package config reads and checks a node's two files: the settings that the platform
// hands over (Settings), and the operators' own tuning (Tuning). Both are TOML; what
// is wrong in them is reported by the names that the fields have there.
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

// Services are the addresses of the regional services.
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

// Team has a guarantee and a limit (CPUsMax, GPUsMax); 0 means none.
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
	ObjectiveWait      ObjectiveKind = "wait"      // a job starts within some time of its acceptance
	ObjectiveGuarantee ObjectiveKind = "guarantee" // the same, where its team's guarantee covers it
	ObjectiveFinished  ObjectiveKind = "finished"  // a job is done within some time of its acceptance
	ObjectiveDeadline  ObjectiveKind = "deadline"  // a job is done by its deadline, or a multiple of that
	ObjectivePrice     ObjectiveKind = "price"     // what machines cost
	ObjectiveCost      ObjectiveKind = "cost"      // the same, as other settings call it
)

// Objective is one service-level objective of the deployment, for the jobs of a
// class, or for all jobs where the class is empty.
type Objective struct {
	Kind    ObjectiveKind `toml:"kind"`
	Class   string        `toml:"class"`
	WithinS float64       `toml:"within_s"` // seconds after the job's acceptance
	Share   float64       `toml:"share"`    // of the jobs that are to meet it
	Times   float64       `toml:"times"`    // for deadlines: a multiple of the job's own deadline
}

// Workers holds the workers' times, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"`    // between heartbeats
	LeaseS    float64 `toml:"lease_s"`     // after its last answered heartbeat a worker ends its tasks
	GangWaitS float64 `toml:"gang_wait_s"` // for how long a gang's task waits for the others
	GangPeerS float64 `toml:"gang_peer_s"` // after which a gang's task ends that lost another
	CancelS   float64 `toml:"cancel_s"`    // after which a cancelled job's tasks are gone
}

// StateLimits are the state service's limits.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// CloudLimits are the cloud's limits.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Limits are the machine's.
type Limits struct {
	CPU     float64 `toml:"cpu"`
	MemMB   float64 `toml:"mem_mb"`
	Sockets int     `toml:"sockets"`
}

// Seconds is a duration of so many seconds.
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
	checks := slices.Concat(required, checkTeams(s.Cluster.Teams), s.checkPeers())
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
		notNegative("cluster.skew_ms", s.Cluster.SkewMs),
		positive("cluster.workers.report_s", workers.ReportS),
		positive("cluster.workers.lease_s", workers.LeaseS),
		positive("cluster.workers.gang_wait_s", workers.GangWaitS),
		positive("cluster.workers.gang_peer_s", workers.GangPeerS),
		{"cluster.workers.cancel_s", workers.checkCancelTime()},
		positive("cluster.state.rps", store.RPS),
		positive("cluster.state.write_rps", store.WriteRPS),
		positive("cluster.state.value_kb", store.ValueKB),
		atLeast("cluster.state.txn_ops", store.TxnOps, minTxnOps),
		positive("cluster.cloud.rps", s.Cluster.Cloud.RPS),
		notNegative("cluster.cloud.list_lag_s", s.Cluster.Cloud.ListLagS),
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

func (s *Settings) checkPeers() []check {
	var checks []check
	for i, p := range s.Peers {
		if p.Name == "" || p.Addr == "" || p.Name == s.Node {
			checks = append(checks, check{fmt.Sprintf("siblings[%d]", i), errors.New("needs a node_name of its own and an addr")})
		}
	}
	return checks
}

// GCPercent is how much may be allocated between garbage collections, in percent of
// what is live. With Go's default of 100, the leader of a large fleet collects several
// times a second with four fifths of its memory unused; what is live is small, and
// near the memory limit the runtime collects sooner by itself.
const GCPercent = 300

// goMemoryShare is the Go runtime's share of a node's memory: the rest is for what the
// runtime does not count.
const goMemoryShare = 0.6

// MemoryLimit is how much memory the Go runtime should keep to, in bytes.
func (s *Settings) MemoryLimit() int64 {
	return int64(s.Cluster.Limits.MemMB * goMemoryShare * (1 << 20))
}
