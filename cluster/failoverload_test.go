package cluster

import (
	"errors"
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Whatever a placement page holds, a model that loads it gets to the end of its writes, and
// its counts of tasks stay within the job's.
func FuzzLoadPage(f *testing.F) {
	add := func(rec jobstore.PlacementPage) {
		b, err := wire.Marshal(rec)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	add(jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 3, DoneRanges: []int{1, 2}, Placements: []jobstore.Placement{{Task: 0, Attempt: 3, Machine: "host-000001"}}}}})
	add(jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", Chunk: -1}, {Job: "wk-000001", DoneRanges: []int{-5, 1 << 40, 3}}, {Job: "wk-000001", Placements: []jobstore.Placement{{Task: -1}, {Task: 4}}}}})
	add(jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001"}, {Job: "wk-000001"}, {Job: "nobody", Placements: []jobstore.Placement{{}}}}})
	f.Fuzz(func(t *testing.T, b []byte) {
		var rec jobstore.PlacementPage
		if wire.Unmarshal(b, &rec) != nil {
			return
		}
		m := newModel(5)
		m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 4), 1, at(0))
		m.LoadPlacementPage(0, rec, 2, at(0))
		m.FinishLoading(at(0))
		r := newHeartbeat(1, 5)
		m.ApplyHeartbeat(r, at(1))
		m.Schedule(at(2), 1000)
		for range 20 {
			if b := m.NextBatch(12); b != nil {
				b.OnCommit(9, at(2))
			}
		}
		if m.PendingWrites() > 0 {
			t.Error("writing does not end")
		}
		if j := m.Job("wk-000001"); j != nil && (j.DoneTasks < 0 || j.DoneTasks > 4 || j.PlacedTasks < 0 || j.PlacedTasks > 4) {
			t.Errorf("%d done, %d placed of 4", j.DoneTasks, j.PlacedTasks)
		}
	})
}

// BenchmarkTakeover measures how long a new leader takes to load records, by the number of
// unfinished tasks. Finished jobs are not loaded.
func BenchmarkTakeover(b *testing.B) {
	for _, tasks := range []int{1_000, 10_000, 100_000} {
		const each = 20
		var pages []jobstore.PlacementPage
		var jobs []jobstore.JobRecord
		for n := range tasks / each {
			id := fmt.Sprintf("wk-%06d", n)
			jobs = append(jobs, arrayJob(id, each))
			c := jobstore.PlacementChunk{Job: id, MaxAttempt: each}
			for t := range each {
				c.Placements = append(c.Placements, jobstore.Placement{Task: t, Attempt: uint64(t + 1), Machine: fmt.Sprintf("host-%06d", (n*each+t)/4)})
			}
			if n%16 == 0 {
				pages = append(pages, jobstore.PlacementPage{})
			}
			last := &pages[len(pages)-1]
			last.Chunks = append(last.Chunks, c)
		}
		raw := func(v any) wire.Raw {
			out, err := wire.Marshal(v)
			if err != nil {
				b.Fatal(err)
			}
			return out
		}
		var rawJobs, rawPages []wire.Raw
		bytes := 0
		for i := range jobs {
			rawJobs = append(rawJobs, raw(jobs[i]))
			bytes += len(rawJobs[i])
		}
		for i := range pages {
			rawPages = append(rawPages, raw(pages[i]))
			bytes += len(rawPages[i])
		}
		b.Run(fmt.Sprintf("%d tasks", tasks), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				m := newModel(5)
				for i, v := range rawJobs {
					var rec jobstore.JobRecord
					if err := wire.Unmarshal(v, &rec); err != nil {
						b.Fatal(err)
					}
					m.ApplyJobRecord(jobs[i].Job.ID, rec, 1, at(0))
				}
				for i, v := range rawPages {
					var rec jobstore.PlacementPage
					if err := wire.Unmarshal(v, &rec); err != nil {
						b.Fatal(err)
					}
					m.LoadPlacementPage(i, rec, 2, at(0))
				}
				m.FinishLoading(at(0))
			}
			b.ReportMetric(float64(len(rawJobs)+len(rawPages)), "keys")
			b.ReportMetric(float64(bytes)/1024, "KiB-read")
		})
	}
}

// The version of a job's record shows that the job is newer than an unreadable page, and so
// has no placements on it. That does not hold for a job with a reservation, whose record
// changes after the job was accepted.
func TestJobsNewerThanUnreadablePlacementPageAreNotQuarantined(t *testing.T) {
	m := newModel(5)
	marked := arrayJob("wk-000003", 4)
	marked.Reservation = &jobstore.Reservation{Owner: "w/y/a"}
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 4), 4, at(0))
	m.ApplyJobRecord("wk-000002", arrayJob("wk-000002", 4), 9, at(0))
	m.ApplyJobRecord("wk-000003", marked, 9, at(0))
	m.QuarantinePlacementPage(0, 5, errors.New("damaged"))
	m.FinishLoading(at(0))
	for id, want := range map[string]bool{"wk-000001": true, "wk-000002": false, "wk-000003": true} {
		if got := m.Job(id).quarantined; got != want {
			t.Errorf("%s set aside: %v", id, got)
		}
	}
}
