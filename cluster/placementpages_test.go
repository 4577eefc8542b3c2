package cluster

import (
	"fmt"
	"strings"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// modelWithPlacedJobs returns a model with jobs of the given number of tasks each, placed on enough
// machines, and its placement pages by key. All pages are committed.
func modelWithPlacedJobs(t *testing.T, jobs, tasks int) (*Model, map[string]jobstore.PlacementPage) {
	t.Helper()
	m := newModel(5)
	for i := range jobs * tasks / 4 {
		r := newHeartbeat(1, 5)
		r.Machine = fmt.Sprintf("host-%06d", i)
		m.ApplyHeartbeat(r, at(0))
	}
	for i := range jobs {
		id := fmt.Sprintf("wk-%06d", i)
		m.ApplyJobRecord(id, arrayJob(id, tasks), 1, at(0))
	}
	m.Schedule(at(1), 1000)
	stored := map[string]jobstore.PlacementPage{}
	writeAll(t, m, stored)
	return m, stored
}

// writeAll commits batches until there is nothing to write, and applies them to stored. It returns
// the number of changes. It checks the limits of the key-value service: 12 changes, 48 conditions
// and 64 KiB per transaction, and 16 KiB per value. The values of a transaction may take 60 KiB.
func writeAll(t *testing.T, m *Model, stored map[string]jobstore.PlacementPage) (changes int) {
	t.Helper()
	for rev := uint64(100); m.PendingWrites() > 0; rev++ {
		if rev > 300 {
			t.Fatal("writes are still pending after 200 batches")
		}
		b := m.NextBatch(12)
		if b == nil {
			continue
		}
		if len(b.Ops) > 12 || len(b.Guards)+1 > 48 {
			t.Errorf("a transaction has %d changes and %d conditions, want at most 12 and 48", len(b.Ops), len(b.Guards)+1)
		}
		total := 0
		for _, op := range b.Ops {
			n := jsonSize(t, op.Value)
			total += n
			if n > 16<<10 {
				t.Errorf("the value of %s has %d bytes, want at most 16 KiB", op.Put, n)
			}
			if rec, ok := op.Value.(jobstore.PlacementPage); ok {
				stored[op.Put] = rec
			}
			delete(stored, op.Delete)
		}
		if total > 60<<10 {
			t.Errorf("a transaction has %d bytes, want at most 60 KiB", total)
		}
		changes += len(b.Ops)
		b.OnCommit(rev, at(2))
	}
	return changes
}

// jsonSize returns the size of a value as JSON text, which is how the service counts it.
func jsonSize(t *testing.T, v any) int {
	t.Helper()
	return golden.JSONSize(t, wire.Marshal, v)
}

// The placement records of many jobs must share few pages. With one key per job, dozens of jobs
// whose tasks start and end each second would need more changes than the service accepts.
func TestPlacementsOfManyJobsShareFewPages(t *testing.T) {
	m, stored := modelWithPlacedJobs(t, 120, 20)
	if len(stored) > 12 {
		t.Errorf("got %d pages for 120 jobs, want at most 12", len(stored))
	}
	placed := 0
	for _, p := range stored {
		for _, c := range p.Chunks {
			placed += len(c.Placements)
		}
	}
	if placed < 1000 {
		t.Fatalf("got %d recorded placements, want at least 1000", placed)
	}
	// When one task of each job ends, each page is written once.
	for _, j := range m.Jobs {
		m.markDone(j, 0, at(3))
	}
	if n := writeAll(t, m, stored); n > 12 {
		t.Errorf("got %d changes after a task of each job ended, want at most 12", n)
	}
}

// A new leader must load exactly the committed placements and continue from the used attempt
// numbers. Otherwise it would lose tasks, or give two attempts the same number.
func TestNewLeaderLoadsPlacementPages(t *testing.T) {
	m, stored := modelWithPlacedJobs(t, 30, 10)
	m.markDone(m.Jobs[3], 4, at(3))
	writeAll(t, m, stored)
	next := newModel(9)
	for _, j := range m.Jobs {
		next.ApplyJobRecord(j.ID, jobstore.JobRecord{Job: j.Spec, AcceptedAtMs: t0.UnixMilli()}, 1, at(5))
	}
	for key, rec := range stored {
		n, ok := jobstore.ParsePlacementPageKey(key)
		if !ok {
			t.Fatal(key)
		}
		next.LoadPlacementPage(n, rec, 200, at(5))
	}
	for _, j := range m.Jobs {
		got := next.Job(j.ID)
		if got.PlacedTasks != j.PlacedTasks || got.DoneTasks != j.DoneTasks || got.lastAttempt != j.lastAttempt {
			t.Errorf("%s: got %d placed, %d done, last attempt %d, want %d, %d, %d", j.ID,
				got.PlacedTasks, got.DoneTasks, got.lastAttempt, j.PlacedTasks, j.DoneTasks, j.lastAttempt)
		}
	}
	if n := next.PendingWrites(); n != 0 {
		t.Errorf("got %d pending writes after loading, want 0", n)
	}
}

// The placement records of a finished job must be removed with the next change of their page, and
// empty pages must be deleted. Otherwise the pages would fill up.
func TestFinishedJobsLeavePlacementPages(t *testing.T) {
	m, stored := modelWithPlacedJobs(t, 10, 4)
	for _, j := range append([]*Job(nil), m.Jobs...) {
		for i := range j.Tasks {
			m.markDone(j, int32(i), at(3))
		}
	}
	writeAll(t, m, stored)
	if len(stored) != 0 {
		t.Errorf("got pages %v after all jobs finished, want none", stored)
	}
}

// A new leader loads pages before it knows any machine's name, and sized their chunks for short names. It put
// further chunks on these pages, which exceeded a value once their tasks were placed on machines with long
// names. Every page must fit.
func TestPagesLoadedBeforeMachineNamesAreKnownFit(t *testing.T) {
	const jobs, tasks, chunksOfAPage = 24, 20, 12
	m := newModel(9)
	var loaded jobstore.PlacementPage
	for i := range jobs {
		id := fmt.Sprintf("wk-%06d", i)
		m.ApplyJobRecord(id, arrayJob(id, tasks), 1, at(0))
		if i < chunksOfAPage {
			loaded.Chunks = append(loaded.Chunks, jobstore.PlacementChunk{Job: id, MaxAttempt: 3})
		}
	}
	m.LoadPlacementPage(0, loaded, 2, at(0))
	m.FinishLoading(at(0))
	for i := range jobs * tasks / 4 {
		h := newHeartbeat(1, 9)
		h.Machine = fmt.Sprintf("host-%s-%06d", strings.Repeat("x", 30), i)
		m.ApplyHeartbeat(h, at(0))
	}
	m.Schedule(at(1), 1000)
	stored := map[string]jobstore.PlacementPage{}
	writeAll(t, m, stored) // checks the sizes
	placed := 0
	for _, p := range stored {
		for _, c := range p.Chunks {
			placed += len(c.Placements)
		}
	}
	if placed != jobs*tasks {
		t.Errorf("%d placements are recorded, want %d", placed, jobs*tasks)
	}
}
