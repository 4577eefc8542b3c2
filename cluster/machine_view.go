// Decides which machines are ready, and converts machines to the form that scheduling passes use.

package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	maxSilentHeartbeats      = 2.5 // heartbeat intervals that a ready machine may be silent, plus the margin
	silenceMarginSeconds     = 2
	startLossSeconds         = 2   // work lost by stopping a task that does not run yet
	startDelaySeconds        = 5   // expected time from a task's placement to its start
	serviceSecondsLeft       = 1e9 // services run until they are stopped
	minSecondsLeft           = 5   // lower bound for a running task
	overrunDivisor           = 5   // a task beyond its estimate is expected to run for another 1/overrunDivisor of its run time
	reachabilityProofSeconds = 1   // expected time until a machine proves that it receives answers
	suspectedPenaltySeconds  = 300
	slowMachineRatio         = 1.5 // slowness from which a machine gets a penalty
	slownessPenaltySeconds   = 20  // penalty per unit of slowness
	minFetchSecondsLeft      = 0.5 // lower bound for an image that is being fetched
)

// Ready reports whether tasks can be placed on a machine now: its worker is alive, reachable
// and not silent for long, and the machine accepts tasks.
func (m *Model) Ready(mc *Machine, now time.Time) bool {
	w := m.settings.Cluster.Workers
	maxSilence := config.Seconds(min(w.HeartbeatS*maxSilentHeartbeats+silenceMarginSeconds, w.LeaseS/2))
	// A machine that has not shown this leader's token may not receive answers. It may also
	// be gone, and its heartbeats may be delayed copies.
	return mc.alive && mc.tokenShown && !mc.unreachable() && mc.acceptsTasks() && m.silentFor(mc, now) < maxSilence
}

// ExpectedMachines returns the number of machines that should be sending heartbeats. A leader
// that expects some and receives none for a while concludes that workers can't reach it, and
// resigns. If machines that are gone were counted, one leader after another would resign when
// a cluster becomes idle. The cloud's list lags behind deletions. It counts only while it is
// recent, and not soon after an election. Heartbeats count only if they carry this leader's
// token, because others may be delayed copies.
func (m *Model) ExpectedMachines(now time.Time) int {
	n := 0
	lag := m.cloudListLag()
	for _, mc := range m.Machines {
		listed := mc.cloudState == wire.MachineRunning && now.Sub(m.ElectedAt) > lag && now.Sub(mc.cloudStateAt) < lag
		if !mc.Gone && !mc.scalingIn && (mc.alive && mc.tokenShown || len(mc.Tasks) > 0 || listed) {
			n++
		}
	}
	return n
}

// preemptionLoss estimates the seconds of work that are lost if a task is stopped.
func (m *Model) preemptionLoss(j *Job, p *Placement, now time.Time) float64 {
	switch {
	case p.reportedState < reportedRunning:
		return startLossSeconds
	case j.Spec.CheckpointS > 0:
		return j.Spec.SaveS
	}
	return now.Sub(p.runningSince).Seconds()
}

// secondsLeft estimates the seconds until a task ends without being stopped.
func (m *Model) secondsLeft(j *Job, task int32, now time.Time) float64 {
	if j.Spec.Kind == wire.KindService {
		return serviceSecondsLeft
	}
	p, remaining := j.Tasks[task].Placement, m.remainingRunTime(j, task)
	if p.reportedState < reportedRunning || p.runningSince.IsZero() {
		return startDelaySeconds + remaining
	}
	ran := now.Sub(p.runningSince).Seconds()
	// A task that exceeds its estimate is likely to run for a while longer.
	return max(minSecondsLeft, ran/overrunDivisor, remaining-ran)
}

// machineView returns a machine in the form that a scheduling pass uses. It returns false for
// a machine that neither accepts tasks now nor is expected to soon. The images and tasks of
// the view are slices of the model's buffers and valid until the next pass.
// beyondGuarantee holds the tasks that may be preempted for work within a guaranteed quota.
func (m *Model) machineView(mc *Machine, beyondGuarantee map[TaskRef]bool, now time.Time) (placement.Machine, bool) {
	v := placement.Machine{Name: mc.Name, Type: mc.typeIndex, Zone: mc.Zone, Spot: mc.Spot}
	if m.Ready(mc, now) {
		v.Ready = true
	} else if m.mayProveReachable(mc, now) {
		v.ETA = reachabilityProofSeconds
	} else if eta, ok := m.estimateBootTimeLeft(mc, now); ok {
		v.ETA = eta
	} else {
		return v, false
	}
	t := &m.MachineTypes[mc.typeIndex]
	v.Capacity, v.Price, v.FetchRate = t.Capacity, t.Price, t.FetchRate
	if mc.Spot {
		v.Price = t.SpotPrice
	}
	v.Free = t.Capacity.Add(mc.Used, -1).Add(mc.orphaned, -1)
	if mc.suspected(now) {
		v.PenaltySeconds = suspectedPenaltySeconds
	}
	if mc.slowness > slowMachineRatio {
		v.PenaltySeconds += slownessPenaltySeconds * mc.slowness
	}
	firstImage := len(m.buffers.images)
	m.addOccupants(mc, &v, beyondGuarantee, now)
	for _, im := range mc.cachedImages {
		m.buffers.images = append(m.buffers.images, placement.ImageAt{Image: im})
	}
	v.Images = m.buffers.images[firstImage:]
	m.poolView(mc, &v)
	return v, true
}

// addOccupants adds a machine's tasks to its view, and the resources that its stopping tasks
// will free. It appends images that are being fetched for the tasks to the image buffer.
func (m *Model) addOccupants(mc *Machine, v *placement.Machine, beyondGuarantee map[TaskRef]bool, now time.Time) {
	firstImage, firstOccupant := len(m.buffers.images), len(m.buffers.occupants)
	m.buffers.taskRefs = appendSortedRefs(mc.Tasks, m.buffers.taskRefs[:0])
	for _, ref := range m.buffers.taskRefs {
		j := m.Jobs[ref.Job]
		p := j.Tasks[ref.Task].Placement
		if p.reportedState < reportedWaiting && v.FetchRate > 0 && !mc.hasImage(j.image) {
			left := max(minFetchSecondsLeft, j.Spec.ImageGB/v.FetchRate-now.Sub(p.placedAt).Seconds())
			if !slices.ContainsFunc(m.buffers.images[firstImage:], func(im placement.ImageAt) bool { return im.Image == j.image }) {
				m.buffers.images = append(m.buffers.images, placement.ImageAt{Image: j.image, ReadyInSeconds: left})
				v.FetchBacklogSeconds += left
			}
		}
		stopping := p.Stop != nil || p.StopHeld
		if stopping {
			v.Releasing = v.Releasing.Add(j.Need, 1)
		}
		m.buffers.occupants = append(m.buffers.occupants, placement.Occupant{
			Task: ref, Need: j.Need, Priority: j.priority, Team: j.team, OverGuarantee: beyondGuarantee[ref], Tier: j.tier,
			LossSeconds: m.preemptionLoss(j, p, now), RemainingSeconds: m.secondsLeft(j, ref.Task, now), Stopping: stopping,
			NonPreemptible: stopping || j.Gang() && len(j.Tasks) > 1 || m.isStartProtected(j, now),
		})
	}
	v.Tasks = m.buffers.occupants[firstOccupant:]
}
