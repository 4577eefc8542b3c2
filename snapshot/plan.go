package snapshot

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// checkPlan reports what of the operators' plan is not as it was written: its versions are read as a
// controller reads them.
func (v *verifier) checkPlan() {
	ctx := context.Background()
	head, err := jobstore.ReadPlanHead(ctx, memoryStore(v.values))
	if err != nil || head.Version == 0 {
		return // there is no plan: a memoryStore's reads do not fail
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

// memoryStore is a snapshot's entries as a key-value store that is only read. Their versions are not
// those that they had.
type memoryStore map[string]wire.Raw

// Get implements jobstore.KeyValueReader.
func (s memoryStore) Get(_ context.Context, key string) (wire.Entry, error) {
	raw, ok := s[key]
	if !ok {
		return wire.Entry{}, nil
	}
	return wire.Entry{Key: key, Value: raw, Version: 1}, nil
}

// List implements jobstore.KeyValueReader.
func (s memoryStore) List(_ context.Context, prefix string) ([]wire.Entry, uint64, error) {
	var out []wire.Entry
	for _, key := range slices.Sorted(maps.Keys(s)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, wire.Entry{Key: key, Value: s[key], Version: 1})
		}
	}
	return out, 1, nil
}
