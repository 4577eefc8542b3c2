package snapshot_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/snapshot"
	"github.com/umberdeal/umberdeal/wire"
)

// sample returns n entries and a snapshot file that holds them.
func sample(t *testing.T, n int) (map[string]wire.Raw, []byte) {
	t.Helper()
	var buf bytes.Buffer
	w, err := snapshot.NewWriter(&buf, snapshot.Header{Revision: 7, AtMs: 1000, By: "test"})
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]wire.Raw{}
	for i := range n {
		raw, err := wire.Marshal(map[string]any{"n": i, "text": strings.Repeat("x", i%90)})
		if err != nil {
			t.Fatal(err)
		}
		p := snapshot.KeyValue{Key: fmt.Sprintf("k/%06d", i), Value: raw}
		all[p.Key] = raw
		if err := w.Add(p); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return all, buf.Bytes()
}

func read(b []byte) (map[string]wire.Raw, error) {
	r, err := snapshot.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	return r.All()
}

// Guards against entries that are lost or altered between a Writer and a Reader.
func TestReaderReturnsWhatWriterWrote(t *testing.T) {
	want, b := sample(t, 2000)
	got, err := read(b)
	if err != nil || len(got) != len(want) {
		t.Fatalf("got %d of %d entries, error %v", len(got), len(want), err)
	}
	for k := range want {
		if !bytes.Equal(got[k], want[k]) {
			t.Errorf("%s differs", k)
		}
	}
}

// A file that is truncated or altered at any position must be rejected. The error must name the block.
func TestTruncatedOrChangedFileIsRefused(t *testing.T) {
	_, b := sample(t, 1200)
	for n := 0; n < len(b); n += 1 + n/7 {
		if _, err := read(b[:n]); !errors.Is(err, snapshot.ErrCorrupt) {
			t.Errorf("truncated at byte %d of %d: got error %v, want ErrCorrupt", n, len(b), err)
		}
	}
	for n := 0; n < len(b); n += 1 + len(b)/400 {
		changed := bytes.Clone(b)
		changed[n] ^= 0x20
		_, err := read(changed)
		if err == nil {
			t.Errorf("byte %d of %d altered: got no error", n, len(b))
		}
		if n > 40 && !strings.Contains(fmt.Sprint(err), "block") {
			t.Errorf("byte %d altered: the error does not name the block: %v", n, err)
		}
	}
	if _, err := read(append(bytes.Clone(b), 0)); !errors.Is(err, snapshot.ErrCorrupt) {
		t.Errorf("data after the trailer: got error %v, want ErrCorrupt", err)
	}
}

// Guards against a panic, and against acceptance of arbitrary bytes as a snapshot.
func FuzzRead(f *testing.F) {
	f.Add([]byte("umberdeal snapshot\x01p\xff\xff\xff\xff"))
	f.Add([]byte("umberdeal snapshot\x02"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := read(b); err == nil {
			t.Error("accepted a file that no Writer has written")
		}
	})
}

func client(w *fake.Cluster) *kvstore.Client {
	return kvstore.New(w.Network.Dial("ops"), "state:1", 200, 200)
}

var errCut = errors.New("cut off")

// limitedClient is a key-value store client that executes only as many transactions as left says.
// All later transactions fail with errCut.
type limitedClient struct {
	*kvstore.Client
	left int
}

func (f *limitedClient) CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error) {
	if f.left--; f.left < 0 {
		return 0, errCut
	}
	return f.Client.CompareAndSwap(ctx, guards, ops)
}

