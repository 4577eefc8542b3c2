// Verification of placement pages.

package snapshot

import (
	"github.com/umberdeal/umberdeal/jobstore"
)

// checkPlacementPage checks a page of placement records against the jobs. v.jobs must be complete.
func (v *verifier) checkPlacementPage(key string) {
	var page jobstore.PlacementPage
	if !v.decode(key, &page) {
		return
	}
	for i := range page.Chunks {
		v.checkChunk(key, &page.Chunks[i])
	}
}

// checkChunk checks that a chunk is on only one page, belongs to an existing job and lists only tasks of
// the job and chunk. Each task may be done or placed once.
func (v *verifier) checkChunk(key string, c *jobstore.PlacementChunk) {
	id := chunkID{c.Job, c.Chunk}
	if other, ok := v.chunks[id]; ok {
		v.report(key, "chunk %d of job %s stands at %s as well", c.Chunk, c.Job, other)
		return
	}
	v.chunks[id] = key
	j, ok := v.jobs[c.Job]
	if !ok {
		v.report(key, "chunk %d of job %s, which is not there", c.Chunk, c.Job)
		return
	}
	first := c.Chunk * jobstore.ChunkSize
	end := min(first+jobstore.ChunkSize, j.record.Job.Tasks)
	done := v.checkDone(key, c, first, end)
	if j.record.State != "" {
		return // the page's next change removes the remaining placements of a finished job
	}
	v.checkPlacements(key, c, first, end, done)
}

// checkDone checks that the done ranges lie within [first, end). It returns the tasks of the valid ranges.
func (v *verifier) checkDone(key string, c *jobstore.PlacementChunk, first, end int) map[int]bool {
	done := map[int]bool{}
	for from, to := range c.DoneRanges.All() {
		if from < first || to >= end || from > to {
			v.report(key, "job %s: tasks %d to %d are done, and its chunk has %d to %d", c.Job, from, to, first, end-1)
			continue
		}
		for task := from; task <= to; task++ {
			done[task] = true
		}
	}
	return done
}

// checkPlacements checks the placements of a chunk that holds the tasks [first, end).
func (v *verifier) checkPlacements(key string, c *jobstore.PlacementChunk, first, end int, done map[int]bool) {
	machines := map[int]string{}
	for _, p := range c.Placements {
		switch {
		case p.Task < first || p.Task >= end:
			v.report(key, "job %s has no task %d in chunk %d", c.Job, p.Task, c.Chunk)
		case done[p.Task]:
			v.report(key, "task %s/%d is done, and placed on %s", c.Job, p.Task, p.Machine)
		case machines[p.Task] != "":
			v.report(key, "task %s/%d is placed on %s and on %s", c.Job, p.Task, machines[p.Task], p.Machine)
		case p.Attempt > c.MaxAttempt:
			v.report(key, "task %s/%d is placed with attempt %d, the highest used being %d", c.Job, p.Task, p.Attempt, c.MaxAttempt)
		}
		machines[p.Task] = p.Machine
		v.summary.Placements++
	}
}
