package cluster

import "time"

// cloudInstance is a machine as the cloud's responses and its list describe it. None of it
// is proof about the tasks on the machine, because the list lags.
type cloudInstance struct {
	createdAt      time.Time // when it was rented, as far as known
	creationKnown  bool      // this leader rented it, so that its boot can be timed from createdAt
	requestedHere  bool      // named in the cloud's response to a scale-out request of this leader
	cloudState     string    // as last listed; empty until then
	cloudStateAt   time.Time // when it was last listed
	scalingIn      bool      // its deletion has been or is about to be requested; never taken back
	bootLateLogged bool      // that it is late has been logged
}

// recordScaleOut records that the cloud named the machine in its response to a scale-out
// request.
func (c *cloudInstance) recordScaleOut() { c.requestedHere = true }

// recordCreation records that createdAt is when this leader rented the machine.
func (c *cloudInstance) recordCreation() { c.creationKnown = true }

// recordAge derives from a machine's listed age when it was rented.
func (c *cloudInstance) recordAge(age time.Duration, now time.Time) { c.createdAt = now.Add(-age) }

// recordListing records the state in which the cloud lists the machine.
func (c *cloudInstance) recordListing(state string, now time.Time) {
	c.cloudState, c.cloudStateAt = state, now
}

// markScalingIn keeps tasks from being placed on the machine, since it may be deleted.
func (c *cloudInstance) markScalingIn() { c.scalingIn = true }

// markLateBootLogged records that the late boot of the machine has been logged.
func (c *cloudInstance) markLateBootLogged() { c.bootLateLogged = true }
