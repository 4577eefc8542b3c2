// Package config reads what a node needs to know: the settings file the
// platform hands over, and the operators' own tuning file.
package config

import (
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Settings is the platform's file. Unknown fields are ignored.
type Settings struct {
	Node       string   `toml:"node_name"`
	Zone       string   `toml:"location"`
	Bind       string   `toml:"bind"`
	PeerListen string   `toml:"mesh_addr"`
	Peers      []Peer   `toml:"siblings"`
	Services   Services `toml:"services"`
	Cluster    Cluster  `toml:"cluster"`
}

// Sibling is another controller node.
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

// Team has a guarantee and a limit; 0 means none.
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

// Workers holds the workers' timers, in seconds.
type Workers struct {
	ReportS   float64 `toml:"report_s"`
	LeaseS    float64 `toml:"lease_s"`
	GangWaitS float64 `toml:"gang_wait_s"`
	GangPeerS float64 `toml:"gang_peer_s"`
	CancelS   float64 `toml:"cancel_s"`
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

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Load reads and checks the platform's file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(string(text))
}

// Parse checks the text of a settings file. The error names every field that
// is missing or invalid.
func Parse(text string) (*Settings, error) {
	var s Settings
	md, err := toml.Decode(text, &s)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var errs []error
	need := func(ok bool, reason string, path ...string) {
		switch {
		case !md.IsDefined(path...):
			errs = append(errs, fmt.Errorf("settings: %s is missing", dotted(path)))
		case !ok:
			errs = append(errs, fmt.Errorf("settings: %s %s", dotted(path), reason))
		}
	}
	positive := func(v float64, path ...string) {
		need(v > 0 && !math.IsInf(v, 0), "must be above 0", path...)
	}
	need(s.Node != "", "must not be empty", "node_name")
	need(s.Zone != "", "must not be empty", "location")
	need(s.Bind != "", "must not be empty", "bind")
	need(s.PeerListen != "", "must not be empty", "mesh_addr")
	need(s.Services.Cloud != "", "must not be empty", "services", "cloud")
	need(s.Services.State != "", "must not be empty", "services", "state")
	need(s.Cluster.Size >= 1, "must be at least 1", "cluster", "size")
	need(len(s.Cluster.Zones) > 0, "must name a zone", "cluster", "zones")
	need(s.Cluster.SkewMs >= 0, "must not be negative", "cluster", "skew_ms")
	w := s.Cluster.Workers
	positive(w.ReportS, "cluster", "workers", "report_s")
	positive(w.LeaseS, "cluster", "workers", "lease_s")
	positive(w.GangWaitS, "cluster", "workers", "gang_wait_s")
	positive(w.GangPeerS, "cluster", "workers", "gang_peer_s")
	need(w.CancelS > w.LeaseS, "must be above lease_s", "cluster", "workers", "cancel_s")
	if err := w.checkCancelTime(); w.CancelS > w.LeaseS && err != nil {
		errs = append(errs, fmt.Errorf("settings: cluster.workers.cancel_s %w", err))
	}
	st := s.Cluster.State
	positive(st.RPS, "cluster", "state", "rps")
	positive(st.WriteRPS, "cluster", "state", "write_rps")
	positive(st.ValueKB, "cluster", "state", "value_kb")
	need(st.TxnOps >= 3, "must be at least 3", "cluster", "state", "txn_ops")
	positive(s.Cluster.Cloud.RPS, "cluster", "cloud", "rps")
	need(s.Cluster.Cloud.ListLagS >= 0, "must not be negative", "cluster", "cloud", "list_lag_s")
	positive(s.Cluster.Limits.CPU, "cluster", "limits", "cpu")
	positive(s.Cluster.Limits.MemMB, "cluster", "limits", "mem_mb")
	need(s.Cluster.Limits.Sockets >= 32, "must be at least 32", "cluster", "limits", "sockets")
	seen := map[string]bool{}
	for i, t := range s.Cluster.Teams {
		field := fmt.Sprintf("cluster.teams[%d]", i)
		if t.Name == "" || seen[t.Name] {
			errs = append(errs, fmt.Errorf("settings: %s.name must be set and unique", field))
		}
		seen[t.Name] = true
		for _, f := range []struct {
			name string
			v    float64
		}{{"cpus", t.CPUs}, {"cpus_max", t.CPUsMax}, {"gpus", t.GPUs}, {"gpus_max", t.GPUsMax}} {
			if !(f.v >= 0) {
				errs = append(errs, fmt.Errorf("settings: %s.%s must not be negative", field, f.name))
			}
		}
	}
	for i, p := range s.Peers {
		if p.Name == "" || p.Addr == "" || p.Name == s.Node {
			errs = append(errs, fmt.Errorf("settings: siblings[%d] needs a node_name of its own and an addr", i))
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return &s, nil
}

func dotted(path []string) string {
	out := path[0]
	for _, p := range path[1:] {
		out += "." + p
	}
	return out
}

// GCPercent is how much of what lives may be added to it before it is collected,
// in percent. Go's own, 100, collects a fleet's leader several times a second
// with four fifths of its memory unused; what lives is small, and near the limit
// the runtime collects sooner by itself.
const GCPercent = 300

// MemoryLimit is what the Go runtime should keep to: the rest of the machine's
// limit is for what the runtime does not count.
func (s *Settings) MemoryLimit() int64 {
	return int64(s.Cluster.Limits.MemMB * 0.6 * (1 << 20))
}
