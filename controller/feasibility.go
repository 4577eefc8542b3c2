// Rejection of submitted jobs that could never run.

package controller

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Tolerances for rounding errors: a sum of decimal quantities may differ slightly from the
// limit that it is meant to equal.
const (
	quotaTolerance    = 1e-6
	capacityTolerance = 1e-9
)

// errRecordTooLarge means that the key-value store takes no value of the size of a job's record.
var errRecordTooLarge = errors.New("too large to be stored")

// checkFeasible returns an error unless the job can run in this cluster. With an error, status
// is 422 if the job can never run, and 503 if the machine types are not known yet. Without an
// error, status is 0. It shortens the job's list of allowed machine types if its record would be
// too large for a value of the key-value store.
func (n *Node) checkFeasible(job *wire.Job) (status int, err error) {
	if err := n.checkQuota(job); err != nil {
		return http.StatusUnprocessableEntity, err
	}
	types := n.machineTypes()
	if types == nil {
		return http.StatusServiceUnavailable, errors.New("the machine types are not known yet")
	}
	zones := zonesThatFit(types, job)
	if zones == 0 {
		return http.StatusUnprocessableEntity, errors.New("a task fits no allowed machine type")
	}
	// A spread job has at most half of its tasks, rounded up, in one zone.
	if job.Spread && job.Kind != wire.KindArray && zones*int(math.Ceil(float64(job.Tasks)/2)) < job.Tasks {
		return http.StatusUnprocessableEntity, errors.New("cannot be spread over the zones it may use")
	}
	if !n.fitRecord(job, types) {
		return http.StatusUnprocessableEntity, errRecordTooLarge
	}
	return 0, nil
}

// fitRecord reports whether the record of a feasible job fits into a value of the key-value store.
// If it does not, fitRecord first removes the names of types that the cloud does not offer from
// the job's list. A feasible job's list has at least one that it offers.
func (n *Node) fitRecord(job *wire.Job, types []wire.MachineType) bool {
	limits := jobstore.LimitsOf(n.cfg.Cluster.State)
	if limits.FitsJob(job) {
		return true
	}
	var offered []string
	for i := range types {
		if slices.Contains(job.Types, types[i].Name) {
			offered = append(offered, types[i].Name)
		}
	}
	job.Types = offered
	return limits.FitsJob(job)
}

// checkQuota returns an error if the tasks that must run at the same time exceed the limits of
// the job's team, or if the team is unknown. The tasks of an array can run one at a time.
func (n *Node) checkQuota(job *wire.Job) error {
	known := false
	for _, team := range n.cfg.Cluster.Teams {
		if team.Name != job.Team {
			continue
		}
		known = true
		concurrentTasks := 1.0
		if job.Kind != wire.KindArray {
			concurrentTasks = float64(job.Tasks)
		}
		tooManyCPUs := team.CPUsMax > 0 && job.CPUs*concurrentTasks > team.CPUsMax+quotaTolerance
		tooManyGPUs := team.GPUsMax > 0 && job.GPUs*concurrentTasks > team.GPUsMax+quotaTolerance
		if tooManyCPUs || tooManyGPUs {
			return fmt.Errorf("needs more than the limit of team %s", job.Team)
		}
	}
	if !known {
		return fmt.Errorf("unknown team %s", job.Team)
	}
	return nil
}

// zonesThatFit counts the zones that a job may use and that have an allowed machine type on
// which a task of the job fits.
func zonesThatFit(types []wire.MachineType, job *wire.Job) int {
	zones := map[string]bool{}
	for i := range types {
		machineType := &types[i]
		allowed := len(job.Types) == 0 || slices.Contains(job.Types, machineType.Name)
		if !allowed || job.CPUs > machineType.CPUs+capacityTolerance || job.GPUs > machineType.GPUs+capacityTolerance || job.MemoryGB > machineType.MemoryGB+capacityTolerance {
			continue
		}
		for _, zone := range machineType.Zones {
			if job.Zone == "" || job.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return len(zones)
}
