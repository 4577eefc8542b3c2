package cluster

import (
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

// This file rents machines for the calendar's batch windows ahead of what waits for room:
// package calendar says how many places they lack, and until when.

// windowProvision is what the batch windows want rented. It is decided anew with each forecast and
// rests on nothing that was decided before: a next leader counts what there is then,
// rented by whomever.
type windowProvision struct {
	job          *Job // what a place is for: the kind of which the batch windows have most work; nil: nothing is wanted yet
	targetPlaces int  // that there should be, all machines empty
	decidedAt    time.Time
	shortage     calendar.Shortage // as last worked out
}

const (
	provisionTTL         = 3 * forecastInterval                  // a decision holds that long if there is no other
	provisionMargin      = 2*forecastInterval + offerRefusalTime // for a forecast that comes late, and a refusal
	maxProvisionMachines = maxScaleOut                           // machines wanted at a time
)

// planProvision decides what is rented for the batch windows, and says what of it is to be told
// beside a forecast.
func (m *Model) planWindowProvision(loads []calendar.Load, usual *Job, free []float64, now time.Time) string {
	was := m.windows.provision.shortage
	m.windows.provision = windowProvision{}
	if usual == nil || now.Sub(m.ElectedAt) < m.provisionGracePeriod() {
		return ""
	}
	boot, per := m.bootTimeFor(usual)
	if per == 0 {
		return "" // no type is for it
	}
	w := calendar.FindShortage(now, loads, free, boot.Seconds(), maxProvisionMachines*per)
	there := int(m.placesWhenEmpty(usual, now))
	w.Places = min(w.Places, m.quotaPlacesLeft(usual, there))
	if w.Places <= 0 {
		return ""
	}
	if was.Places > 0 && w.Places >= was.Places && was.OrderBy.Before(w.OrderBy) {
		// While work goes slower than expected, a few places more each time would
		// put the order off, again and again.
		w.OrderBy = was.OrderBy
	}
	m.windows.provision.shortage = w
	if w.OrderBy.Sub(now) > provisionMargin {
		return fmt.Sprintf("; room for %d tasks more is to be rented until %s", w.Places, w.OrderBy.UTC().Format(time.RFC3339))
	}
	m.windows.provision = windowProvision{job: usual, targetPlaces: there + w.Places, decidedAt: now, shortage: w}
	note := fmt.Sprintf("; room for %d tasks more is rented", w.Places)
	if offers, _ := m.offers(now); !m.anyOfferFits(usual, offers) {
		note = fmt.Sprintf("; room for %d tasks more is wanted, and no machines are to be had", w.Places)
	}
	return note
}

// provisionGracePeriod is how long after takeover machines are taken for lost that have not
// been heard of: workers come back within their lease, and what an earlier leader
// rented shows in the cloud's list by then.
func (m *Model) provisionGracePeriod() time.Duration {
	w := m.settings.Cluster.Workers
	return max(config.Seconds(w.LeaseS), config.Seconds(2*m.settings.Cluster.Cloud.ListLagS+10)) + config.Seconds(w.ReportS)
}

// bootTimeFor is how long the machine that would be rented for a job takes to be up, by
// what has been learnt, and how many of its tasks it takes; 0: there is none.
func (m *Model) bootTimeFor(j *Job) (boot time.Duration, per int) {
	least := 0.0
	for ti := range m.MachineTypes {
		t := &m.MachineTypes[ti]
		if !j.AllowedTypes[ti] || !j.Need.Fits(t.Capacity) {
			continue
		}
		c := t.BootTime.Seconds() + 2*t.Price
		if t.Capacity.GPU > 0 && j.Need.GPU == 0 {
			c += 10
		}
		if per == 0 || c < least {
			least, per = c, tasksThatFit(j.Need, t.Capacity)
			boot = time.Duration(float64(t.BootTime)*t.bootTimes.expectedRatio()) + config.Seconds(m.settings.Cluster.Workers.ReportS)
		}
	}
	return boot, per
}

// quotaPlacesLeft is how many places more than there are a job's team may use.
func (m *Model) quotaPlacesLeft(j *Job, there int) int {
	n := 1 << 30
	if j.Team < 0 {
		return n
	}
	limit := m.teams[j.Team].Max
	for _, x := range [][2]float64{{j.Need.CPU, limit.CPU}, {j.Need.GPU, limit.GPU}} {
		if x[0] > 0 && x[1] > 0 {
			n = min(n, int(x[1]/x[0]+1e-6)-there)
		}
	}
	return n
}

func (m *Model) anyOfferFits(j *Job, offers []placement.Offer) bool {
	for i := range offers {
		o := &offers[i]
		if j.AllowedTypes[o.Type] && (j.Zone < 0 || j.Zone == o.Zone) && (!o.Spot || j.Spec.Spot) && j.Need.Fits(o.Machine.Capacity) {
			return true
		}
	}
	return false
}

// provisionRequest asks for the places that are lacking now. It is a placeholder, served
// after all that waits.
func (m *Model) provisionRequest(now time.Time) (placement.Request, bool) {
	a := &m.windows.provision
	if a.job == nil || now.Sub(a.decidedAt) > provisionTTL || m.recoveringFromStall(now) {
		return placement.Request{}, false
	}
	n := a.targetPlaces - m.placesExpected(a.job, now)
	if n <= 0 {
		return placement.Request{}, false
	}
	r := m.placeholder(&classStats{lastJob: a.job}, n)
	r.Provision, r.Zone = true, a.job.Zone
	return r, true
}

// placesExpected is like placesWhenEmpty, but counts machines whose heartbeats are late as
// well: they are replaced only when their leases have expired.
func (m *Model) placesExpected(j *Job, now time.Time) int {
	return m.placesOnMachines(j, now, func(mc *Machine) bool { return mc.Up && !mc.Gone && !mc.ScalingIn && mc.InterruptionAt.IsZero() })
}
