// Tests of the leader's batches whose records are as large as a value may be.

package cluster

import (
	"fmt"
	"strings"
	"testing"

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
