package scenario

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
)

// TryPlan applies a plan on a version as the operators' command does, and returns
// the number of the new one.
func TryPlan(w *fake.Cluster, base int, text string, within time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	st := kvstore.New(w.Network.Dial("operator"), "state:1", 20, 20)
	v, err := jobstore.ApplyPlan(ctx, st, jobstore.Limits{MaxTxnOps: 12, MaxValueKiB: 16}, jobstore.PlanChange{Base: base, Text: text, By: "ops", At: time.Now()})
	return v.Number, err
}

// ApplyPlan applies a plan, which must become the next version.
func ApplyPlan(t *testing.T, w *fake.Cluster, base int, text string) {
	t.Helper()
	if n, err := TryPlan(w, base, text, time.Minute); err != nil || n != base+1 {
		t.Fatalf("version %d on %d: %v", n, base, err)
	}
}

// Plans applies one plan after another, also where answers are lost.
type Plans struct {
	Cluster *fake.Cluster
	Version int // the one in force as far as is known
}

// Apply applies a plan on the version that is known, and says whether success was confirmed:
// without an answer the plan may be in force all the same. If another version is in force,
// that one is known from now on.
func (p *Plans) Apply(text string, within time.Duration) bool {
	n, err := TryPlan(p.Cluster, p.Version, text, within)
	var moved *jobstore.PlanConflictError
	if err == nil {
		p.Version = n
	} else if errors.As(err, &moved) {
		p.Version = moved.Current
	}
	return err == nil
}
