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
	v := &verifier{all: all, jobs: map[string]at{}, chunks: map[chunk]string{}}
	v.totals.Keys = len(all)
	keys := slices.Sorted(maps.Keys(all))
	v.readForm()
	for _, key := range keys {
		v.job(key)
	}
	for _, key := range keys {
		if _, ok := jobstore.ParsePlacementPageKey(key); ok {
			v.page(key)
		}
	}
	v.plan()
	v.pools()
	slices.SortStableFunc(v.found, func(a, b Violation) int { return strings.Compare(a.Key, b.Key) })
	return v.totals, v.found
}

type at struct {
	key string
	rec jobstore.JobRecord
}

type chunk struct {
	job string
	n   int
}

type verifier struct {
	all    map[string]wire.Raw
	form   jobstore.SchemaRecord
	jobs   map[string]at
	chunks map[chunk]string
	totals Summary
	found  []Violation
}

func (v *verifier) say(key, what string, args ...any) {
	v.found = append(v.found, Violation{key, fmt.Sprintf(what, args...)})
}

// read decodes a key's value, or says that it can't be read.
func (v *verifier) read(key string, out any) bool {
	if err := wire.Unmarshal(v.all[key], out); err != nil {
		v.say(key, "can't be read: %v", err)
		return false
	}
	return true
}

func (v *verifier) readForm() {
	raw, ok := v.all[jobstore.SchemaKey]
	if !ok {
		return
	}
	if len(raw) > 0 && v.read(jobstore.SchemaKey, &v.form) && v.form.Version > jobstore.LatestSchema {
		v.say(jobstore.SchemaKey, "form %d is newer than this program reads (%d)", v.form.Version, jobstore.LatestSchema)
	}
}

// job takes in the jobs that stand on a key.
func (v *verifier) job(key string) {
	if jobstore.IsJobPageKey(key) {
		page, err := jobstore.DecodeJobPage(v.all[key])
		if a, ok := jobstore.DecodeQuarantinedPage(v.all[key]); ok {
			v.say(key, "what stood at %s can't be read, and was set aside", a.OriginalKey)
			return
		}
		if err != nil {
			v.say(key, "can't be read: %v", err)
			return
		}
		if v.form.Version < jobstore.SchemaJobPages {
			v.say(key, "jobs share a page, and the form is %d", v.form.Version)
		}
		for _, e := range page.Entries {
			rec, err := e.Decode()
			if err != nil {
				v.say(key, "%v", err)
				continue
			}
			if v.form.Buckets > 0 && key != jobstore.HeadPageKey(v.form.Bucket(e.ID)) && !strings.HasPrefix(key, jobstore.HeadPageKey(v.form.Bucket(e.ID))+".") {
				v.say(key, "job %s belongs to bucket %d", e.ID, v.form.Bucket(e.ID))
			}
			v.put(key, e.ID, rec)
		}
		return
	}
	id, ok := jobstore.ParseJobKey(key)
	over := false
	if !ok {
		if id, over = jobstore.ParseFinalKey(key); !over {
			if _, page := jobstore.ParsePlacementPageKey(key); !page {
				v.totals.Other++
			}
			return
		}
	}
	var rec jobstore.JobRecord
	if !v.read(key, &rec) {
		return
	}
	if rec.Job.ID != id {
		v.say(key, "its record is that of job %q", rec.Job.ID)
	}
	if over && rec.State != wire.JobDone && rec.State != wire.JobCancelled {
		v.say(key, "is over with state %q", rec.State)
	}
	v.put(key, id, rec)
}

func (v *verifier) put(key, id string, rec jobstore.JobRecord) {
	if was, ok := v.jobs[id]; ok {
		v.say(key, "job %s stands at %s as well", id, was.key)
		return
	}
	v.jobs[id] = at{key, rec}
	if rec.State == "" {
		v.totals.Unfinished++
	} else {
		v.totals.Finished++
	}
}

// page takes in a page of placement records.
func (v *verifier) page(key string) {
	var page jobstore.PlacementPage
	if !v.read(key, &page) {
		return
	}
	for i := range page.Chunks {
		c := &page.Chunks[i]
		name := chunk{c.Job, c.Chunk}
		if other, ok := v.chunks[name]; ok {
			v.say(key, "chunk %d of job %s stands at %s as well", c.Chunk, c.Job, other)
			continue
		}
		v.chunks[name] = key
		j, ok := v.jobs[c.Job]
		if !ok {
			v.say(key, "chunk %d of job %s, which is not there", c.Chunk, c.Job)
			continue
		}
		lo, hi := c.Chunk*jobstore.ChunkSize, min((c.Chunk+1)*jobstore.ChunkSize, j.rec.Job.Tasks)
		done := map[int]bool{}
		for k := 0; k+1 < len(c.DoneRanges); k += 2 {
			if c.DoneRanges[k] < lo || c.DoneRanges[k+1] >= hi || c.DoneRanges[k] > c.DoneRanges[k+1] {
				v.say(key, "job %s: tasks %d to %d are done, and its chunk has %d to %d", c.Job, c.DoneRanges[k], c.DoneRanges[k+1], lo, hi-1)
				continue
			}
			for t := c.DoneRanges[k]; t <= c.DoneRanges[k+1]; t++ {
				done[t] = true
			}
		}
		if j.rec.State != "" {
			continue // what is left of a job that is over leaves with the page's next change
		}
		placed := map[int]string{}
		for _, p := range c.Placements {
			switch {
			case p.Task < lo || p.Task >= hi:
				v.say(key, "job %s has no task %d in chunk %d", c.Job, p.Task, c.Chunk)
			case done[p.Task]:
				v.say(key, "task %s/%d is done, and placed on %s", c.Job, p.Task, p.Machine)
			case placed[p.Task] != "":
				v.say(key, "task %s/%d is placed on %s and on %s", c.Job, p.Task, placed[p.Task], p.Machine)
			case p.Attempt > c.MaxAttempt:
				v.say(key, "task %s/%d is placed with attempt %d, the highest used being %d", c.Job, p.Task, p.Attempt, c.MaxAttempt)
			}
			placed[p.Task] = p.Machine
			v.totals.Placements++
		}
	}
}
