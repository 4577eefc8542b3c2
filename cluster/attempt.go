package cluster

import "time"

// reportedState is the state of a task in the last heartbeat of its machine that lists it. The
// states are ordered as a task passes through them.
type reportedState uint8

const (
	notReported      reportedState = iota
	reportedFetching               // its image is being fetched
	reportedWaiting                // it waits for the other tasks of its gang
	reportedRunning
	reportedSaving // it saves a checkpoint before it stops
)

// StopReason is the reason for which a task was ordered to stop. It is logged and determines
// the outcome of a reserved task (StopReason.outcome).
type StopReason string

// The reasons to stop a task.
const (
	StopPreempted      StopReason = "preempted"            // by waiting work of higher precedence
	StopMoved          StopReason = "move"                 // by a rebalance cycle
	StopMoveResumed    StopReason = "move taken over"      // by a rebalance cycle that an earlier leader began
	StopCancelled      StopReason = "cancelled"            // by the job's user
	StopReleased       StopReason = "released"             // a reserved task is no longer needed
	StopInterruption   StopReason = "notice"               // the cloud is about to reclaim its machine
	StopGangIncomplete StopReason = "its gang lost a task" // the other tasks of the gang can't continue
)

// Placement is an attempt of a task on a machine. It exists from the decision to place the
// task until there is proof that the attempt is not on the machine.
//
// Model.placeTask creates it. After that only its own methods and Chunk.recordPlacement change
// its fields. They keep these invariants:
//   - A launch is sent again only after proof that the previous launch was not executed and
//     never will be (clearLaunch).
//   - A stop order is never withdrawn. Only an order with a shorter grace period replaces it.
//   - A placement that was never launched and is not inherited is certainly not on its
//     machine. It may be removed without proof.
type Placement struct {
	Machine       int32 // index in Model.Machines
	Attempt       uint64
	placedAt      time.Time
	Inherited     bool // an earlier leader recorded it and may have sent the launch
	launchSent    bool // this leader sent the launch, or a heartbeat lists the attempt
	launchSentAt  time.Time
	launchEpoch   uint64
	launchSeq     uint64 // of the heartbeat whose answer carried the launch
	reportedState reportedState
	runningSince  time.Time  // when a heartbeat first listed it as running; zero before
	Stop          *StopOrder // nil unless the attempt is ordered to stop
	StopHeld      bool       // a stop is decided and waits until the plan is confirmed
	wokenAt       time.Time  // when a wake-up for it was last sent to its machine

	machineName     string // Name of its machine
	chunkGeneration uint64 // generation of the chunk that added this placement
}

// StopOrder is an order to stop a task.
type StopOrder struct {
	Grace     float64 // seconds to save a checkpoint
	Reason    StopReason
	orderedAt time.Time
	pushedAt  time.Time // when it was last sent directly to the worker; zero before
}

// mayBeOnMachine reports whether a launch of the attempt may have been executed.
func (p *Placement) mayBeOnMachine() bool { return p.launchSent || p.Inherited }

// recordLaunch records that the answer to the given heartbeat carries the launch.
func (p *Placement) recordLaunch(heartbeat heartbeatID, now time.Time) {
	p.launchSent, p.launchSentAt = true, now
	p.launchEpoch, p.launchSeq = heartbeat.epoch, heartbeat.seq
}

// clearLaunch records proof that no launch was executed and none ever will be. The launch is
// to be sent again.
func (p *Placement) clearLaunch() { p.launchSent, p.Inherited = false, false }

// markInherited records that an earlier leader made the placement and may have launched it.
func (p *Placement) markInherited() { p.Inherited = true }

// recordListed records that a heartbeat lists the attempt, which proves that a launch arrived.
func (p *Placement) recordListed() { p.launchSent = true }

// recordState records the attempt's state in a heartbeat. It returns true if the state changes
// to running.
func (p *Placement) recordState(state reportedState, now time.Time) (started bool) {
	started = state == reportedRunning && p.reportedState != reportedRunning
	p.reportedState = state
	if started {
		p.runningSince = now
	}
	return started
}

// orderStop orders the attempt to stop. It returns false, and changes nothing, if an earlier
// order has the same grace period or a shorter one.
func (p *Placement) orderStop(grace float64, reason StopReason, now time.Time) bool {
	if p.Stop != nil && p.Stop.Grace <= grace {
		return false
	}
	p.Stop = &StopOrder{Grace: grace, Reason: reason, orderedAt: now}
	return true
}

// holdStop records that the attempt is to stop once the plan is confirmed.
func (p *Placement) holdStop() { p.StopHeld = true }

// releaseStop reverts holdStop.
func (p *Placement) releaseStop() { p.StopHeld = false }

// recordWakeUp records that a wake-up is sent to the attempt's machine.
func (p *Placement) recordWakeUp(now time.Time) { p.wokenAt = now }

// recordPush records that the order is sent directly to the worker.
func (o *StopOrder) recordPush(now time.Time) { o.pushedAt = now }
