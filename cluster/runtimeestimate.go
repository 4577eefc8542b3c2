package cluster

import (
	"math"
	"time"
)

// This file estimates how long tasks run, from their owners' estimates and from the run times
// of completed tasks.

// runTimeEstimator learns how long the tasks of a class run, given their owners' estimates.
// These are often wrong by half, and on some days mostly too high or too low; the shortest of
// them are mostly too short, the longest too long. In logarithms, the error is modelled as a
// linear function of the estimate, offset + slope*(estimate - mean). It is fitted to the
// completed jobs by a regression that is regularized towards offset 0 and slope priorSlope,
// which is what is assumed of a class of which no job has completed yet.
type runTimeEstimator struct {
	seenJobs, sumLogEstimates float64 // number of all jobs, and the sum of the logarithms of their estimates
	// Sums over the completed jobs. X is the logarithm of the estimate, Err that of its error.
	completedJobs, sumX, sumErr, sumXX, sumXErr float64
	fittedCompletedJobs, fittedSeenJobs         float64 // job counts that the fit below was computed from
	offset, slope, mean                         float64
}

const (
	priorSlope        = -0.3
	priorOffsetWeight = 2.0 // of the offset, in jobs
	priorSlopeWeight  = 1.0 // weight of the slope, as a sum of squared logarithms
	maxLogError       = 1.4 // of an estimate, as a logarithm: a factor of four
)

// addEstimate records the estimate of a job that has arrived.
func (e *runTimeEstimator) addEstimate(estimate float64) {
	if estimate > 0 {
		e.seenJobs++
		e.sumLogEstimates += math.Log(estimate)
	}
}

// addRunTime records how long the tasks of a completed job ran on average.
func (e *runTimeEstimator) addRunTime(estimate, ran float64) {
	if estimate <= 0 || ran <= 0 {
		return
	}
	x := math.Log(estimate)
	d := max(-maxLogError, min(maxLogError, math.Log(ran)-x))
	e.completedJobs++
	e.sumX += x
	e.sumErr += d
	e.sumXX += x * x
	e.sumXErr += x * d
}

// expect returns how long a task of a job with this estimate is expected to run.
func (e *runTimeEstimator) expect(estimate float64) float64 {
	if estimate <= 0 || e.seenJobs == 0 {
		return estimate
	}
	if e.completedJobs != e.fittedCompletedJobs || e.seenJobs != e.fittedSeenJobs {
		e.fit()
	}
	err := e.offset + e.slope*(math.Log(estimate)-e.mean)
	return estimate * math.Exp(max(-maxLogError, min(maxLogError, err)))
}

// fit computes offset and slope from the sums.
func (e *runTimeEstimator) fit() {
	e.fittedCompletedJobs, e.fittedSeenJobs = e.completedJobs, e.seenJobs
	e.mean = e.sumLogEstimates / e.seenJobs
	u := e.sumX - e.completedJobs*e.mean
	uu := e.sumXX - 2*e.mean*e.sumX + e.completedJobs*e.mean*e.mean
	ud := e.sumXErr - e.mean*e.sumErr
	// (n+p) offset + u slope = d;  u offset + (uu+s) slope = ud + s priorSlope
	p, s := e.completedJobs+priorOffsetWeight, uu+priorSlopeWeight
	r := ud + priorSlopeWeight*priorSlope
	det := p*s - u*u
	e.offset, e.slope = (e.sumErr*s-u*r)/det, (p*r-u*e.sumErr)/det
}

// runStatistics are the run times of those tasks of a job that completed without interruption,
// as seen by this leader. Only add writes its fields.
type runStatistics struct {
	count        int
	sum, longest float64 // seconds
}

// add records the run time of a task.
func (s *runStatistics) add(seconds float64) {
	s.count++
	s.sum += seconds
	s.longest = max(s.longest, seconds)
}

// average returns the average run time. There must be at least one.
func (s *runStatistics) average() float64 { return s.sum / float64(s.count) }

// runTimeEstimate is a cached estimate of how long a task of a job runs. Only set writes it.
type runTimeEstimate struct {
	basis   estimateBasis
	seconds float64 // 0 if it has not been computed
}

