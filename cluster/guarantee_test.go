package cluster

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/placement"
)

// Where teams are guaranteed GPUs only, a job that needs none is within no guarantee, so that it
// does not precede all other jobs, and it does not use up the guarantee of jobs with GPUs.
func TestJobThatNeedsNoGuaranteedResourceIsNotWithinGuarantee(t *testing.T) {
	for _, c := range []struct {
		name      string
		guarantee placement.Resources
		want      []bool // of three jobs of 2 CPUs, of which the second and the third need a GPU as well
	}{
		{"GPUs", placement.Resources{GPU: 1}, []bool{false, true, false}},
		{"CPUs", placement.Resources{CPU: 4}, []bool{true, true, false}},
		{"both", placement.Resources{CPU: 6, GPU: 1}, []bool{true, true, false}},
		{"nothing", placement.Resources{}, []bool{false, false, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newModel(5)
			m.guarantees = []placement.Resources{c.guarantee}
			for i, gpus := range []float64{0, 1, 1} {
				rec := arrayJob(fmt.Sprintf("wk-00000%d", i+1), 1)
				rec.Job.GPUs, rec.AcceptedAtMs = gpus, at(float64(i)).UnixMilli()
				m.ApplyJobRecord(rec.Job.ID, rec, 1, at(float64(i)))
			}
			jobs := m.openJobs()
			within := m.jobsWithinGuarantee(jobs)
			for i, j := range jobs {
				if within[j.Index] != c.want[i] {
					t.Errorf("%s is within the guarantee: %t", j.ID, within[j.Index])
				}
			}
		})
	}
}
