// The operators' settings file.

package config

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"

	"github.com/BurntSushi/toml"
)

// Tuning is the content of the operators' file. DefaultTuning returns the defaults of its fields.
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
	// StarvationBoundS is the time in seconds, from its acceptance, within which every job starts
	// for which the cluster has resources. It takes precedence over the service-level objectives.
	// 0 means no bound.
	StarvationBoundS float64 `toml:"begin_within_s"`
}

// JobStore tunes how jobs are recorded.
type JobStore struct {
	SharedPages bool `toml:"intake"` // jobs share records (jobstore.JobPage) once all nodes can read such records
}

// Launches tunes how launches reach workers.
type Launches struct {
	WakeWorkers bool `toml:"summon"` // the leader asks a worker for a heartbeat as soon as a launch for it is ready
}

// Metrics configures the endpoint where a node serves its metrics.
type Metrics struct {
	Listen string `toml:"listen"` // host:port; empty means that metrics are not served
}

// Rebalance tunes rebalancing.
type Rebalance struct {
	Enabled       bool     `toml:"enabled"`
	EveryS        float64  `toml:"every_s"`        // seconds between cycles
	Budget        int      `toml:"budget"`         // maximum number of moves in a cycle
	CooldownS     float64  `toml:"cooldown_s"`     // time without further moves in a group of machines after moves in it
	TaskCooldownS float64  `toml:"rest_s"`         // time for which a task is not moved again
	QuarantineS   float64  `toml:"quarantine_s"`   // time for which a task is not moved after a failed move
	LongRunningS  float64  `toml:"long_running_s"` // tasks that have run for this time are not moved
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

// Policy configures how rebalancing treats one resource in a group of machines. The weights of all
// policies sum to 1.
type Policy struct {
	Resource          Resource `toml:"resource"`
	Weight            float64  `toml:"weight"`
	Threshold         float64  `toml:"threshold"`          // tasks are moved if the highest and lowest booked share differ by more
	CapacityThreshold float64  `toml:"capacity_threshold"` // booked share up to which a machine may receive tasks
}

// ScaleOut tunes scale-out and scale-in.
type ScaleOut struct {
	IdleS    float64 `toml:"idle_s"`   // idle time after which a machine is returned
	Headroom float64 `toml:"headroom"` // resources kept free for expected jobs, as a share of the open tasks of each class
}

// DefaultTuning returns the defaults of the fields. They apply to each field that the operators'
// file omits.
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

// LoadTuning reads and validates the operators' file at path. An empty path gives the defaults.
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

// ParseTuning decodes and validates the text of an operators' file. The error joins a FieldError for
// each invalid field. Unlike in Settings, an unknown field is an error: only operators write this
// file, so the name must be misspelled.
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
	maxRebalanceBudget  = 100
	maxHeadroom         = 5
	minStarvationBoundS = 30
	maxStarvationBoundS = 86400
	weightTolerance     = 1e-6 // for the sum of the policies' weights
)

// check checks all fields except those of Rebalance.
func (t *Tuning) check() []check {
	checks := []check{
		duration("renting.idle_s", t.ScaleOut.IdleS),
		within("renting.headroom", t.ScaleOut.Headroom, 0, maxHeadroom),
	}
	if bound := t.Serving.StarvationBoundS; bound != 0 && !(bound >= minStarvationBoundS && bound <= maxStarvationBoundS) {
		checks = append(checks, check{"serving.begin_within_s", fmt.Errorf("must be 0, or from %d to %d", minStarvationBoundS, maxStarvationBoundS)})
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
	weightSum := 0.0
	seen := map[Resource]bool{}
	for i, p := range r.Policies {
		field := fmt.Sprintf("rebalance.policies[%d]", i)
		if !p.Resource.known() || seen[p.Resource] {
			checks = append(checks, check{field + ".resource", errors.New("must be cpus, gpus or memory, each once")})
		}
		seen[p.Resource] = true
		checks = append(checks, p.check(field)...)
		weightSum += p.Weight
	}
	if math.Abs(weightSum-1) > weightTolerance {
		checks = append(checks, check{"rebalance.policies", fmt.Errorf("have weights that sum to %g, not to 1.0", weightSum)})
	}
	return checks
}

// known reports whether r is one of the resources declared above.
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
