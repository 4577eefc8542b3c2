package cluster

import (
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

// This file scales out for the calendar's batch windows ahead of their deadlines: package
// calendar says how many places they lack, and until when these must be requested.

// windowProvision is the scale-out that the batch windows need. It is decided anew with each
// forecast by all machines that there are then, also those that an earlier leader rented, so
// that a new leader needs no record of it.
type windowProvision struct {
	job          *Job // a place has room for one of its tasks; nil: nothing is to be rented now
	targetPlaces int  // places there should be, with all machines empty
	decidedAt    time.Time
	shortage     calendar.Shortage // as last computed
}

const (
	provisionDecisionTTL = 3 * forecastInterval                  // a decision that is not renewed ends after it
	provisionMargin      = 2*forecastInterval + offerRefusalTime // machines are requested earlier by it, as a forecast may be late and an offer refused
	maxProvisionMachines = maxScaleOut                           // machines wanted at a time
	unlimitedPlaces      = 1 << 30                               // without a quota
)

// cancelProvision drops the decided scale-out; the next forecast decides anew.
func (w *batchWindows) cancelProvision() { w.provision = windowProvision{} }

// planWindowProvision decides what is rented for the batch windows. It returns a note on that
// for the reasons of forecasts that are at risk. A place has room for a task of the job referenceJob.
func (m *Model) planWindowProvision(loads []calendar.Load, referenceJob *Job, free []float64, now time.Time) string {
	windows := &m.windows
	previous := windows.provision.shortage
	windows.cancelProvision()
	if referenceJob == nil || now.Sub(m.ElectedAt) < m.provisionGracePeriod() {
		return ""
	}
	boot, perMachine := m.bootTimeFor(referenceJob)
	if perMachine == 0 {
		return "" // no machine type can take it
	}
	shortage := calendar.FindShortage(now, loads, free, boot.Seconds(), maxProvisionMachines*perMachine)
	present := int(m.placesWhenEmpty(referenceJob, now))
	shortage.Places = min(shortage.Places, m.quotaPlacesLeft(referenceJob, present))
	if shortage.Places <= 0 {
		return ""
	}
	if previous.Places > 0 && shortage.Places >= previous.Places && previous.OrderBy.Before(shortage.OrderBy) {
		// While work goes slower than expected, a few more places each time would
		// postpone the order again and again.
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

// provisionGracePeriod is how long after its election a leader rents nothing for batch
// windows. By then it has had heartbeats from all machines whose leases have not expired, and
// the cloud's list shows what an earlier leader rented.
func (m *Model) provisionGracePeriod() time.Duration {
	workers := m.settings.Cluster.Workers
	return max(config.Seconds(workers.LeaseS), config.Seconds(2*m.settings.Cluster.Cloud.ListLagS+10)) + config.Seconds(workers.HeartbeatS)
}

// Penalties that bootTimeFor adds to a type's boot time, as the placement of scale-out does.
const (
	bootSecondsPerPrice = 2  // per unit of the hourly price
	unusedGPUSeconds    = 10 // for a type with GPUs that the job doesn't need
)

// bootTimeFor returns how long the machine that would be rented for a job takes to be up, by
// the boot times seen so far, and how many of the job's tasks it takes; 0 if there is none.
func (m *Model) bootTimeFor(j *Job) (boot time.Duration, perMachine int) {
	least := 0.0
	for i := range m.MachineTypes {
		t := &m.MachineTypes[i]
		if !j.allowedTypes[i] || !j.Need.Fits(t.Capacity) {
			continue
		}
		cost := t.BootTime.Seconds() + bootSecondsPerPrice*t.Price
		if t.Capacity.GPU > 0 && j.Need.GPU == 0 {
			cost += unusedGPUSeconds
		}
		if perMachine == 0 || cost < least {
			least, perMachine = cost, tasksThatFit(j.Need, t.Capacity)
			boot = time.Duration(float64(t.BootTime)*t.bootTimes.expectedRatio()) + config.Seconds(m.settings.Cluster.Workers.HeartbeatS)
		}
	}
	return boot, perMachine
}

// quotaPlacesLeft is how many places a job's team may use beyond those present.
func (m *Model) quotaPlacesLeft(j *Job, present int) int {
	places := unlimitedPlaces
	if j.team < 0 {
		return places
	}
	limit := m.teams[j.team].Max
	for _, resource := range []struct{ need, limit float64 }{{j.Need.CPU, limit.CPU}, {j.Need.GPU, limit.GPU}} {
		if resource.need > 0 && resource.limit > 0 {
			places = min(places, int(resource.limit/resource.need+1e-6)-present)
		}
	}
	return places
}

// anyOfferFits reports whether one of the machines on offer can take a task of a job.
func (m *Model) anyOfferFits(j *Job, offers []placement.Offer) bool {
	for i := range offers {
		o := &offers[i].Machine
		if j.allowedTypes[o.Type] && j.allowsZone(o.Zone) && (!o.Spot || j.Spec.Spot) && j.Need.Fits(o.Capacity) {
			return true
		}
	}
	return false
}

// provisionRequest returns a placeholder for the places that are lacking now, which is served
// after the requests of all waiting jobs; false if none is lacking.
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

// placesExpected is like placesWhenEmpty, but counts machines whose heartbeats are late as
// well: they are replaced only when their leases have expired.
func (m *Model) placesExpected(j *Job, now time.Time) int {
	return m.placesOnMachines(j, now, func(mc *Machine) bool { return mc.alive && !mc.Gone && !mc.scalingIn && mc.interruptionAt.IsZero() })
}
