// Sums and comparisons of resources, for the checks of machines and quotas.

package fake

import (
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// tolerance is the accepted rounding error of sums of resources.
const tolerance = 1e-6

// resources are amounts that tasks need or machines have.
type resources struct{ cpus, gpus, memoryGB float64 }

func resourcesOf(t wire.MachineType) resources { return resources{t.CPUs, t.GPUs, t.MemoryGB} }

// plus returns the sum of r and the needs of a job's task.
func (r resources) plus(j *wire.Job) resources {
	return resources{r.cpus + j.CPUs, r.gpus + j.GPUs, r.memoryGB + j.MemoryGB}
}

// minus returns r less the needs of a job's task.
func (r resources) minus(j *wire.Job) resources {
	return resources{r.cpus - j.CPUs, r.gpus - j.GPUs, r.memoryGB - j.MemoryGB}
}

// fitIn reports whether r is at most the available resources.
func (r resources) fitIn(available resources) bool {
	return r.cpus <= available.cpus+tolerance && r.gpus <= available.gpus+tolerance && r.memoryGB <= available.memoryGB+tolerance
}

// exceedsQuota reports whether the usage is above a team's quota. A quota of 0 means no limit.
func exceedsQuota(team config.Team, cpus, gpus float64) bool {
	return team.CPUsMax > 0 && cpus > team.CPUsMax+tolerance || team.GPUsMax > 0 && gpus > team.GPUsMax+tolerance
}
