// Estimates how long tasks run, from their owners' estimates and from the run times of completed
// tasks.

package cluster

import (
	"math"
	"time"
)

// runTimeEstimator learns how long the tasks of a class run, given their owners' estimates.
// Estimates are often wrong by half, and on some days most of them err in the same direction. Short
// estimates are mostly too short and long ones too long. The logarithm of the error is modeled as a
// linear function of the logarithm of the estimate, offset + slope*(log estimate - mean). The
// function is fitted to the completed jobs by a regression that is regularized towards offset 0 and
// slope priorSlope. These values apply to a class without completed jobs.
type runTimeEstimator struct {
	seenJobs, sumLogEstimates float64 // number of all jobs, and the sum of the logarithms of their estimates
	// Sums over the completed jobs. X is the logarithm of the estimate, Err that of its error.
	completedJobs, sumX, sumErr, sumXX, sumXErr float64
	fittedCompletedJobs, fittedSeenJobs         float64 // job counts from which the fit was computed
	offset, slope, mean                         float64 // the fit
}

const (
	priorSlope        = -0.3
	priorOffsetWeight = 2.0 // weight of offset 0, as a number of jobs
	priorSlopeWeight  = 1.0 // weight of priorSlope, as a sum of squared logarithms
	maxLogError       = 1.4 // bound of the logarithm of an estimate's error, a factor of four
)

// addEstimate records the estimate, in seconds, of a job that has arrived.
func (e *runTimeEstimator) addEstimate(estimate float64) {
	if estimate > 0 {
		e.seenJobs++
		e.sumLogEstimates += math.Log(estimate)
	}
}

// addRunTime records the average run time of a completed job's tasks and their estimate, both in
// seconds.
func (e *runTimeEstimator) addRunTime(estimate, averageRunTime float64) {
	if estimate <= 0 || averageRunTime <= 0 {
		return
	}
	x := math.Log(estimate)
	logErr := max(-maxLogError, min(maxLogError, math.Log(averageRunTime)-x))
	e.completedJobs++
	e.sumX += x
	e.sumErr += logErr
	e.sumXX += x * x
	e.sumXErr += x * logErr
}

// expect returns how many seconds a task with this estimate, in seconds, is expected to run. A
// missing estimate, which is 0, is returned as it is.
func (e *runTimeEstimator) expect(estimate float64) float64 {
	if estimate <= 0 || e.seenJobs == 0 {
		return estimate
	}
	if e.completedJobs != e.fittedCompletedJobs || e.seenJobs != e.fittedSeenJobs {
		e.fit()
	}
	logErr := e.offset + e.slope*(math.Log(estimate)-e.mean)
	return estimate * math.Exp(max(-maxLogError, min(maxLogError, logErr)))
}

// fit computes offset and slope from the sums, by the normal equations of the regularized
// regression:
//
//	(completedJobs + priorOffsetWeight)*offset + sumU*slope = sumErr
//	sumU*offset + (sumUU + priorSlopeWeight)*slope = sumUErr + priorSlopeWeight*priorSlope
//
// U is X less the mean.
func (e *runTimeEstimator) fit() {
	e.fittedCompletedJobs, e.fittedSeenJobs = e.completedJobs, e.seenJobs
	e.mean = e.sumLogEstimates / e.seenJobs
	sumU := e.sumX - e.completedJobs*e.mean
	sumUU := e.sumXX - 2*e.mean*e.sumX + e.completedJobs*e.mean*e.mean
	sumUErr := e.sumXErr - e.mean*e.sumErr
	offsetWeight, slopeWeight := e.completedJobs+priorOffsetWeight, sumUU+priorSlopeWeight
	slopeTarget := sumUErr + priorSlopeWeight*priorSlope
	determinant := offsetWeight*slopeWeight - sumU*sumU
	e.offset = (e.sumErr*slopeWeight - sumU*slopeTarget) / determinant
	e.slope = (offsetWeight*slopeTarget - sumU*e.sumErr) / determinant
}

// runStatistics summarizes the run times of a job's tasks that this leader saw complete without
// interruption. Only add writes its fields.
type runStatistics struct {
	count        int
	sum, longest float64 // seconds
}

// add records the run time of a task, in seconds.
func (s *runStatistics) add(seconds float64) {
	s.count++
	s.sum += seconds
	s.longest = max(s.longest, seconds)
}

// average returns the average run time in seconds. At least one must have been added.
func (s *runStatistics) average() float64 { return s.sum / float64(s.count) }

// runTimeEstimate is a cached estimate of how long a task of a job runs. Only set writes it.
type runTimeEstimate struct {
	basis   estimateBasis
	seconds float64 // 0 if it has not been computed
}

// estimateBasis identifies the observations from which an estimate was computed. The estimate is
// valid until it changes.
type estimateBasis struct {
	completedTasks          int     // completed tasks of the job
	completedJobs, seenJobs float64 // completed jobs and all jobs of its class
}

// validFor reports whether the cached estimate was computed from the given basis.
func (e *runTimeEstimate) validFor(basis estimateBasis) bool {
	return e.basis == basis && e.seconds > 0
}

// set caches an estimate.
func (e *runTimeEstimate) set(basis estimateBasis, seconds float64) {
	e.basis, e.seconds = basis, seconds
}

// expectedRunTime returns how many seconds a task of the job is expected to run from its
// beginning; 0 if nothing is known. The run times of the job's completed tasks have the most weight,
// followed by those of its class. The result is cached, since a pass needs it for every running or
// waiting task.
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

// remainingRunTime returns how many more seconds a waiting task is expected to run.
func (m *Model) remainingRunTime(j *Job, task int32) float64 {
	return remainingOf(m.expectedRunTime(j), &j.Tasks[task])
}

// minRemainingSeconds is the lower bound of a task's remaining run time, unless its whole run time
// is expected to be shorter.
const minRemainingSeconds = 5

// remainingOf returns the remaining seconds of a task's run time, given an estimate of the whole.
func remainingOf(estimate float64, t *Task) float64 {
	return max(estimate-float64(t.progress), min(estimate, minRemainingSeconds))
}

// recordSavedProgress records the progress of an attempt that saved a checkpoint when it
// stopped. Progress affects only estimates, and the order of the queue through them.
func (j *Job) recordSavedProgress(task int32, p *Placement, now time.Time) {
	if j.savesProgress(p) {
		t := &j.Tasks[task]
		t.recordProgress(t.progress + p.ranUntilStop(now))
	}
}

// recordLostProgress records the progress of an attempt that ended without saving a final
// checkpoint. The task continues from its last regular checkpoint. These are at multiples of
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

// recordRunTime records how long a completed task ran, if its last attempt did all of the work and
// this leader saw the attempt start.
func (m *Model) recordRunTime(j *Job, task int32, p *Placement, now time.Time) {
	if j.Tasks[task].resumed || p.Inherited || p.runningSince.IsZero() || j.Spec.EstimateS <= 0 {
		return
	}
	j.runs.add(now.Sub(p.runningSince).Seconds())
}
