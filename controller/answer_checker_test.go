package controller_test

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
)

// The checks that fake.Cluster makes of answers to users must be able to fail. Here all records are
// wiped, so the nodes answer as if the job had never been submitted.
func TestCheckerDetectsAnswersThatGoBackInTime(t *testing.T) {
	for _, c := range []struct {
		name, want string
		play       func(w *fake.Cluster)
	}{
		{"accepted, then not known", "forgotten: wk-000001 answered 404", func(w *fake.Cluster) {
			w.Submit(job(1, nil))
			loseAllRecords(w)
			w.PollState(w.NodeAddr(2), "wk-000001")
		}},
		{"accepted twice", "accepted twice: wk-000001", func(w *fake.Cluster) { w.Submit(job(1, nil)); loseAllRecords(w); w.QueryConcurrently("wk-000001", 1) }},
		{"cancelled, then pending", "went_back: wk-000001 called pending after aborted", func(w *fake.Cluster) {
			w.Submit(job(1, nil))
			w.Cancel("wk-000001")
			loseAllRecords(w)
			w.QueryConcurrently("wk-000001", 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := fake.New(fake.Options{Machines: 1, Capacity: 1})
				defer w.Close()
				time.Sleep(5 * time.Second)
				c.play(w)
				if b := w.Violations(); !slices.ContainsFunc(b, func(s string) bool { return strings.HasPrefix(s, c.want) }) {
					t.Errorf("violations are %q, want one that begins with %q", b, c.want)
				}
			})
		})
	}
}

// loseAllRecords wipes the store while all nodes are down, so that they have no record of any job.
func loseAllRecords(w *fake.Cluster) {
	w.KillAll()
	w.Store.Clear()
	w.StartAll()
	time.Sleep(8 * time.Second)
}
