// Tests of the leader's batches whose records are as large as a value may be.

package cluster

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// maxTransactionBytes is the size limit of a transaction in the key-value store.
const maxTransactionBytes = 64 << 10

// largeArrayJob returns arrayJob with a list of allowed machine types that makes its record take about
// the given number of bytes.
func largeArrayJob(id string, tasks, bytes int) jobstore.JobRecord {
	const typeBytes = 40
	rec := arrayJob(id, tasks)
	rec.Job.Types = []string{"m"}
	for rec.Size() < bytes {
		rec.Job.Types = append(rec.Job.Types, fmt.Sprintf("%0*d", typeBytes-len(`"",`), len(rec.Job.Types)))
	}
	return rec
}

// transactionSize returns the size of a batch as the controller sends it, as JSON.
func transactionSize(t *testing.T, b *WriteBatch) int {
	t.Helper()
	leader := wire.Guard{Key: "ctl/leader", Version: 1 << 40}
	return jsonSize(t, wire.Txn{If: append([]wire.Guard{leader}, b.Guards...), Then: b.Ops})
}

// modelWithDoneLargeJobs returns a model with eight done jobs whose final records take about
// recordBytes each. The jobs have keys of their own, or share admission pages of the given number of
// jobs.
func modelWithDoneLargeJobs(t *testing.T, recordBytes, perPage int) *Model {
	t.Helper()
	m := newModel(5)
	answer(t, m, newHeartbeat(1, 5), at(0))
	var page jobstore.JobPage
	for i := range 8 {
		id := fmt.Sprintf("wk-%06d", i+1)
		rec := largeArrayJob(id, 1, recordBytes)
		if perPage == 0 {
			m.ApplyJobRecord(id, rec, uint64(i+1), at(0))
		} else {
			raw, err := wire.Marshal(rec)
			if err != nil {
				t.Fatal(err)
			}
			page.Entries = append(page.Entries, jobstore.JobPageEntry{ID: id, Record: raw})
			if len(page.Entries) == perPage {
				m.ApplyAdmissionPages([]AdmissionPage{{Key: jobstore.SealedPageKey(0, uint64(i+1)), Version: uint64(i + 1), Record: page}}, at(0))
				page = jobstore.JobPage{}
			}
		}
	}
	for _, j := range m.Jobs {
		m.markDone(j, 0, at(1))
	}
	return m
}

// The leader counted each final record with 1,000 bytes. Several that are as large as a value may be
// made a transaction of more than 64 KiB, which the store rejects. Every batch must fit, and all final
// records must be committed.
func TestBatchesOfLargeFinalRecordsFitIntoATransaction(t *testing.T) {
	for _, c := range []struct {
		name                 string
		recordBytes, perPage int
		maxOps               int
		wantBatches          int // at most; the last one may write the placement page
	}{
		{"keys of their own, 16 KiB", 16000, 0, 12, 5},
		{"keys of their own, 8 KiB", 8000, 0, 24, 3},
		{"shared pages, 7 KiB", 7500, 2, 12, 5},
		{"ordinary records", 600, 0, 24, 2},
	} {
		m := modelWithDoneLargeJobs(t, c.recordBytes, c.perPage)
		batches, finals := 0, 0
		for rev := uint64(100); m.PendingWrites() > 0; rev++ {
			b := m.NextBatch(c.maxOps)
			if b == nil || batches > 20 {
				t.Fatalf("%s: writes are pending after %d batches", c.name, batches)
			}
			if size := transactionSize(t, b); size > maxTransactionBytes {
				t.Errorf("%s: a transaction has %d bytes, want at most %d", c.name, size, maxTransactionBytes)
			}
			for _, op := range b.Ops {
				if strings.HasPrefix(op.Put, "f/") {
					finals++
				}
			}
			batches++
			b.OnCommit(rev, at(2))
		}
		if finals != 8 || batches > c.wantBatches {
			t.Errorf("%s: %d final records in %d batches, want 8 in at most %d", c.name, finals, batches, c.wantBatches)
		}
	}
}

// New placements wait for a machine that stands idle. Large final records must leave room for them in
// the first batch.
func TestLargeFinalRecordsLeaveRoomForPlacements(t *testing.T) {
	m := modelWithDoneLargeJobs(t, 16300, 0)
	m.ApplyJobRecord("wk-000100", arrayJob("wk-000100", 1), 100, at(1))
	m.Schedule(at(1), 0)
	b := m.NextBatch(12)
	if b == nil || !b.placesTasks {
		t.Fatal("the first batch has no placements")
	}
	if size := transactionSize(t, b); size > maxTransactionBytes {
		t.Errorf("the transaction has %d bytes, want at most %d", size, maxTransactionBytes)
	}
	if len(b.jobs) < 2 { // the placed job and a done one
		t.Error("the first batch has no final record")
	}
}

// commitUnless commits batches until there is nothing to write. The store rejects those that change
// rejectedKey. It returns how many were rejected.
func commitUnless(t *testing.T, m *Model, rejectedKey string, now time.Time) (rejections int) {
	t.Helper()
	batches := 0
	for rev := uint64(100); m.PendingWrites() > 0; rev++ {
		if batches++; batches > 40 {
			t.Fatalf("writes are pending after %d batches, %d of them rejected", batches-1, rejections)
		}
		b := m.NextBatch(max(m.PendingWrites(), 3))
		switch {
		case b == nil:
		case slices.Contains(b.Keys(), rejectedKey):
			rejections++
			m.RejectBatch(b, now)
			m.RequeueBatch(b)
		default:
			b.OnCommit(rev, now)
		}
	}
	return rejections
}

