// Scales out for the calendar's batch windows ahead of their deadlines. Package calendar computes
// how many places they lack, and by when these must be requested.

package cluster

import (
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

// windowProvision is the scale-out that the batch windows need. Each forecast decides it anew from
// all present machines, including those that an earlier leader rented. A new leader therefore needs
// no record of it.
type windowProvision struct {
	job          *Job // a place holds one of its tasks; nil if nothing is to be rented now
	targetPlaces int  // required number of places, counted as if all machines were empty
	decidedAt    time.Time
	shortage     calendar.Shortage // last computed shortage
}

const (
	provisionDecisionTTL = 3 * forecastInterval                  // lifetime of a decision that is not renewed
	provisionMargin      = 2*forecastInterval + offerRefusalTime // extra lead time, since a forecast may be late and an offer refused
	maxProvisionMachines = maxScaleOut                           // maximum number of machines requested at a time
	unlimitedPlaces      = 1 << 30                               // number of places without a quota
)

// cancelProvision drops the decided scale-out. The next forecast decides anew.
func (w *batchWindows) cancelProvision() { w.provision = windowProvision{} }

// planWindowProvision decides what is rented for the batch windows. It returns a note on the
// decision, which is appended to the reasons of forecasts that are at risk, or "". A place holds one
// task of referenceJob, which is nil if no task waits. free has the seconds until each place is free.
func (m *Model) planWindowProvision(loads []calendar.Load, referenceJob *Job, free []float64, now time.Time) string {
	windows := &m.windows
	previous := windows.provision.shortage
	windows.cancelProvision()
	if referenceJob == nil || now.Sub(m.ElectedAt) < m.provisionGracePeriod() {
		return ""
	}
	boot, perMachine := m.bootTimeFor(referenceJob)
	if perMachine == 0 {
		return "" // the job fits on no machine type
	}
	shortage := calendar.FindShortage(now, loads, free, boot.Seconds(), maxProvisionMachines*perMachine)
	present := int(m.placesWhenEmpty(referenceJob, now))
	shortage.Places = min(shortage.Places, m.quotaPlacesLeft(referenceJob, present))
	if shortage.Places <= 0 {
		return ""
	}
	if previous.Places > 0 && shortage.Places >= previous.Places && previous.OrderBy.Before(shortage.OrderBy) {
		// If work progresses slower than expected, a few more places are lacking at each
		// forecast. Without this rule, the order would be postponed each time.
		shortage.OrderBy = previous.OrderBy
	}
	windows.provision.shortage = shortage
	if shortage.OrderBy.Sub(now) > provisionMargin {
		return fmt.Sprintf("; room for %d tasks more is to be rented until %s", shortage.Places, shortage.OrderBy.UTC().Format(time.RFC3339))
	}
	windows.provision = windowProvision{job: referenceJob, targetPlaces: present + shortage.Places, decidedAt: now, shortage: shortage}
	if offers, _ := m.offers(now); !m.anyOfferFits(referenceJob, offers) {
		return fmt.Sprintf("; room for %d tasks more is wanted, and no machines are to be had", shortage.Places)
	}
	return fmt.Sprintf("; room for %d tasks more is rented", shortage.Places)
}

// provisionGracePeriod returns the time after its election in which a leader rents nothing for
// batch windows. Afterwards it has received heartbeats from all machines whose leases have not
// expired, and the cloud's list shows the machines that an earlier leader rented.
func (m *Model) provisionGracePeriod() time.Duration {
	workers := m.settings.Cluster.Workers
	return max(config.Seconds(workers.LeaseS), m.cloudListLag()) + config.Seconds(workers.HeartbeatS)
}

// Penalties, in seconds, that bootTimeFor adds to a type's boot time. Package placement adds the
// same when it scales out.
const (
	bootSecondsPerPrice = 2  // per unit of the hourly price
	unusedGPUSeconds    = 10 // for a type with GPUs that the job doesn't need
)

// bootTimeFor returns the expected time until the machine that would be rented for a job is ready,
// and how many of the job's tasks it holds. The boot time follows from those observed so far.
// perMachine is 0 if the job fits on no machine type.
func (m *Model) bootTimeFor(j *Job) (boot time.Duration, perMachine int) {
	leastCost := 0.0
	for i := range m.MachineTypes {
		t := &m.MachineTypes[i]
		if !j.allowedTypes[i] || !j.Need.Fits(t.Capacity) {
			continue
		}
		cost := t.BootTime.Seconds() + bootSecondsPerPrice*t.Price
		if t.Capacity.GPU > 0 && j.Need.GPU == 0 {
			cost += unusedGPUSeconds
		}
		if perMachine == 0 || cost < leastCost {
			leastCost, perMachine = cost, tasksThatFit(j.Need, t.Capacity)
			boot = time.Duration(float64(t.BootTime)*t.bootTimes.expectedRatio()) + config.Seconds(m.settings.Cluster.Workers.HeartbeatS)
		}
	}
	return boot, perMachine
}

// quotaPlacesLeft returns how many places a job's team may use in addition to those present. The
// result may be negative, and is unlimitedPlaces for a job without a team.
func (m *Model) quotaPlacesLeft(j *Job, present int) int {
	places := unlimitedPlaces
	if j.team < 0 {
		return places
	}
	limit := m.teams[j.team].Max
	for _, resource := range []struct{ need, limit float64 }{{j.Need.CPU, limit.CPU}, {j.Need.GPU, limit.GPU}} {
		if resource.need > 0 && resource.limit > 0 {
			places = min(places, int(resource.limit/resource.need+fitTolerance)-present)
		}
	}
	return places
}

// anyOfferFits reports whether a task of the job fits on a machine of one of the offers.
func (m *Model) anyOfferFits(j *Job, offers []placement.Offer) bool {
	for i := range offers {
		o := &offers[i].Machine
		if j.allowedTypes[o.Type] && j.allowsZone(o.Zone) && (!o.Spot || j.Spec.Spot) && j.Need.Fits(o.Capacity) {
			return true
		}
	}
	return false
}

// provisionRequest returns a placeholder for the places that are lacking now. It is served after
// the requests of all waiting jobs. provisionRequest returns false if no place is lacking.
func (m *Model) provisionRequest(now time.Time) (placement.Request, bool) {
	provision := &m.windows.provision
	if provision.job == nil || now.Sub(provision.decidedAt) > provisionDecisionTTL || m.recoveringFromStall(now) {
		return placement.Request{}, false
	}
	lacking := provision.targetPlaces - m.placesExpected(provision.job, now)
	if lacking <= 0 {
		return placement.Request{}, false
	}
	request := m.placeholder(provision.job, lacking)
	request.Provision, request.Zone = true, provision.job.zone
	return request, true
}

// placesExpected is like placesWhenEmpty, but also counts machines whose heartbeats are late. Such
// machines are replaced only after their leases have expired.
func (m *Model) placesExpected(j *Job, now time.Time) int {
	return m.placesOnMachines(j, now, func(mc *Machine) bool { return mc.alive && !mc.Gone && !mc.scalingIn && mc.interruptionAt.IsZero() })
}
