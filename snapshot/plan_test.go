package snapshot_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/snapshot"
	"github.com/umberdeal/umberdeal/wire"
)

// A snapshot must include the versions of the operators' plan. A key-value store restored from it must have
// the same current version, and Verify must report a damaged version.
func TestPlanSurvivesExportAndImport(t *testing.T) {
	var file bytes.Buffer
	limits := jobstore.Limits{MaxTxnOps: 12, MaxValueKiB: 16}
	text := "note = \"" + strings.Repeat("two ", 9000) + "\""
	scenario.Run(t, fake.Options{Machines: 2}, func(t *testing.T, w *fake.Cluster) { //nolint:thelper // the body of the test
		time.Sleep(5 * time.Second)
		for n, text := range []string{"note = \"one\"", text} {
			if _, err := jobstore.ApplyPlan(t.Context(), client(w), limits, jobstore.PlanChange{Base: n, Text: text, At: time.Now()}); err != nil {
				t.Fatal(err)
			}
		}
		if _, _, err := snapshot.Take(t.Context(), client(w), 20, &file, "test"); err != nil {
			t.Fatal(err)
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
	if _, found := snapshot.Verify(all); len(found) > 0 {
		t.Errorf("intact snapshot: got violations %v", found)
	}
	synctest.Test(t, func(t *testing.T) {
		w := fake.New(fake.Options{Machines: 1, ExternalNodes: true})
		defer w.Close()
		w.Store.Clear()
		if _, err := snapshot.Restore(t.Context(), client(w), r.Header, all, 12); err != nil {
			t.Fatal(err)
		}
		state, err := jobstore.LoadPlan(t.Context(), client(w), func(string) error { return nil })
		if err != nil || state.Number != 2 || state.Text != text || len(state.Warnings) > 0 {
			t.Errorf("restored plan: got version %d of %d bytes, warnings %v, error %v, want version 2 of %d bytes", state.Number, len(state.Text), state.Warnings, err, len(text))
		}
		if v, err := jobstore.ApplyPlan(t.Context(), client(w), limits, jobstore.PlanChange{Base: 2, Text: "note = \"three\"", At: time.Now()}); err != nil || v.Number != 3 {
			t.Errorf("plan applied after the import: got %+v, %v, want version 3", v, err)
		}
	})
	for k := range all {
		if strings.HasPrefix(k, "plan/t/2-") {
			all[k] = wire.Raw{0xc1}
			break
		}
	}
	if _, found := snapshot.Verify(all); len(found) != 1 || !strings.Contains(found[0].String(), "version 2") {
		t.Errorf("damaged version: got violations %v, want one about version 2", found)
	}
}
