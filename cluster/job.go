// Holds the state of a job and of its tasks.

package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// TaskPhase is a task's position in its life cycle.
type TaskPhase uint8

// The phases of a task. A placed task may be running. TaskDone is final.
const (
	TaskIdle   TaskPhase = iota // not placed
	TaskPlaced                  // placed on a machine
	TaskDone                    // completed; for a reserved task, ended with any outcome
)

// Task is one task of a job.
type Task struct {
	Phase     TaskPhase
	failures  uint8                // counted failures; determines the backoff
	resumed   bool                 // an earlier attempt ran
	progress  float32              // seconds of work that earlier attempts saved
	outcome   jobstore.TaskOutcome // how a reserved task ended
	notBefore int64                // earliest time of the next placement, in Unix milliseconds
	Placement *Placement           // nil unless the phase is TaskPlaced
}

// place sets the placement of a task that has none.
func (t *Task) place(p *Placement) { t.Phase, t.Placement = TaskPlaced, p }

// unplace removes the placement. The caller has proof that the task is on no machine, so that
// it may be placed again.
func (t *Task) unplace() { t.Phase, t.Placement = TaskIdle, nil }

// setOutcome records how a task of a reserved job ended.
func (t *Task) setOutcome(outcome jobstore.TaskOutcome) { t.outcome = outcome }

// recordProgress records how many seconds of work are saved after an attempt that ran.
func (t *Task) recordProgress(seconds float32) { t.progress, t.resumed = seconds, true }

// Bounds of the exponential backoff of a failing task.
const (
	minTaskBackoff     = time.Second
	maxTaskBackoff     = time.Minute
	maxCountedFailures = 10 // further failures don't change the backoff
)

// countFailure counts a failure of the task and returns the backoff before the next attempt.
func (t *Task) countFailure() time.Duration {
	t.failures = min(t.failures+1, maxCountedFailures)
	return min(minTaskBackoff<<(t.failures-1), maxTaskBackoff)
}

// delayUntil prevents placements of the task before the given time.
func (t *Task) delayUntil(until time.Time) { t.notBefore = until.UnixMilli() }

// Job is a job with its tasks. It stays in the model until it is over and none of its tasks
// can be on a machine any more.
//
// Its methods keep these invariants:
//   - A task has a placement exactly while it is in phase TaskPlaced. PlacedTasks counts
//     these tasks, and placedByZone counts those of them on machines whose zone is known.
//   - DoneTasks counts the tasks in phase TaskDone, which is a final phase.
//   - lastAttempt never decreases. Unless the job is quarantined, it is at least as high as
//     any attempt number in a record or on a machine.
//   - gangStarted and gangEnding describe the current attempt of a gang. Neither is set while
//     no task is placed. They are set for other jobs too, but have no effect there.
type Job struct {
	Index      int32
	ID         string
	Spec       wire.Job
	version    uint64    // of its active record or of its admission page in the store
	AcceptedAt time.Time // when its submission was accepted

	// Values derived from Spec and the cluster's settings.
	team         int                 // -1 if the team is not configured
	priority     int                 // 0 is the highest
	Need         placement.Resources // of each task
	zone         int                 // required zone; -1 if all zones are allowed
	image        int32
	allowedTypes []bool // by machine type
	tier         int    // priority tier, 0 is the highest; set by priorityTiers.assign

	// Tasks.
	Tasks        []Task  // by task number
	Chunks       []Chunk // placement records of jobstore.ChunkSize tasks each
	DoneTasks    int
	PlacedTasks  int
	placedByZone []int
	lastAttempt  uint64 // the highest attempt number ever used
	cursor       int    // no task with a lower number is in phase TaskIdle

	// Life cycle.
	Cancelled     bool
	Finished      bool         // its final record is committed
	gangStarted   bool         // a heartbeat has listed a task of the current attempt as running
	gangEnding    bool         // the current attempt is being stopped, or can't complete
	firstRunAt    time.Time    // when this leader first saw a task running; zero before
	completedAtMs int64        // when its end was last written, in Unix milliseconds; only for jobs of a batch window
	reservation   *reservation // nil unless its tasks are reserved before launch

	// Failures.
	notBefore  time.Time           // end of the backoff of a job that fails on every machine
	avoidUntil map[int32]time.Time // by machine index, until when the job avoids it after a failure
	failures   *failureHistory

	// State that scheduling passes keep.
	runs    runStatistics   // of completed tasks
	runTime runTimeEstimate // of tasks that are not completed
	triage  triageVerdict
	start   startState // set by the starvation bound
	window  jobWindow

	// Records.
	quarantined   bool           // its placement records can't be read
	admissionPage *admissionPage // the page that holds its record; nil if the record has its own key
	dirty         bool           // is in writeBehind.dirtyJobs
	finalDeferred bool           // batches leave its final record out (see rejectedWrites)
}