// estimateBasis is the state of what an estimate was computed from. While it is unchanged, so
// is the estimate.
type estimateBasis struct {
	completedTasks          int     // of the job
	completedJobs, seenJobs float64 // of its class
}

// validFor reports whether the cached estimate is still valid.
func (e *runTimeEstimate) validFor(basis estimateBasis) bool {
	return e.basis == basis && e.seconds > 0
}

// set caches an estimate.
func (e *runTimeEstimate) set(basis estimateBasis, seconds float64) {
	e.basis, e.seconds = basis, seconds
}

// expectedRunTime returns how many seconds a task of the job is expected to run from its
// beginning. Most weight has what the job's completed tasks took, then what is known of its
// class. A pass needs this for every task that runs or waits, so the result is cached.
func (m *Model) expectedRunTime(j *Job) float64 {
	estimate := j.Spec.EstimateS
	c := m.classes.get(j.Spec.Class)
	basis := estimateBasis{completedTasks: j.runs.count}
	if c != nil {
		basis.completedJobs, basis.seenJobs = c.runs.completedJobs, c.runs.seenJobs
	}
	if j.runTime.validFor(basis) {
		return j.runTime.seconds
	}
	if c != nil {
		estimate = c.runs.expect(estimate)
	}
	if j.runs.count > 0 && estimate > 0 {
		weight := 2 * float64(j.runs.count)
		estimate = math.Exp((math.Log(estimate) + weight*math.Log(j.runs.average())) / (1 + weight))
	}
	j.runTime.set(basis, estimate)
	return estimate
}

// remainingRunTime returns how many seconds a waiting task is expected to run.
func (m *Model) remainingRunTime(j *Job, task int32) float64 {
	return remainingOf(m.expectedRunTime(j), &j.Tasks[task])
}

// minRemainingSeconds is the least that is expected to remain of a task's run time, in seconds, unless
// the whole is expected to be shorter.
const minRemainingSeconds = 5

// remainingOf returns what remains of a task's run time, given the whole.
func remainingOf(estimate float64, t *Task) float64 {
	return max(estimate-float64(t.progress), min(estimate, minRemainingSeconds))
}

// recordSavedProgress records the progress of an attempt that saved a checkpoint when it
// stopped. Progress affects only estimates and with them the order of the queue.
func (j *Job) recordSavedProgress(task int32, p *Placement, now time.Time) {
	if j.savesProgress(p) {
		t := &j.Tasks[task]
		t.recordProgress(t.progress + p.ranUntilStop(now))
	}
}

// recordLostProgress records the progress of an attempt that ended without saving a checkpoint.
// What remains of it is the last of the regular checkpoints, which are at multiples of
// CheckpointS of the task's progress.
func (j *Job) recordLostProgress(task int32, p *Placement, now time.Time) {
	if j.savesProgress(p) {
		t := &j.Tasks[task]
		interval := float32(j.Spec.CheckpointS)
		checkpoints := math.Floor(float64((t.progress + p.ranUntilStop(now)) / interval))
		t.recordProgress(max(t.progress, interval*float32(checkpoints)))
	}
}

// savesProgress reports whether an attempt may have saved checkpoints.
func (j *Job) savesProgress(p *Placement) bool {
	return j.Spec.CheckpointS > 0 && !p.runningSince.IsZero()
}

// ranUntilStop returns how many seconds an attempt ran until it was ordered to stop, or until
// now if it was not.
func (p *Placement) ranUntilStop(now time.Time) float32 {
	end := now
	if p.Stop != nil {
		end = p.Stop.orderedAt
	}
	return float32(max(0, end.Sub(p.runningSince).Seconds()))
}

// recordRunTime records how long a completed task ran, if all of its work was done by the
// attempt that completed it and this leader saw it start.
func (m *Model) recordRunTime(j *Job, task int32, p *Placement, now time.Time) {
	if j.Tasks[task].resumed || p.Inherited || p.runningSince.IsZero() || j.Spec.EstimateS <= 0 {
		return
	}
	j.runs.add(now.Sub(p.runningSince).Seconds())
}
