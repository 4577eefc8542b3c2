package cluster

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/placement"
)

// If teams are guaranteed only GPUs, a job that needs none must be within no guarantee. Otherwise it
// would precede all other jobs. It must not use up the guarantee of jobs with GPUs either.
func TestJobThatNeedsNoGuaranteedResourceIsNotWithinGuarantee(t *testing.T) {
	for _, c := range []struct {
		name      string
		guarantee placement.Resources
		want      []bool // by job: each needs 2 CPUs, and the second and third need a GPU as well
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
					t.Errorf("%s within the guarantee: got %t, want %t", j.ID, within[j.Index], c.want[i])
				}
			}
		})
	}
}
