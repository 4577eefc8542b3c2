package controller

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

// This file refuses jobs that could never run.

// Sums of quantities given as decimals differ a little from their limits although they
// are meant to be equal.
const (
	quotaTolerance    = 1e-6
	capacityTolerance = 1e-9
)

// checkFeasible tells whether a job can ever run. Where it returns an error, the status
// is 422 if the job can't, and 503 if that is not known yet.
func (n *Node) checkFeasible(j *wire.Job) (status int, err error) {
	if err := n.checkQuota(j); err != nil {
		return http.StatusUnprocessableEntity, err
	}
	types := n.machineTypes()
	if types == nil {
		return http.StatusServiceUnavailable, errors.New("the machine types are not known yet")
	}
	zones := zonesThatFit(types, j)
	if zones == 0 {
		return http.StatusUnprocessableEntity, errors.New("a task fits no allowed machine type")
	}
	// A spread job has at most half of its tasks, rounded up, in one zone.
	if j.Spread && j.Kind != wire.KindArray && zones*int(math.Ceil(float64(j.Tasks)/2)) < j.Tasks {
		return http.StatusUnprocessableEntity, errors.New("cannot be spread over the zones it may use")
	}
	return 0, nil
}

// checkQuota returns an error if the tasks that must run together exceed the limit of
// their team, or if there is no such team. The tasks of an array run one by one.
func (n *Node) checkQuota(j *wire.Job) error {
	known := false
	for _, t := range n.cfg.Cluster.Teams {
		if t.Name != j.Team {
			continue
		}
		known = true
		together := 1.0
		if j.Kind != wire.KindArray {
			together = float64(j.Tasks)
		}
		tooManyCPUs := t.CPUsMax > 0 && j.CPUs*together > t.CPUsMax+quotaTolerance
		tooManyGPUs := t.GPUsMax > 0 && j.GPUs*together > t.GPUsMax+quotaTolerance
		if tooManyCPUs || tooManyGPUs {
			return fmt.Errorf("needs more than the limit of team %s", j.Team)
		}
	}
	if !known {
		return fmt.Errorf("unknown team %s", j.Team)
	}
	return nil
}

// zonesThatFit counts the zones in which a job may run and that have a machine type on
// which one of its tasks fits.
func zonesThatFit(types []wire.MachineType, j *wire.Job) int {
	zones := map[string]bool{}
	for i := range types {
		t := &types[i]
		allowed := len(j.Types) == 0 || slices.Contains(j.Types, t.Name)
		if !allowed || j.CPUs > t.CPUs+capacityTolerance || j.GPUs > t.GPUs+capacityTolerance || j.MemoryGB > t.MemoryGB+capacityTolerance {
			continue
		}
		for _, z := range t.ZonesNamed {
			if j.Zone == "" || j.Zone == z {
				zones[z] = true
			}
		}
	}
	return len(zones)
}
