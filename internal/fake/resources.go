package fake

import (
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// tolerance is what sums of resources may be off by rounding.
const tolerance = 1e-6

// resources are what tasks need and machines have.
type resources struct{ cpus, gpus, memoryGB float64 }

func resourcesOf(t wire.MachineType) resources { return resources{t.CPUs, t.GPUs, t.MemoryGB} }

// plus adds what a task of a job needs.
func (r resources) plus(j *wire.Job) resources {
	return resources{r.cpus + j.CPUs, r.gpus + j.GPUs, r.memoryGB + j.MemoryGB}
}

// minus takes away what a task of a job needs.
func (r resources) minus(j *wire.Job) resources {
	return resources{r.cpus - j.CPUs, r.gpus - j.GPUs, r.memoryGB - j.MemoryGB}
}

// fitIn reports whether these are no more than what there is.
func (r resources) fitIn(there resources) bool {
	return r.cpus <= there.cpus+tolerance && r.gpus <= there.gpus+tolerance && r.memoryGB <= there.memoryGB+tolerance
}

// exceedsQuota reports whether a team would use more than it may; a limit of 0 is none.
func exceedsQuota(team config.Team, cpus, gpus float64) bool {
	return team.CPUsMax > 0 && cpus > team.CPUsMax+tolerance || team.GPUsMax > 0 && gpus > team.GPUsMax+tolerance
}