// Gang reports whether the job is a gang, whose tasks run all at the same time or not at all.
func (j *Job) Gang() bool { return j.Spec.Kind == wire.KindGang }

// chunkOf returns the chunk that a task belongs to.
func (j *Job) chunkOf(task int32) *Chunk { return &j.Chunks[int(task)/jobstore.ChunkSize] }

// nextAttempt returns the number of a new attempt.
func (j *Job) nextAttempt() uint64 {
	j.lastAttempt++
	return j.lastAttempt
}

// observeAttempt records an attempt number that may have been used, so that it is not reused.
func (j *Job) observeAttempt(attempt uint64) { j.lastAttempt = max(j.lastAttempt, attempt) }

// placeTask sets the placement of a task on a machine in the given zone. The zone is -1 if it
// is unknown.
func (j *Job) placeTask(task int32, zone int, p *Placement) {
	j.Tasks[task].place(p)
	j.PlacedTasks++
	if zone >= 0 {
		j.placedByZone[zone]++
	}
}

// unplaceTask removes the placement of a task on a machine in the given zone. The zone is -1
// if it is unknown. When no placed task is left, a gang is ready for another attempt.
func (j *Job) unplaceTask(task int32, zone int) {
	j.Tasks[task].unplace()
	j.PlacedTasks--
	if j.PlacedTasks == 0 {
		j.resetGang()
	}
	if zone >= 0 {
		j.placedByZone[zone]--
	}
	j.cursor = min(j.cursor, int(task))
}

// changeZone moves a placed task to another zone in placedByZone, after the zone of its machine
// changed. -1 is an unknown zone.
func (j *Job) changeZone(from, to int) {
	if to >= 0 {
		j.placedByZone[to]++
	}
	if from >= 0 {
		j.placedByZone[from]--
	}
}

// completeTask records that a task without a placement is done.
func (j *Job) completeTask(task int32) {
	j.Tasks[task].Phase = TaskDone
	j.DoneTasks++
}

// markStarted records that a task of the job is running. It returns true for the first such
// call of this leader.
func (j *Job) markStarted(now time.Time) (first bool) {
	j.gangStarted = true
	if !j.firstRunAt.IsZero() {
		return false
	}
	j.firstRunAt = now
	return true
}

// markGangEnding records that the gang's attempt is being stopped or can't complete.
func (j *Job) markGangEnding() { j.gangEnding = true }

// resetGang clears the state of the gang's attempt, so that another one can begin.
func (j *Job) resetGang() { j.gangStarted, j.gangEnding = false, false }

// markFinished records that the final record of the job is committed.
func (j *Job) markFinished() { j.Finished = true }

// markCancelled records that the job is cancelled. None of its tasks is launched any more.
func (j *Job) markCancelled() { j.Cancelled = true }

// backOffUntil prevents placements of all tasks of the job before the given time.
func (j *Job) backOffUntil(until time.Time) { j.notBefore = until }

// avoidMachine prevents placements of the job's tasks on a machine until the given time.
func (j *Job) avoidMachine(machine int32, until time.Time) {
	if j.avoidUntil == nil {
		j.avoidUntil = map[int32]time.Time{}
	}
	j.avoidUntil[machine] = until
}

// avoidNoMachines allows placements of the job's tasks on all machines again.
func (j *Job) avoidNoMachines() { j.avoidUntil = nil }

// markQuarantined excludes the job from scheduling, because its placement records can't be read.
func (j *Job) markQuarantined() { j.quarantined = true }

// advanceCursor moves the cursor to the first idle task.
func (j *Job) advanceCursor() {
	for j.cursor < len(j.Tasks) && j.Tasks[j.cursor].Phase != TaskIdle {
		j.cursor++
	}
}

// allowTypes sets, by machine type, whether the job may use it.
func (j *Job) allowTypes(allowed []bool) { j.allowedTypes = allowed }

// setRecordVersion sets the version of the job's active record. The record has its own key.
func (j *Job) setRecordVersion(version uint64) { j.version = version }

// setAdmissionPage records that the job's active record is on the given admission page.
func (j *Job) setAdmissionPage(p *admissionPage) { j.admissionPage, j.version = p, p.version }
