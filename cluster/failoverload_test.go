package cluster

import (
	"errors"
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// A model must load any placement page that can be decoded. Afterwards it must finish its writes,
// and its task counts must be within the job's number of tasks. Damaged pages could otherwise lead
// to endless writes or wrong counts.
func FuzzLoadPage(f *testing.F) {
	addSeed := func(rec jobstore.PlacementPage) {
		b, err := wire.Marshal(rec)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	addSeed(jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 3, DoneRanges: []int{1, 2}, Placements: []jobstore.Placement{{Task: 0, Attempt: 3, Machine: "host-000001"}}}}})
	addSeed(jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", Chunk: -1}, {Job: "wk-000001", DoneRanges: []int{-5, 1 << 40, 3}}, {Job: "wk-000001", Placements: []jobstore.Placement{{Task: -1}, {Task: 4}}}}})
	addSeed(jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001"}, {Job: "wk-000001"}, {Job: "nobody", Placements: []jobstore.Placement{{}}}}})
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
			t.Error("writes are still pending after 20 batches")
		}
		if j := m.Job("wk-000001"); j != nil && (j.DoneTasks < 0 || j.DoneTasks > 4 || j.PlacedTasks < 0 || j.PlacedTasks > 4) {
			t.Errorf("got %d tasks done and %d placed, want 0 to 4 of each for a job with 4 tasks", j.DoneTasks, j.PlacedTasks)
		}
	})
}

// BenchmarkTakeover measures how long a new leader takes to load records, by number of unfinished
// tasks. Finished jobs are not loaded.
func BenchmarkTakeover(b *testing.B) {
	for _, tasks := range []int{1_000, 10_000, 100_000} {
		const tasksPerJob = 20
		var pages []jobstore.PlacementPage
		var jobs []jobstore.JobRecord
		for n := range tasks / tasksPerJob {
			id := fmt.Sprintf("wk-%06d", n)
			jobs = append(jobs, arrayJob(id, tasksPerJob))
			c := jobstore.PlacementChunk{Job: id, MaxAttempt: tasksPerJob}
			for t := range tasksPerJob {
				c.Placements = append(c.Placements, jobstore.Placement{Task: t, Attempt: uint64(t + 1), Machine: fmt.Sprintf("host-%06d", (n*tasksPerJob+t)/4)})
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

// A job whose record is newer than an unreadable page has no placements on that page, and must not
// be quarantined. A job with a reservation must be, because its record changes after the job was
// accepted.
func TestJobsNewerThanUnreadablePlacementPageAreNotQuarantined(t *testing.T) {
	m := newModel(5)
	reserved := arrayJob("wk-000003", 4)
	reserved.Reservation = &jobstore.Reservation{Owner: "w/y/a"}
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 4), 4, at(0))
	m.ApplyJobRecord("wk-000002", arrayJob("wk-000002", 4), 9, at(0))
	m.ApplyJobRecord("wk-000003", reserved, 9, at(0))
	m.QuarantinePlacementPage(0, 5, errors.New("damaged"))
	m.FinishLoading(at(0))
	for id, want := range map[string]bool{"wk-000001": true, "wk-000002": false, "wk-000003": true} {
		if got := m.Job(id).quarantined; got != want {
			t.Errorf("%s: quarantined = %v, want %v", id, got, want)
		}
	}
}
