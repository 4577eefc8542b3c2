package snapshot

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Violation is an invariant of the ledger that does not hold.
type Violation struct {
	Key     string
	Problem string
}

func (f Violation) String() string { return f.Key + ": " + f.Problem }

// Summary counts what a ledger holds.
type Summary struct {
	Keys, Unfinished, Finished, Placements, Other int
}

// Verify says which invariants of the ledger do not hold, each with its key, in
// their order.
func Verify(all map[string]wire.Raw) (Summary, []Violation) {
	v := &verifier{all: all, jobs: map[string]jobLocation{}, chunks: map[chunkID]string{}}
	v.summary.Keys = len(all)
	keys := slices.Sorted(maps.Keys(all))
	v.readForm()
	for _, key := range keys {
		v.checkJobKey(key)
	}
	for _, key := range keys {
		if _, ok := jobstore.ParsePlacementPageKey(key); ok {
			v.checkPlacementPage(key)
		}
	}
	v.checkPlan()
	v.checkWarmPools()
	slices.SortStableFunc(v.violations, func(a, b Violation) int { return strings.Compare(a.Key, b.Key) })
	return v.summary, v.violations
}

type jobLocation struct {
	key    string
	record jobstore.JobRecord
}

type chunkID struct {
	job string
	n   int
}

type verifier struct {
	all        map[string]wire.Raw
	form       jobstore.SchemaRecord
	jobs       map[string]jobLocation
	chunks     map[chunkID]string
	summary    Summary
	violations []Violation
}

func (v *verifier) report(key, what string, args ...any) {
	v.violations = append(v.violations, Violation{key, fmt.Sprintf(what, args...)})
}

// decode decodes a key's value, or says that it can't be read.
func (v *verifier) decode(key string, out any) bool {
	if err := wire.Unmarshal(v.all[key], out); err != nil {
		v.report(key, "can't be read: %v", err)
		return false
	}
	return true
}

func (v *verifier) readForm() {
	raw, ok := v.all[jobstore.SchemaKey]
	if !ok {
		return
	}
	if len(raw) > 0 && v.decode(jobstore.SchemaKey, &v.form) && v.form.Version > jobstore.LatestSchema {
		v.report(jobstore.SchemaKey, "form %d is newer than this program reads (%d)", v.form.Version, jobstore.LatestSchema)
	}
}

// checkJobKey takes in the jobs that stand on a key.
func (v *verifier) checkJobKey(key string) {
	if jobstore.IsJobPageKey(key) {
		page, err := jobstore.DecodeJobPage(v.all[key])
		if a, ok := jobstore.DecodeQuarantinedPage(v.all[key]); ok {
			v.report(key, "what stood at %s can't be read, and was set aside", a.OriginalKey)
			return
		}
		if err != nil {
			v.report(key, "can't be read: %v", err)
			return
		}
		if v.form.Version < jobstore.SchemaJobPages {
			v.report(key, "jobs share a page, and the form is %d", v.form.Version)
		}
		for _, e := range page.Entries {
			rec, err := e.Decode()
			if err != nil {
				v.report(key, "%v", err)
				continue
			}
			if v.form.Buckets > 0 && key != jobstore.HeadPageKey(v.form.Bucket(e.ID)) && !strings.HasPrefix(key, jobstore.HeadPageKey(v.form.Bucket(e.ID))+".") {
				v.report(key, "job %s belongs to bucket %d", e.ID, v.form.Bucket(e.ID))
			}
			v.addJob(key, e.ID, rec)
		}
		return
	}
	id, ok := jobstore.ParseJobKey(key)
	over := false
	if !ok {
		if id, over = jobstore.ParseFinalKey(key); !over {
			if _, page := jobstore.ParsePlacementPageKey(key); !page {
				v.summary.Other++
			}
			return
		}
	}
	var rec jobstore.JobRecord
	if !v.decode(key, &rec) {
		return
	}
	if rec.Job.ID != id {
		v.report(key, "its record is that of job %q", rec.Job.ID)
	}
	if over && rec.State != wire.JobDone && rec.State != wire.JobCancelled {
		v.report(key, "is over with state %q", rec.State)
	}
	v.addJob(key, id, rec)
}

func (v *verifier) addJob(key, id string, rec jobstore.JobRecord) {
	if was, ok := v.jobs[id]; ok {
		v.report(key, "job %s stands at %s as well", id, was.key)
		return
	}
	v.jobs[id] = jobLocation{key, rec}
	if rec.State == "" {
		v.summary.Unfinished++
	} else {
		v.summary.Finished++
	}
}

// checkPlacementPage takes in a page of placement records.
func (v *verifier) checkPlacementPage(key string) {
	var page jobstore.PlacementPage
	if !v.decode(key, &page) {
		return
	}
	for i := range page.Chunks {
		c := &page.Chunks[i]
		name := chunkID{c.Job, c.Chunk}
		if other, ok := v.chunks[name]; ok {
			v.report(key, "chunk %d of job %s stands at %s as well", c.Chunk, c.Job, other)
			continue
		}
		v.chunks[name] = key
		j, ok := v.jobs[c.Job]
		if !ok {
			v.report(key, "chunk %d of job %s, which is not there", c.Chunk, c.Job)
			continue
		}
		lo, hi := c.Chunk*jobstore.ChunkSize, min((c.Chunk+1)*jobstore.ChunkSize, j.record.Job.Tasks)
		done := map[int]bool{}
		for k := 0; k+1 < len(c.DoneRanges); k += 2 {
			if c.DoneRanges[k] < lo || c.DoneRanges[k+1] >= hi || c.DoneRanges[k] > c.DoneRanges[k+1] {
				v.report(key, "job %s: tasks %d to %d are done, and its chunk has %d to %d", c.Job, c.DoneRanges[k], c.DoneRanges[k+1], lo, hi-1)
				continue
			}
			for t := c.DoneRanges[k]; t <= c.DoneRanges[k+1]; t++ {
				done[t] = true
			}
		}
		if j.record.State != "" {
			continue // what is left of a job that is over leaves with the page's next change
		}
		placed := map[int]string{}
		for _, p := range c.Placements {
			switch {
			case p.Task < lo || p.Task >= hi:
				v.report(key, "job %s has no task %d in chunk %d", c.Job, p.Task, c.Chunk)
			case done[p.Task]:
				v.report(key, "task %s/%d is done, and placed on %s", c.Job, p.Task, p.Machine)
			case placed[p.Task] != "":
				v.report(key, "task %s/%d is placed on %s and on %s", c.Job, p.Task, placed[p.Task], p.Machine)
			case p.Attempt > c.MaxAttempt:
				v.report(key, "task %s/%d is placed with attempt %d, the highest used being %d", c.Job, p.Task, p.Attempt, c.MaxAttempt)
			}
			placed[p.Task] = p.Machine
			v.summary.Placements++
		}
	}
}
