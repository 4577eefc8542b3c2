package yarn

import (
	"slices"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Containers that were released because they were not started in time stay placed for a while. They
// must not be released again. Formerly, each maintenance round rewrote the record of their job.
// Each rewrite took a transaction of the key-value store and made other changes of the job
// conflict.
func TestReleasedTasksAreNotReleasedAgain(t *testing.T) {
	f := &Frontend{settings: &Settings{StartTimeoutS: 30}}
	j := &jobstore.ReservedJob{ID: "ya-1-1", Placements: map[int]jobstore.Placement{0: {}, 1: {}, 2: {}},
		Record: jobstore.JobRecord{Job: wire.Job{Tasks: 3}, Reservation: &jobstore.Reservation{}}}
	now := time.Now()
	o := &observation{unstartedSince: map[string]time.Time{}}
	for task := range 3 {
		o.unstartedSince[wire.TaskName(j.ID, task)] = now.Add(-time.Minute)
	}
	late := func() []int {
		tasks := f.lateTasks(j, o, map[string]time.Time{}, now)
		slices.Sort(tasks)
		return tasks
	}
	if got := late(); !slices.Equal(got, []int{0, 1, 2}) {
		t.Errorf("late tasks: got %v, want [0 1 2]", got)
	}
	j.Record.Reservation.ReleaseRanges = addTasks(nil, []int{0, 2}, 3)
	if got := late(); !slices.Equal(got, []int{1}) {
		t.Errorf("late tasks after the release of 0 and 2: got %v, want [1]", got)
	}
}
