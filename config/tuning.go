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

// Serving tunes the order in which jobs are served.
type Serving struct {
	// StarvationBoundS is within how many seconds of its acceptance every job starts for
	// which there are resources at all, whatever the service-level objectives. 0: there is
	// no such bound.
	StarvationBoundS float64 `toml:"begin_within_s"`
}

// JobStore tunes how jobs are recorded.
type JobStore struct {
	SharedPages bool `toml:"intake"` // jobs share records (jobstore.JobPage), once every node can read these
}

// Launches tunes how launches reach workers.
type Launches struct {
	WakeWorkers bool `toml:"summon"` // a worker is told to send its heartbeat when a launch is ready for it
}

// Metrics says where a node serves its metrics.
type Metrics struct {
	Listen string `toml:"listen"` // host:port; empty: they are not served
}

// Rebalance tunes rebalancing.
type Rebalance struct {
	Enabled       bool     `toml:"enabled"`
	EveryS        float64  `toml:"every_s"`        // seconds between cycles
	Budget        int      `toml:"budget"`         // most moves in a cycle
	CooldownS     float64  `toml:"cooldown_s"`     // how long a group of machines is left alone after moves in it
	TaskCooldownS float64  `toml:"rest_s"`         // how long a task is left alone after its move
	QuarantineS   float64  `toml:"quarantine_s"`   // how long a task is left alone after its move failed
	LongRunningS  float64  `toml:"long_running_s"` // tasks that have run this long are not moved
	Policies      []Policy `toml:"policies"`
}

// Resource names a resource that rebalancing considers.
type Resource string

// Resources that rebalancing considers.
const (
	ResourceCPUs   Resource = "cpus"
	ResourceGPUs   Resource = "gpus"
	ResourceMemory Resource = "memory"
)

// Policy is how one resource counts in rebalancing a group of machines.
type Policy struct {
	Resource          Resource `toml:"resource"`
	Weight            float64  `toml:"weight"`
	Threshold         float64  `toml:"threshold"`          // difference between the highest and the lowest booked share above which tasks are moved
	CapacityThreshold float64  `toml:"capacity_threshold"` // booked share up to which a machine may receive tasks
}

// ScaleOut tunes how machines are rented and returned.
type ScaleOut struct {
	IdleS    float64 `toml:"idle_s"`   // how long a machine is idle before it is returned
	Headroom float64 `toml:"headroom"` // resources kept free for expected jobs, as a share of the open tasks of each class
}

// DefaultTuning returns the values of fields that the operators' file leaves out, and of all
// fields if there is no file.
func DefaultTuning() Tuning {
	return Tuning{
		Rebalance: Rebalance{
			Enabled: true, EveryS: 3, Budget: 3, CooldownS: 30, TaskCooldownS: 120, QuarantineS: 300, LongRunningS: 600,
			Policies: []Policy{
				{Resource: ResourceCPUs, Weight: 0.4, Threshold: 0.2, CapacityThreshold: 1},
				{Resource: ResourceGPUs, Weight: 0.4, Threshold: 0.2, CapacityThreshold: 1},
				{Resource: ResourceMemory, Weight: 0.2, Threshold: 0.2, CapacityThreshold: 1},
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

// ParseTuning reads and checks the text of an operators' file. Unlike in Settings, a field that
// is not known is an error: only operators write this file, so it must be misspelt.
func ParseTuning(text string) (Tuning, error) {
	t := DefaultTuning()
	defaults := t.Rebalance.Policies
	t.Rebalance.Policies = nil // a list in the file replaces the default list as a whole
	md, err := toml.Decode(text, &t)
	if err != nil {
		return Tuning{}, fmt.Errorf("tuning: %w", err)
	}
	if !md.IsDefined("rebalance", "policies") {
		t.Rebalance.Policies = defaults
	}
	var checks []check
	for _, key := range md.Undecoded() {
		checks = append(checks, check{key.String(), errUnknown})
	}
	checks = append(checks, t.Rebalance.check()...)
	checks = append(checks, t.check()...)
	if errs := problems("tuning", checks); len(errs) > 0 {
		return Tuning{}, errors.Join(errs...)
	}
	return t, nil
}

var errUnknown = errors.New("is not a setting")

// Bounds of the fields.
const (
	maxRebalanceBudget = 100
	maxHeadroom        = 5
	minStarvationBound = 30
	maxStarvationBound = 86400
	weightTolerance    = 1e-6
)

// check checks all but the rebalancer's fields.
func (t *Tuning) check() []check {
	checks := []check{
		duration("renting.idle_s", t.ScaleOut.IdleS),
		within("renting.headroom", t.ScaleOut.Headroom, 0, maxHeadroom),
	}
	if bound := t.Serving.StarvationBoundS; bound != 0 && !(bound >= minStarvationBound && bound <= maxStarvationBound) {
		checks = append(checks, check{"serving.begin_within_s", fmt.Errorf("must be 0, or from %d to %d", minStarvationBound, maxStarvationBound)})
	}
	if t.Metrics.Listen != "" {
		if _, _, err := net.SplitHostPort(t.Metrics.Listen); err != nil {
			checks = append(checks, check{"metrics.listen", fmt.Errorf("must be a host and a port: %w", err)})
		}
	}
	return checks
}

func (r *Rebalance) check() []check {
	checks := []check{
		duration("rebalance.every_s", r.EveryS),
		duration("rebalance.cooldown_s", r.CooldownS),
		duration("rebalance.rest_s", r.TaskCooldownS),
		duration("rebalance.quarantine_s", r.QuarantineS),
		duration("rebalance.long_running_s", r.LongRunningS),
		within("rebalance.budget", float64(r.Budget), 1, maxRebalanceBudget),
	}
	sum := 0.0
	seen := map[Resource]bool{}
	for i, p := range r.Policies {
		field := fmt.Sprintf("rebalance.policies[%d]", i)
		if !p.Resource.known() || seen[p.Resource] {
			checks = append(checks, check{field + ".resource", errors.New("must be cpus, gpus or memory, each once")})
		}
		seen[p.Resource] = true
		checks = append(checks, p.check(field)...)
		sum += p.Weight
	}
	if math.Abs(sum-1) > weightTolerance {
		checks = append(checks, check{"rebalance.policies", fmt.Errorf("have weights that sum to %g, not to 1.0", sum)})
	}
	return checks
}

func (r Resource) known() bool {
	return r == ResourceCPUs || r == ResourceGPUs || r == ResourceMemory
}

func (p *Policy) check(field string) []check {
	checks := []check{
		within(field+".weight", p.Weight, 0, 1),
		within(field+".threshold", p.Threshold, 0, 1),
	}
	if !(p.CapacityThreshold > 0 && p.CapacityThreshold <= 1) {
		checks = append(checks, check{field + ".capacity_threshold", errors.New("must be above 0 and at most 1")})
	}
	return checks
}
