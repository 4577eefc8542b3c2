package cluster

import (
	"math"
	"time"
)

// runTimeEstimator learns how long a class's tasks run, given what their owners
// expect. Owners' estimates are often wrong by half, and on some days mostly
// too high or too low: the shortest of them are mostly too short, the longest
// too long. In logarithms, the error is taken to be a line over the estimate,
// a + c*(x - mean), fitted to the jobs that have completed and drawn towards
// a = 0 and c = priorSlope, which is what is believed of a class whose jobs
// have not completed yet.
type runTimeEstimator struct {
	seen, sum           float64 // estimates of all jobs that came
	n, x, d, xx, xd     float64 // jobs done: estimates and errors
	lastN, lastSeen     float64 // of which a and c were worked out
	offset, slope, mean float64
}

const (
	priorSlope  = -0.3
	priorWeight = 2.0 // jobs
	priorSpread = 1.0 // of squared logarithms
	maxError    = 1.4 // a factor of four
)

// addEstimate takes in a job's estimate.
func (e *runTimeEstimator) addEstimate(estimate float64) {
	if estimate > 0 {
		e.seen++
		e.sum += math.Log(estimate)
	}
}

// addRunTime takes in a job whose tasks ran for so long on average.
func (e *runTimeEstimator) addRunTime(estimate, ran float64) {
	if estimate <= 0 || ran <= 0 {
		return
	}
	x := math.Log(estimate)
	d := max(-maxError, min(maxError, math.Log(ran)-x))
	e.n++
	e.x += x
	e.d += d
	e.xx += x * x
	e.xd += x * d
}

// expect is how long a task of a job with this estimate should run.
func (e *runTimeEstimator) expect(estimate float64) float64 {
	if estimate <= 0 || e.seen == 0 {
		return estimate
	}
	if e.n != e.lastN || e.seen != e.lastSeen {
		e.lastN, e.lastSeen = e.n, e.seen
		e.mean = e.sum / e.seen
		u := e.x - e.n*e.mean
		uu := e.xx - 2*e.mean*e.x + e.n*e.mean*e.mean
		ud := e.xd - e.mean*e.d
		// (n+p) a + u c = d;  u a + (uu+s) c = ud + s c0
		p, s := e.n+priorWeight, uu+priorSpread
		r := ud + priorSpread*priorSlope
		det := p*s - u*u
		e.offset, e.slope = (e.d*s-u*r)/det, (p*r-u*e.d)/det
	}
	err := e.offset + e.slope*(math.Log(estimate)-e.mean)
	return estimate * math.Exp(max(-maxError, min(maxError, err)))
}

// expectedRunTime is how long a task of the job should run from its beginning: what
// its completed tasks took says most, then what is known of its class.
func (m *Model) expectedRunTime(j *Job) float64 {
	est := j.Spec.EstimateS
	c := m.classes[j.Spec.Class]
	now := estimateBasis{ranN: j.completedRuns}
	if c != nil {
		now.n, now.seen = c.runs.n, c.runs.seen
	}
	if j.estimateBasis == now && j.estimate > 0 {
		return j.estimate // a pass asks this of every task that runs or waits
	}
	if c != nil {
		est = c.runs.expect(est)
	}
	if j.completedRuns > 0 && est > 0 {
		w := 2 * float64(j.completedRuns)
		est = math.Exp((math.Log(est) + w*math.Log(j.completedRunSum/float64(j.completedRuns))) / (1 + w))
	}
	j.estimateBasis, j.estimate = now, est
	return est
}

// estimateBasis is what an expectation was worked out from.
type estimateBasis struct {
	ranN    int
	n, seen float64
}

// remainingRunTime is how long a waiting task should still run.
func (m *Model) remainingRunTime(j *Job, task int32) float64 {
	return remainingOf(m.expectedRunTime(j), &j.Tasks[task])
}

// remainingOf is what is left of a task's run time, given the whole.
func remainingOf(est float64, t *Task) float64 {
	return max(est-float64(t.Progress), min(est, 5))
}

// recordProgress takes in how far an attempt that did not complete has brought its
// task. It leads to no decision but in which order things are served.
func (j *Job) recordProgress(task int32, p *Placement, saved bool, now time.Time) {
	if j.Spec.CheckpointS <= 0 || p.RunningSince.IsZero() {
		return
	}
	t := &j.Tasks[task]
	end := now
	if p.Stop != nil {
		end = p.Stop.OrderedAt
	}
	ran := float32(max(0, end.Sub(p.RunningSince).Seconds()))
	if !saved {
		// Checkpoints are at multiples of the job's progress.
		every := float32(j.Spec.CheckpointS)
		t.Progress = max(t.Progress, every*float32(math.Floor(float64((t.Progress+ran)/every))))
	} else {
		t.Progress += ran
	}
	t.Resumed = true
}

// recordRunTime takes in how long a task ran that completed in one go.
func (m *Model) recordRunTime(j *Job, task int32, p *Placement, now time.Time) {
	if j.Tasks[task].Resumed || p.Inherited || p.RunningSince.IsZero() || j.Spec.EstimateS <= 0 {
		return
	}
	j.completedRuns++
	ran := now.Sub(p.RunningSince).Seconds()
	j.completedRunSum += ran
	j.completedRunMax = max(j.completedRunMax, ran)
}