// The leader repeated a batch that the store had rejected without any change, for ever, so that one
// record that the store does not take stopped all commits. All other records must be committed, and the
// rejected one later, when the store takes it.
func TestRejectedRecordStopsNoOtherCommit(t *testing.T) {
	for _, perPage := range []int{0, 2} {
		m := modelWithDoneLargeJobs(t, 600, perPage)
		m.ApplyJobRecord("wk-000100", arrayJob("wk-000100", 1), 100, at(1))
		m.Schedule(at(1), 0)
		if n := commitUnless(t, m, jobstore.FinalKey("wk-000003"), at(2)); n < 1 || n > 3 {
			t.Errorf("%d transactions were rejected, want 1 to 3", n)
		}
		for i := range 8 {
			id := fmt.Sprintf("wk-%06d", i+1)
			if finished := m.Job(id) == nil; finished != (id != "wk-000003") {
				t.Errorf("the final record of %s is committed: %v", id, finished)
			}
		}
		j := m.Job("wk-000100")
		if p := j.Tasks[0].Placement; p == nil || !j.chunkOf(0).isCommitted(p.chunkGeneration) {
			t.Error("the placement of wk-000100 is not committed")
		}
		m.RetryRejectedWrites(at(2).Add(RejectedWriteRetry - time.Second))
		if n := m.PendingWrites(); n != 0 {
			t.Errorf("%d changes are pending before the rejected record is due again, want 0", n)
		}
		m.RetryRejectedWrites(at(2).Add(RejectedWriteRetry))
		if n := commitUnless(t, m, "", at(20)); n != 0 || m.Job("wk-000003") != nil {
			t.Error("the final record of wk-000003 is not committed once the store takes it")
		}
	}
}

// A placement page that the store rejects must not stop other pages, and no further jobs are put on it.
func TestRejectedPlacementPageStopsNoOtherPage(t *testing.T) {
	m, _ := modelWithPlacedJobs(t, 60, 20)
	for _, j := range m.Jobs {
		m.markDone(j, 0, at(3))
	}
	if n := commitUnless(t, m, jobstore.PlacementPageKey(0), at(3)); n < 1 || n > 3 {
		t.Errorf("%d transactions were rejected, want 1 to 3", n)
	}
	rejected := m.writes.placementPages.pages[0]
	chunks := len(rejected.chunks)
	for _, p := range m.writes.placementPages.pages[1:] {
		if p.isChanged() {
			t.Errorf("page %d is not committed", p.number)
		}
	}
	m.ApplyJobRecord("wk-000100", arrayJob("wk-000100", 1), 100, at(4))
	m.Schedule(at(4), 1000)
	if p := m.Job("wk-000100").Chunks[0].page; p == nil || p == rejected || len(rejected.chunks) != chunks {
		t.Error("wk-000100 is put on the rejected page, or on none")
	}
	m.RetryRejectedWrites(at(3).Add(RejectedWriteRetry))
	if commitUnless(t, m, "", at(20)); rejected.isChanged() {
		t.Error("the page is not committed once the store takes it")
	}
}

// A plan record that the store rejects must not stop the others.
func TestRejectedPlanRecordStopsNoOther(t *testing.T) {
	m := newModel(5)
	for _, name := range []string{"a", "b", "c"} {
		m.queuePlanRecord(name, map[string]int{"x": 1})
	}
	rejections := 0
	for rev := uint64(100); m.PendingPlanRecords() > 0 && rev < 120; rev++ {
		b := m.PlanRecordBatch(12)
		if slices.Contains(b.Keys(), jobstore.PlanStatePrefix+"b") {
			rejections++
			m.RejectBatch(b, at(1))
			m.RequeueBatch(b)
			continue
		}
		b.OnCommit(rev, at(1))
	}
	if m.planRecordPending("a") || m.planRecordPending("c") || !m.planRecordPending("b") || rejections > 3 {
		t.Errorf("pending: a %v, b %v, c %v, after %d rejections", m.planRecordPending("a"), m.planRecordPending("b"), m.planRecordPending("c"), rejections)
	}
	m.RetryRejectedWrites(at(1).Add(RejectedWriteRetry))
	if m.PendingPlanRecords() != 1 {
		t.Error("the rejected record is not written again")
	}
}

// A final record is larger than the active one. If the active one was as large as a value may be, the
// store rejected the final one, and the job was never done. It must fit, and still name the job.
func TestFinalRecordOfTheLargestJobFitsIntoAValue(t *testing.T) {
	const valueBytes = 16 << 10
	m := newModel(5)
	rec := largeArrayJob("wk-000001", 1, valueBytes-20)
	rec.Job.Types[1] += strings.Repeat("x", max(0, valueBytes-jsonSize(t, rec)))
	if size := jsonSize(t, rec); size != valueBytes {
		t.Fatalf("the active record has %d bytes, want %d", size, valueBytes)
	}
	m.ApplyJobRecord("wk-000001", rec, 1, at(0))
	m.markDone(m.Job("wk-000001"), 0, at(1))
	b := m.NextBatch(12)
	for _, op := range b.Ops {
		final, ok := op.Value.(jobstore.JobRecord)
		if !ok {
			continue
		}
		if size := jsonSize(t, final); size > valueBytes {
			t.Errorf("the final record has %d bytes, want at most %d", size, valueBytes)
		}
		if final.State != wire.JobDone || final.Job.ID != rec.Job.ID || final.Job.Tasks != rec.Job.Tasks || final.Job.Team != rec.Job.Team {
			t.Errorf("the final record is that of %+v, %s", final.Job, final.State)
		}
		return
	}
	t.Error("the batch has no final record")
}
