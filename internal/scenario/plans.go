// Helpers for scenarios that apply operators' plans.

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

// TryPlan applies a plan as the operators' command does, on condition that the version in force
// is base. It returns the number of the new version, and an error if the success is not confirmed in
// time.
func TryPlan(cluster *fake.Cluster, base int, text string, within time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	store := kvstore.New(cluster.Network.Dial("operator"), "state:1", 20, 20)
	v, err := jobstore.ApplyPlan(ctx, store, jobstore.Limits{MaxTxnOps: 12, MaxValueKiB: 16}, jobstore.PlanChange{Base: base, Text: text, By: "ops", At: time.Now()})
	return v.Number, err
}

// ApplyPlan applies a plan on version base within a minute, and ends the test unless version
// base+1 is in force then.
func ApplyPlan(t *testing.T, cluster *fake.Cluster, base int, text string) {
	t.Helper()
	if n, err := TryPlan(cluster, base, text, time.Minute); err != nil || n != base+1 {
		t.Fatalf("ApplyPlan on version %d = %d, %v; want version %d", base, n, err, base+1)
	}
}

// Plans applies a sequence of plans while responses of the key-value store may be lost.
type Plans struct {
	Cluster *fake.Cluster
	Version int // the last version known to be in force
}

// Apply applies a plan on p.Version and reports whether success was confirmed. A plan that was
// not confirmed may be in force too, because the response may have been lost. If another version
// is in force, Apply sets p.Version to it and reports false.
func (p *Plans) Apply(text string, within time.Duration) bool {
	n, err := TryPlan(p.Cluster, p.Version, text, within)
	var conflict *jobstore.PlanConflictError
	if err == nil {
		p.Version = n
	} else if errors.As(err, &conflict) {
		p.Version = conflict.Current
	}
	return err == nil
}
