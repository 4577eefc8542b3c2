// Computes the demand for the replicas of each warm pool, and follows new versions of the pool's
// model.

package cluster

import (
	"math"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// replicaDemand is the demand of the jobs that a warm pool serves.
type replicaDemand struct {
	open               int                    // replicas that are not done, whether placed or waiting
	priority           int                    // highest priority of the jobs; 0 is the highest
	class              string                 // of the first job
	replicasPerMachine int                    // least number that a machine of the pool has room for; 0 if unknown
	images             map[string]imageDemand // by image name
}

// imageDemand is the demand for one version of a pool's model, which is an image.
type imageDemand struct {
	replicas  int
	weightsGB float64
	newestJob time.Time // acceptance time of the newest job
}

// replicaDemands returns the demand for each pool, in the order of warmPools.all. It skips jobs
// at fault and prefetches.
func (m *Model) replicaDemands() []replicaDemand {
	demands := make([]replicaDemand, len(m.pools.all))
	for _, idx := range m.openIndexes {
		j := m.Jobs[idx]
		if j == nil || j.Cancelled || j.Finished || j.failures.atFault() || m.isPrefetch(j) {
			continue
		}
		for i, p := range m.pools.all {
			if p.Serves(j.Spec.Image) && p.AllowsTeam(j.Spec.Team) {
				demands[i].add(j, m.replicasPerMachine(p, j.Need))
			}
		}
	}
	return demands
}

// add adds the tasks of a job that are not done. replicasPerMachine is the result of
// Model.replicasPerMachine for the job.
func (d *replicaDemand) add(j *Job, replicasPerMachine int) {
	if d.images == nil {
		*d = replicaDemand{priority: j.priority, class: j.Spec.Class, images: map[string]imageDemand{}}
	}
	replicas := len(j.Tasks) - j.DoneTasks
	d.open += replicas
	d.priority = min(d.priority, j.priority)
	image := d.images[j.Spec.Image]
	image.replicas += replicas
	image.weightsGB = j.Spec.ImageGB
	if j.AcceptedAt.After(image.newestJob) {
		image.newestJob = j.AcceptedAt
	}
	d.images[j.Spec.Image] = image
	if replicasPerMachine > 0 && (d.replicasPerMachine == 0 || replicasPerMachine < d.replicasPerMachine) {
		d.replicasPerMachine = replicasPerMachine
	}
}

// replicasPerMachine returns how many replicas with the given need fit on the machine type of a
// pool that has room for the fewest. Types without room for one are ignored. The result is 0 if no
// type has room.
func (m *Model) replicasPerMachine(p *warmPool, need placement.Resources) int {
	fewest := 0
	for i := range m.MachineTypes {
		t := &m.MachineTypes[i]
		if !slices.Contains(p.Types, t.Name) || !need.Fits(t.Capacity) {
			continue
		}
		replicas := math.MaxInt32
		for _, resource := range []struct{ need, capacity float64 }{{need.CPU, t.Capacity.CPU}, {need.GPU, t.Capacity.GPU}, {need.Mem, t.Capacity.Mem}} {
			if resource.need > 0 {
				replicas = min(replicas, int(resource.capacity/resource.need+fitTolerance))
			}
		}
		if fewest == 0 || replicas < fewest {
			fewest = replicas
		}
	}
	return fewest
}

// followModelVersion sets the model version of a pool to the one that most replicas need. Of two
// versions with equally many replicas, it chooses the one with the newer job. It changes nothing
// without demand.
func (m *Model) followModelVersion(p *warmPool, demand replicaDemand) {
	if demand.open == 0 {
		return
	}
	p.record.Priority, p.record.ReplicasPerMachine, p.record.Class = demand.priority, max(demand.replicasPerMachine, 1), demand.class
	best := p.record.Image
	for name, image := range demand.images {
		most := demand.images[best]
		if image.replicas > most.replicas || image.replicas == most.replicas && image.newestJob.After(most.newestJob) {
			best = name
		}
	}
	if weightsGB := demand.images[best].weightsGB; best != p.record.Image || weightsGB != p.record.WeightsGB {
		m.log.Info("warm pool model version changed", "pool", p.Name, "was", p.record.Image, "is", best)
		p.setImage(best, weightsGB)
	}
}
