package cluster

import (
	"math"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file counts the replicas of each warm pool's model, and decides by them which version
// of the model the pool holds.

// replicaDemand is the demand of the jobs that a pool serves.
type replicaDemand struct {
	open               int // replicas, placed or waiting
	priority           int // highest of the jobs, 0 first
	class              string
	replicasPerMachine int
	images             map[string]imageDemand
}

// imageDemand is the demand for one version of a pool's model.
type imageDemand struct {
	replicas  int
	weightsGB float64
	newestJob time.Time // when the newest of its jobs was accepted
}

// replicaDemands counts the demand for each pool.
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

// add counts the tasks of a job that are not done. replicasPerMachine is how many of them
// the smallest machine takes.
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

// replicasPerMachine is how many replicas the smallest machine of a pool takes.
func (m *Model) replicasPerMachine(p *warmPool, need placement.Resources) int {
	least := 0
	for i := range m.MachineTypes {
		t := &m.MachineTypes[i]
		if !slices.Contains(p.Types, t.Name) || !need.Fits(t.Capacity) {
			continue
		}
		replicas := math.MaxInt32
		for _, resource := range []struct{ need, capacity float64 }{{need.CPU, t.Capacity.CPU}, {need.GPU, t.Capacity.GPU}, {need.Mem, t.Capacity.Mem}} {
			if resource.need > 0 {
				replicas = min(replicas, int(resource.capacity/resource.need+1e-6))
			}
		}
		if least == 0 || replicas < least {
			least = replicas
		}
	}
	return least
}

// followModelVersion makes a pool hold the version of its model that most replicas need; of
// two with as many replicas, the one with the newer job.
func (m *Model) followModelVersion(p *warmPool, d replicaDemand) {
	if d.open == 0 {
		return
	}
	p.record.Priority, p.record.ReplicasPerMachine, p.record.Class = d.priority, max(d.replicasPerMachine, 1), d.class
	best := p.record.Image
	for name, image := range d.images {
		most := d.images[best]
		if image.replicas > most.replicas || image.replicas == most.replicas && image.newestJob.After(most.newestJob) {
			best = name
		}
	}
	if weightsGB := d.images[best].weightsGB; best != p.record.Image || weightsGB != p.record.WeightsGB {
		m.log.Info("warm pool model version changed", "pool", p.Name, "was", p.record.Image, "is", best)
		p.setImage(best, weightsGB)
	}
}
