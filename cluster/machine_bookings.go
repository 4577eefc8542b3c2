package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// bookings are the tasks placed on a machine and the resources that they use. Used is the sum
// of the needs of Tasks. It is reset to exactly zero when no task is left, so that rounding
// errors don't accumulate.
type bookings struct {
	Tasks      map[TaskRef]bool
	Used       placement.Resources
	orphaned   placement.Resources // used by tasks in the last heartbeat that are not placed on the machine
	idleSince  time.Time           // when the machine came up or its last task was released
	headroomAt time.Time           // when a pass last kept the empty machine as headroom
	hasHadTask bool                // a task was placed on the machine at some time
}

// bookTask books a task on the machine.
func (b *bookings) bookTask(ref TaskRef, need placement.Resources) {
	b.Tasks[ref] = true
	b.Used = b.Used.Add(need, 1)
	b.hasHadTask = true
}

// releaseTask removes a booked task from the machine. With the last task removed, the idle
// time of the machine begins.
func (b *bookings) releaseTask(ref TaskRef, need placement.Resources, now time.Time) {
	delete(b.Tasks, ref)
	b.Used = b.Used.Add(need, -1)
	if len(b.Tasks) == 0 {
		b.Used = placement.Resources{}
		b.idleSince = now
	}
}

// resetOrphaned clears the resources of orphaned tasks. It is called before a newer heartbeat
// is applied, which lists them again, or when no task can be running.
func (b *bookings) resetOrphaned() { b.orphaned = placement.Resources{} }

// addOrphaned adds the resources of a task that a heartbeat lists and that is not placed on
// the machine.
func (b *bookings) addOrphaned(need placement.Resources) { b.orphaned = b.orphaned.Add(need, 1) }

// keepAsHeadroom records that a scheduling pass kept the empty machine for future jobs.
func (b *bookings) keepAsHeadroom(now time.Time) { b.headroomAt = now }