// A snapshot that is taken while jobs are submitted and completed must be consistent. A key-value store
// restored from it must have every job.
func TestSnapshotOfRunningClusterRestoresIntoEmptyStore(t *testing.T) {
	var file bytes.Buffer
	var known map[string]string
	scenario.Run(t, fake.Options{Machines: 6, Capacity: 8}, func(t *testing.T, w *fake.Cluster) { //nolint:thelper // the body of the test
		known = map[string]string{}
		for n := range 60 {
			j := scenario.Job(n, func(j *wire.Job) { j.EstimateS = float64(2 + n%9) })
			scenario.MustSubmit(t, w, j)
			if n == 40 {
				h, keys, err := snapshot.Take(t.Context(), client(w), 20, &file, "test")
				if err != nil || keys < 20 || h.Revision == 0 {
					t.Fatalf("%d keys, %+v, %v", keys, h, err)
				}
			}
			if n < 40 {
				known[j.ID] = ""
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
	r, err := snapshot.NewReader(&file)
	if err != nil {
		t.Fatal(err)
	}
	all, err := r.All()
	if err != nil {
		t.Fatal(err)
	}
	totals, found := snapshot.Verify(all)
	if len(found) > 0 || totals.Finished == 0 || totals.Unfinished == 0 {
		t.Errorf("got summary %+v and violations %v, want finished and unfinished jobs and no violations", totals, found)
	}
	synctest.Test(t, func(t *testing.T) {
		w := fake.New(fake.Options{Machines: 4})
		defer w.Close()
		time.Sleep(5 * time.Second)
		w.KillAll()
		time.Sleep(30 * time.Second)
		if _, err := snapshot.Restore(t.Context(), client(w), r.Header, all, 12); !errors.Is(err, snapshot.ErrNotEmpty) {
			t.Errorf("import into a store that is not empty: got error %v, want ErrNotEmpty", err)
		}
		w.Store.Clear()
		// An interrupted import must resume where it stopped.
		first, err := snapshot.Restore(t.Context(), &limitedClient{client(w), 4}, r.Header, all, 5)
		if !errors.Is(err, errCut) || first == 0 {
			t.Errorf("the interrupted import wrote %d keys and returned %v, want errCut", first, err)
		}
		second, err := snapshot.Restore(t.Context(), client(w), r.Header, all, 12)
		if err != nil || second == 0 {
			t.Errorf("resumed import: wrote %d keys after %d, error %v", second, first, err)
		}
		if n := len(w.Store.Keys("")); n != len(all) {
			t.Errorf("the restored store has %d keys, want %d", n, len(all))
		}
		store := jobstore.New(client(w), jobstore.Config{})
		runCtx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); store.Run(runCtx) }()
		for id := range known {
			if _, ok, err := store.Lookup(t.Context(), id); err != nil || !ok {
				t.Errorf("job %s is missing in the restored store, error %v", id, err)
			}
		}
		stop()
		<-done
	})
}

// Verify must report each violated invariant with the key of the record.
func TestVerifyReportsEachViolation(t *testing.T) {
	raw := func(v any) wire.Raw {
		b, err := wire.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	record := func(n int, st string) jobstore.JobRecord {
		return jobstore.JobRecord{Job: scenario.Job(n, nil), State: st}
	}
	all := map[string]wire.Raw{
		jobstore.JobKey("wk-000001"):   raw(record(1, "")),
		jobstore.FinalKey("wk-000001"): raw(record(1, wire.JobDone)),
		jobstore.FinalKey("wk-000002"): raw(record(2, "lost")),
		jobstore.FinalKey("wk-000003"): raw(record(4, wire.JobDone)),
		jobstore.HeadPageKey(0):        raw(jobstore.JobPage{Entries: []jobstore.JobPageEntry{{ID: "wk-000005", Record: wire.Raw{0xc0}}}}),
		jobstore.JobKey("wk-000006"):   {0xc1},
		jobstore.JobKey("wk-000007"):   raw(record(7, "")),
		jobstore.PlacementPageKey(0): raw(jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{
			{Job: "wk-000007", MaxAttempt: 3, DoneRanges: []int{0, 0}, Placements: []jobstore.Placement{{Task: 0, Attempt: 2, Machine: "a"}, {Task: 1, Attempt: 9, Machine: "b"}, {Task: 5, Attempt: 1, Machine: "c"}}},
			{Job: "wk-000099"}, {Job: "wk-000007"}}}),
	}
	_, found := snapshot.Verify(all)
	var text []string
	for _, f := range found {
		text = append(text, f.String())
	}
	reported := strings.Join(text, "\n")
	for _, want := range []string{"w/j/wk-000001: job wk-000001 stands at f/wk-000001", "f/wk-000002: is over with state", "f/wk-000003: its record is that of",
		"w/j/+0: jobs share a page, and the form is 0", "w/j/+0: job wk-000005", "w/j/wk-000006: can't be read", "w/p/0: task wk-000007/0 is done, and placed on a",
		"w/p/0: task wk-000007/1 is placed with attempt 9", "w/p/0: job wk-000007 has no task 5", "w/p/0: chunk 0 of job wk-000099, which is not there",
		"w/p/0: chunk 0 of job wk-000007 stands at"} {
		if !strings.Contains(reported, want) {
			t.Errorf("missing violation: %s", want)
		}
	}
	if len(found) != 11 {
		t.Errorf("got %d violations, want 11:\n%s", len(found), reported)
	}
}

// The import counted a value with twice its encoded length. Values of small numbers take more as JSON,
// which is what the store counts, so that it rejected the transaction and the import failed.
func TestImportDividesLargeValuesOfSmallNumbers(t *testing.T) {
	numbers := make([]int, 4000)
	for i := range numbers {
		numbers[i] = 99
	}
	value, err := wire.Marshal(numbers)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string]wire.Raw{}
	for n := range 12 {
		all[fmt.Sprintf("x/%02d", n)] = value
	}
	synctest.Test(t, func(t *testing.T) {
		w := fake.New(fake.Options{Machines: 1})
		defer w.Close()
		w.KillAll()
		time.Sleep(time.Minute)
		w.Store.Clear()
		if written, err := snapshot.Restore(t.Context(), client(w), snapshot.Header{Revision: 1}, all, 12); err != nil || written != len(all) {
			t.Errorf("the import wrote %d of %d keys and returned %v", written, len(all), err)
		}
	})
}
