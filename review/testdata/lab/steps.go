// Steps that several cases share.

package lab

import (
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// Await waits until ok returns true, and reports whether it did within the given time.
func Await(within time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// Accept submits a job until it is accepted, as its user does, and makes it known to the emulated
// workers. It reports whether the job was accepted within ten attempts.
func (l *Lab) Accept(j wire.Job) bool {
	l.Cluster.RegisterJob(j) // the user uploads its description
	l.jobs.Store(j.ID, j)
	for try := range 10 {
		r := Submit(l.Addr(try%len(l.nodes)), j)
		l.Log("submit %s (%s, %d tasks, %g CPUs, %g GPUs, %d types): %d %s", j.ID, j.Class, j.Tasks, j.CPUs, j.GPUs, len(j.Types), r.Status, r.Job.State)
		if r.Status == 200 || r.Status == 201 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// States returns what each controller answers about a job.
func (l *Lab) States(id string) (out string) {
	for i := range l.nodes {
		r := Show(l.Addr(i), id)
		out += fmt.Sprintf("%d %s ", r.Status, r.Job.State)
	}
	return out
}

// Running returns how many tasks of a job are on emulated machines with their image.
func (l *Lab) Running(j wire.Job) (n int) {
	for i := range j.Tasks {
		n += len(l.Cluster.MachinesRunning(wire.TaskName(j.ID, i)))
	}
	return n
}
