package cluster

import "time"

// reportedState is the state of a task as its machine last reported it in a heartbeat. The
// states are in the order in which a task passes through them.
type reportedState uint8

const (
	notReported      reportedState = iota
	reportedFetching               // its image is being fetched
	reportedWaiting                // for the other tasks of its gang
	reportedRunning
	reportedSaving // a checkpoint, before it stops
)

// StopReason is why a task was ordered to stop. It is logged, and decides the outcome of a
// reserved task (outcome).
type StopReason string

// The reasons to stop a task.
const (
	StopPreempted      StopReason = "preempted"            // by waiting work of a higher rank
	StopMoved          StopReason = "move"                 // by a rebalance cycle
	StopMoveResumed    StopReason = "move taken over"      // by a rebalance cycle of an earlier leader
	StopCancelled      StopReason = "cancelled"            // by the job's user
	StopReleased       StopReason = "released"             // a reserved task is not needed any more
	StopInterruption   StopReason = "notice"               // the cloud is about to reclaim its machine
	StopGangIncomplete StopReason = "its gang lost a task" // the rest of the gang can't go on
)

// Placement is an attempt of a task on a machine. It exists from the decision to place the
// task until there is proof that the attempt is not on the machine.
//
// Model.placeTask makes it. After that only its methods, and Chunk.recordPlacement, change its
// fields. They keep these invariants:
//   - A launch is sent at most once at a time: again only after proof that the one before
//     was not executed and never will be (clearLaunch).
//   - A stop order is never withdrawn. It is only replaced by one with a shorter grace period.
//   - A placement that was never launched and is not inherited is certainly not on its
//     machine, and may be removed without any proof.
type Placement struct {
	Machine       int32
	Attempt       uint64
	placedAt      time.Time
	Inherited     bool // recorded by an earlier leader, which may have sent the launch
	launchSent    bool // a launch was sent by this leader, or a heartbeat lists the attempt
	launchSentAt  time.Time
	launchEpoch   uint64
	launchSeq     uint64 // of the heartbeat whose answer carried the launch
	reportedState reportedState
	runningSince  time.Time // when it was first seen running
	Stop          *StopOrder
	StopHeld      bool      // a stop is held back until the plan is confirmed
	wokenAt       time.Time // when a wake-up was last sent to its machine

	machineName     string // of the machine
	chunkGeneration uint64 // the chunk's change that placed it
}

// StopOrder is an order to stop a task.
type StopOrder struct {
	Grace     float64
	Reason    StopReason
	orderedAt time.Time
	pushedAt  time.Time // when it was last sent directly
}

// mayBeOnMachine reports whether the task may be on its machine: a launch of it may have
// been executed.
func (p *Placement) mayBeOnMachine() bool { return p.launchSent || p.Inherited }

// recordLaunch records that the answer to a heartbeat carries the launch.
func (p *Placement) recordLaunch(heartbeat heartbeatID, now time.Time) {
	p.launchSent, p.launchSentAt = true, now
	p.launchEpoch, p.launchSeq = heartbeat.epoch, heartbeat.seq
}

// clearLaunch applies the proof that no launch was executed and none ever will be: it is to
// be sent (again).
func (p *Placement) clearLaunch() { p.launchSent, p.Inherited = false, false }

// markInherited marks the placement as one that an earlier leader recorded and may have launched.
func (p *Placement) markInherited() { p.Inherited = true }

// recordListed records that a heartbeat lists the attempt, so that a launch has arrived.
func (p *Placement) recordListed() { p.launchSent = true }

// recordState records the state in which a heartbeat lists the attempt. It returns true if the
// attempt is running and was not running according to the state reported before.
func (p *Placement) recordState(state reportedState, now time.Time) (started bool) {
	started = state == reportedRunning && p.reportedState != reportedRunning
	p.reportedState = state
	if started {
		p.runningSince = now
	}
	return started
}

// orderStop orders the attempt to stop. It returns false, and changes nothing, if it has been
// ordered to stop already within that grace period or a shorter one.
func (p *Placement) orderStop(grace float64, why StopReason, now time.Time) bool {
	if p.Stop != nil && p.Stop.Grace <= grace {
		return false
	}
	p.Stop = &StopOrder{Grace: grace, Reason: why, orderedAt: now}
	return true
}

// holdStop marks the attempt as one that is to stop once the plan is confirmed.
func (p *Placement) holdStop() { p.StopHeld = true }

// releaseStop removes the mark of holdStop.
func (p *Placement) releaseStop() { p.StopHeld = false }

// recordWakeUp records that a wake-up is sent to the machine.
func (p *Placement) recordWakeUp(now time.Time) { p.wokenAt = now }

// recordPush records that the order is sent directly to the worker.
func (o *StopOrder) recordPush(now time.Time) { o.pushedAt = now }
