package yarn

import (
	"slices"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Containers that were not started in time and have been released are not released again, while
// their placements last. Each maintenance round had rewritten the job's record for them, which
// takes a change of the key-value store each time and makes other changes of the job conflict.
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
		t.Errorf("late at first: %v", got)
	}
	j.Record.Reservation.ReleaseRanges = addTasks(nil, []int{0, 2}, 3)
	if got := late(); !slices.Equal(got, []int{1}) {
		t.Errorf("late after the release of 0 and 2: %v", got)
	}
}
