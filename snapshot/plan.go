// Verification of the records of the operators' plan.

package snapshot

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// checkPlan reports damaged records of the operators' plan. It reads the versions with the same functions
// as the controllers.
func (v *verifier) checkPlan() {
	ctx := context.Background()
	head, err := jobstore.ReadPlanHead(ctx, memoryStore(v.values))
	if err != nil || head.Version == 0 {
		return // no plan exists; a memoryStore never returns an error
	}
	if head.Warning != nil {
		v.report(jobstore.PlanHeadKey, "%v", head.Warning)
	}
	if v.schema.Version < jobstore.SchemaPlans {
		v.report(jobstore.PlanHeadKey, "there is a plan, and the form is %d", v.schema.Version)
	}
	for _, version := range head.Versions {
		if _, err := jobstore.ReadPlanText(ctx, memoryStore(v.values), version); err != nil {
			v.report(jobstore.PlanHeadKey, "%v", err)
		}
	}
}

// memoryStore provides a snapshot's entries as a read-only key-value store. Each entry has version 1,
// because a snapshot does not record the versions of keys.
type memoryStore map[string]wire.Raw

// Get implements jobstore.KeyValueReader. It never returns an error.
func (s memoryStore) Get(_ context.Context, key string) (wire.Entry, error) {
	raw, ok := s[key]
	if !ok {
		return wire.Entry{}, nil
	}
	return wire.Entry{Key: key, Value: raw, Version: 1}, nil
}

// List implements jobstore.KeyValueReader. It never returns an error.
func (s memoryStore) List(_ context.Context, prefix string) ([]wire.Entry, uint64, error) {
	var out []wire.Entry
	for _, key := range slices.Sorted(maps.Keys(s)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, wire.Entry{Key: key, Value: s[key], Version: 1})
		}
	}
	return out, 1, nil
}
