package cluster

import "time"

// cloudInstance is what the cloud's responses and its list say about a machine. None of this
// proves anything about tasks on the machine, because the list lags.
type cloudInstance struct {
	createdAt      time.Time // when the machine was created, as far as known
	creationKnown  bool      // this leader requested the machine, so that createdAt is exact enough to time its boot
	requestedHere  bool      // the cloud named it in its response to a scale-out request of this leader
	cloudState     string    // as last listed; empty if it was never listed
	cloudStateAt   time.Time // when it was last listed
	scalingIn      bool      // its deletion was requested or will be; never reset
	bootLateLogged bool      // its late boot was logged
}

// recordScaleOut records that the cloud named the machine in its response to a scale-out
// request.
func (c *cloudInstance) recordScaleOut() { c.requestedHere = true }

// recordCreation records that createdAt is the time at which this leader requested the machine.
func (c *cloudInstance) recordCreation() { c.creationKnown = true }

// recordAge sets createdAt from the machine's age in the cloud's list.
func (c *cloudInstance) recordAge(age time.Duration, now time.Time) { c.createdAt = now.Add(-age) }

// recordListing records the machine's state in the cloud's list.
func (c *cloudInstance) recordListing(state string, now time.Time) {
	c.cloudState, c.cloudStateAt = state, now
}

// markScalingIn records that the machine may be deleted, so that no task is placed on it.
func (c *cloudInstance) markScalingIn() { c.scalingIn = true }

// markLateBootLogged records that the late boot of the machine has been logged.
func (c *cloudInstance) markLateBootLogged() { c.bootLateLogged = true }
