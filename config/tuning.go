package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"

	"github.com/BurntSushi/toml"
)

// Tuning is the operators' own file; every field has a default.
type Tuning struct {
	Rebalance Rebalance `toml:"rebalance"`
	ScaleOut  ScaleOut  `toml:"renting"`
	Metrics   Metrics   `toml:"metrics"`
	Launches  Launches  `toml:"launching"`
	JobStore  JobStore  `toml:"ledger"`
	Serving   Serving   `toml:"serving"`
}

// Serving tunes in which order jobs are served.
type Serving struct {
	// StarvationBoundS is how soon after its acceptance every job begins for which
	// there is room, in seconds, whatever the aims. 0: there is no such bound.
	StarvationBoundS float64 `toml:"begin_within_s"`
}

// Ledger tunes how records are kept.
type JobStore struct {
	SharedPages bool `toml:"intake"` // users' jobs share keys, once every node can read that
}

// Launching tunes how launches reach workers.
type Launches struct {
	WakeWorkers bool `toml:"summon"` // workers are told to report when a launch is ready
}

// Metrics says where the operators watch a node.
type Metrics struct {
	Listen string `toml:"listen"` // host:port; empty: nowhere
}

// Rebalance tunes the rebalancer.
type Rebalance struct {
	Enabled       bool     `toml:"enabled"`
	EveryS        float64  `toml:"every_s"`
	Budget        int      `toml:"budget"`
	CooldownS     float64  `toml:"cooldown_s"`
	TaskCooldownS float64  `toml:"rest_s"`
	QuarantineS   float64  `toml:"quarantine_s"`
	LongRunningS  float64  `toml:"long_running_s"`
	Policies      []Policy `toml:"policies"`
}

// Resource is one that rebalancing looks at.
type Resource string

// Resources.
const (
	ResourceCPUs   Resource = "cpus"
	ResourceGPUs   Resource = "gpus"
	ResourceMemory Resource = "memory"
)

// Policy is one resource's part in the combined imbalance of a group of machines.
type Policy struct {
	Resource          Resource `toml:"resource"`
	Weight            float64  `toml:"weight"`
	Threshold         float64  `toml:"threshold"`
	CapacityThreshold float64  `toml:"capacity_threshold"`
}

// Renting tunes how machines are rented and returned.
type ScaleOut struct {
	IdleS    float64 `toml:"idle_s"`
	Headroom float64 `toml:"headroom"`
}

// DefaultTuning is what holds without an operators' file.
func DefaultTuning() Tuning {
	return Tuning{
		Rebalance: Rebalance{
			Enabled: true, EveryS: 3, Budget: 3, CooldownS: 30, TaskCooldownS: 120, QuarantineS: 300, LongRunningS: 600,
			Policies: []Policy{
				{Resource: "cpus", Weight: 0.4, Threshold: 0.2, CapacityThreshold: 1},
				{Resource: "gpus", Weight: 0.4, Threshold: 0.2, CapacityThreshold: 1},
				{Resource: "memory", Weight: 0.2, Threshold: 0.2, CapacityThreshold: 1},
			},
		},
		ScaleOut: ScaleOut{IdleS: 240, Headroom: 0.35},
		Launches: Launches{WakeWorkers: true},
		JobStore: JobStore{SharedPages: true},
		Serving:  Serving{StarvationBoundS: 240},
	}
}

// LoadTuning reads the operators' file; an empty path gives the defaults.
func LoadTuning(path string) (Tuning, error) {
	if path == "" {
		return DefaultTuning(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Tuning{}, fmt.Errorf("tuning: %w", err)
	}
	return ParseTuning(string(text))
}

// ParseTuning checks the text of an operators' file. A misspelt field is an
// error here, since nobody but the operators writes this file.
func ParseTuning(text string) (Tuning, error) {
	t := DefaultTuning()
	defaults := t.Rebalance.Policies
	t.Rebalance.Policies = nil
	md, err := toml.Decode(text, &t)
	if err != nil {
		return Tuning{}, fmt.Errorf("tuning: %w", err)
	}
	if !md.IsDefined("rebalance", "policies") {
		t.Rebalance.Policies = defaults
	}
	var errs []error
	bad := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("tuning: "+format, args...))
	}
	for _, k := range md.Undecoded() {
		bad("%s is not a setting", k)
	}
	r := t.Rebalance
	for _, f := range []struct {
		name string
		v    float64
	}{{"every_s", r.EveryS}, {"cooldown_s", r.CooldownS}, {"rest_s", r.TaskCooldownS},
		{"quarantine_s", r.QuarantineS}, {"long_running_s", r.LongRunningS}} {
		if !(f.v > 0) {
			bad("rebalance.%s must be above 0", f.name)
		}
	}
	if r.Budget < 1 || r.Budget > 100 {
		bad("rebalance.budget must be from 1 to 100")
	}
	sum := 0.0
	seen := map[Resource]bool{}
	for i, p := range r.Policies {
		field := fmt.Sprintf("rebalance.policies[%d]", i)
		if p.Resource != ResourceCPUs && p.Resource != ResourceGPUs && p.Resource != ResourceMemory || seen[p.Resource] {
			bad("%s.resource must be cpus, gpus or memory, each once", field)
		}
		seen[p.Resource] = true
		if !(p.Weight >= 0 && p.Weight <= 1) {
			bad("%s.weight must be from 0 to 1", field)
		}
		if !(p.Threshold >= 0 && p.Threshold <= 1) {
			bad("%s.threshold must be from 0 to 1", field)
		}
		if !(p.CapacityThreshold > 0 && p.CapacityThreshold <= 1) {
			bad("%s.capacity_threshold must be above 0 and at most 1", field)
		}
		sum += p.Weight
	}
	if math.Abs(sum-1) > 1e-6 {
		bad("rebalance.policies: the weights sum to %g, not to 1.0", sum)
	}
	if !(t.ScaleOut.IdleS > 0) {
		bad("renting.idle_s must be above 0")
	}
	if !(t.ScaleOut.Headroom >= 0 && t.ScaleOut.Headroom <= 5) {
		bad("renting.headroom must be from 0 to 5")
	}
	if b := t.Serving.StarvationBoundS; b != 0 && !(b >= 30 && b <= 86400) {
		bad("serving.begin_within_s must be 0, or from 30 to 86400")
	}
	if l := t.Metrics.Listen; l != "" {
		if _, _, err := net.SplitHostPort(l); err != nil {
			bad("metrics.listen must be a host and a port: %v", err)
		}
	}
	if len(errs) > 0 {
		return Tuning{}, errors.Join(errs...)
	}
	return t, nil
}
