package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is a job, its tasks, and where they may be.

// TaskPhase is how far a task has come.
type TaskPhase uint8

// The phases of a task. A placed task may be running; TaskDone is final.
const (
	TaskIdle   TaskPhase = iota // not placed
	TaskPlaced                  // placed on a machine
	TaskDone                    // completed, or, if it is reserved, ended otherwise
)

// Task is one task of a job.
type Task struct {
	Phase     TaskPhase
	failures  uint8
	resumed   bool                 // an earlier attempt has run
	progress  float32              // seconds of work that earlier attempts have saved
	outcome   jobstore.TaskOutcome // of a reserved task that is over: how it ended
	notBefore int64                // not to be placed before; Unix milliseconds
	Placement *Placement
}

// place puts a task that is not placed on a machine.
func (t *Task) place(p *Placement) { t.Phase, t.Placement = TaskPlaced, p }

// unplace applies the proof that the task is on no machine: it may be placed again.
func (t *Task) unplace() { t.Phase, t.Placement = TaskIdle, nil }

// setOutcome records how a task of a reserved job has ended.
func (t *Task) setOutcome(outcome jobstore.TaskOutcome) { t.outcome = outcome }

// recordProgress records how many seconds of the task's work an attempt that has run leaves saved.
func (t *Task) recordProgress(seconds float32) { t.progress, t.resumed = seconds, true }

// The backoff of a task that fails doubles with each failure.
const (
	minTaskBackoff     = time.Second
	maxTaskBackoff     = time.Minute
	maxCountedFailures = 10
)

// countFailure counts a failure of the task and returns the backoff before it is tried again.
func (t *Task) countFailure() time.Duration {
	t.failures = min(t.failures+1, maxCountedFailures)
	return min(minTaskBackoff<<(t.failures-1), maxTaskBackoff)
}

// delayUntil keeps the task from being placed before then.
func (t *Task) delayUntil(then time.Time) { t.notBefore = then.UnixMilli() }

// Job is a job that is not over, or of which tasks may still be on a machine.
//
// Its methods keep these invariants:
//   - A task has a placement exactly while it is in phase TaskPlaced. PlacedTasks counts
//     these, and placedByZone those on machines whose zone is known.
//   - DoneTasks counts the tasks in phase TaskDone, which never leave it.
//   - lastAttempt is no less than any attempt that a record or a machine may know of, unless
//     the job is quarantined, and only grows.
//   - gangStarted and gangEnding describe the attempt that is placed: neither is set while
//     no task is placed. They are set for other jobs too, but only matter for gangs.
type Job struct {
	Index      int32
	ID         string
	Spec       wire.Job
	version    uint64 // of its active record in the store
	AcceptedAt time.Time

	// What its specification means in this cluster.
	team         int // -1 if the team is not configured
	priority     int // 0 is the highest
	Need         placement.Resources
	zone         int // -1 if any will do
	image        int32
	allowedTypes []bool // by machine type
	tier         int    // priority tier, 0 is the highest; written by priorityTiers.assign

	// Its tasks.
	Tasks        []Task
	Chunks       []Chunk
	DoneTasks    int
	PlacedTasks  int
	placedByZone []int
	lastAttempt  uint64 // the highest attempt number ever used
	cursor       int    // no task before it is in phase TaskIdle

	// Its life.
	Cancelled     bool
	Finished      bool // its final record is committed
	gangStarted   bool // gang: the current attempt was seen running
	gangEnding    bool // gang: the current attempt is being stopped, or can't complete
	firstRunAt    time.Time
	completedAtMs int64        // when its end was last written, if it is a job of a batch window
	reservation   *reservation // nil unless its tasks are reserved first

	// What is known of failures.
	notBefore  time.Time           // backoff of a job that fails on every machine
	avoidUntil map[int32]time.Time // machines on which it has failed lately
	failures   *failureHistory

	// What scheduling passes remember.
	runs    runStatistics   // of its completed tasks
	runTime runTimeEstimate // of its tasks that are not completed
	triage  triageVerdict
	start   startState // decided by the starvation bound
	window  jobWindow

	// Its records.
	quarantined   bool           // its placements can't be read
	admissionPage *admissionPage // the page that its record shares with others, if it does
	dirty         bool           // in writeBehind.dirtyJobs
}

// Gang reports whether the job is a gang: all its tasks run at the same time, or none does.
func (j *Job) Gang() bool { return j.Spec.Kind == wire.KindGang }

// chunkOf returns the chunk that a task belongs to.
func (j *Job) chunkOf(task int32) *Chunk { return &j.Chunks[int(task)/jobstore.ChunkSize] }

// nextAttempt returns the number of a new attempt.
func (j *Job) nextAttempt() uint64 {
	j.lastAttempt++
	return j.lastAttempt
}

// observeAttempt records that a number may have been used for an attempt.
func (j *Job) observeAttempt(attempt uint64) { j.lastAttempt = max(j.lastAttempt, attempt) }

// placeTask places a task on a machine in a zone; the zone is -1 if it is not known.
func (j *Job) placeTask(task int32, zone int, p *Placement) {
	j.Tasks[task].place(p)
	j.PlacedTasks++
	if zone >= 0 {
		j.placedByZone[zone]++
	}
}

// unplaceTask removes the placement of a task on a machine in a zone; the zone is -1 if it is
// not known. When no task is left placed, a gang is ready for another attempt.
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

// changeZone counts a placed task for the zone of its machine, which has changed; -1 is a zone that
// is not known.
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

// markStarted records that a task of the job runs. It returns true when the first task of the
// job is seen running under this leader.
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

// resetGang makes the gang ready for another attempt.
func (j *Job) resetGang() { j.gangStarted, j.gangEnding = false, false }

// markFinished records that the final record of the job is committed.
func (j *Job) markFinished() { j.Finished = true }

// markCancelled records that the job's user has cancelled it. No task of it is launched any more.
func (j *Job) markCancelled() { j.Cancelled = true }

// backOffUntil keeps the whole job from being placed before then.
func (j *Job) backOffUntil(then time.Time) { j.notBefore = then }

// avoidMachine keeps the job's tasks from being placed on a machine until the given time.
func (j *Job) avoidMachine(machine int32, until time.Time) {
	if j.avoidUntil == nil {
		j.avoidUntil = map[int32]time.Time{}
	}
	j.avoidUntil[machine] = until
}

// avoidNoMachines allows the job's tasks to be placed on any machine again.
func (j *Job) avoidNoMachines() { j.avoidUntil = nil }

// markQuarantined keeps the job from being scheduled, because its placements can't be read.
func (j *Job) markQuarantined() { j.quarantined = true }

// advanceCursor moves the cursor past the tasks that are placed or completed.
func (j *Job) advanceCursor() {
	for j.cursor < len(j.Tasks) && j.Tasks[j.cursor].Phase != TaskIdle {
		j.cursor++
	}
}

// allowTypes sets which machine types the job may use.
func (j *Job) allowTypes(allowed []bool) { j.allowedTypes = allowed }

// setRecordVersion records the version of the job's active record, which has a key of its own.
func (j *Job) setRecordVersion(version uint64) { j.version = version }

// setAdmissionPage records that the job's active record is on an admission page.
func (j *Job) setAdmissionPage(p *admissionPage) { j.admissionPage, j.version = p, p.version }
