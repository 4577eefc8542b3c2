package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// bookings are the tasks on a machine and the resources that they use. Used is the sum of the
// needs of Tasks, and exactly zero without tasks, so that rounding errors don't add up.
type bookings struct {
	Tasks      map[TaskRef]bool // placed on the machine
	Used       placement.Resources
	orphaned   placement.Resources // used by tasks that the last heartbeat lists and that are not placed here
	idleSince  time.Time           // when the machine came up or last ran out of tasks
	headroomAt time.Time           // when it was last kept, empty, as headroom
	hasHadTask bool
}

// bookTask books a task on the machine.
func (b *bookings) bookTask(ref TaskRef, need placement.Resources) {
	b.Tasks[ref] = true
	b.Used = b.Used.Add(need, 1)
	b.hasHadTask = true
}

// releaseTask takes a booked task off the machine. One that has no other is idle from now on.
func (b *bookings) releaseTask(ref TaskRef, need placement.Resources, now time.Time) {
	delete(b.Tasks, ref)
	b.Used = b.Used.Add(need, -1)
	if len(b.Tasks) == 0 {
		b.Used = placement.Resources{}
		b.idleSince = now
	}
}

// resetOrphaned resets the resources of listed tasks that are not placed on the machine: a
// newer heartbeat is about to list them, or none can be running.
func (b *bookings) resetOrphaned() { b.orphaned = placement.Resources{} }

// addOrphaned adds the resources of a task that is listed but not placed on the machine.
func (b *bookings) addOrphaned(need placement.Resources) { b.orphaned = b.orphaned.Add(need, 1) }

// keepAsHeadroom records that a pass kept the empty machine for jobs to come.
func (b *bookings) keepAsHeadroom(now time.Time) { b.headroomAt = now }
