package snapshot

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// checkPlan says what of the operators' plan is not as it was written: its versions are
// read as a node reads them.
func (v *verifier) checkPlan() {
	ctx := context.Background()
	h, err := jobstore.ReadPlanHead(ctx, memoryStore(v.all))
	if err != nil || h.Version == 0 {
		return // there is no plan: a snapshot's reads do not fail
	}
	if h.Warning != nil {
		v.report(jobstore.PlanHeadKey, "%v", h.Warning)
	}
	if v.form.Version < jobstore.SchemaPlans {
		v.report(jobstore.PlanHeadKey, "there is a plan, and the form is %d", v.form.Version)
	}
	for _, ver := range h.Versions {
		if _, err := jobstore.ReadPlanText(ctx, memoryStore(v.all), ver); err != nil {
			v.report(jobstore.PlanHeadKey, "%v", err)
		}
	}
}

// memoryStore is a snapshot as a store that is only read.
type memoryStore map[string]wire.Raw

// Get implements jobstore.KeyValueReader. What a snapshot holds has no version of its own.
func (h memoryStore) Get(_ context.Context, key string) (wire.Entry, error) {
	raw, ok := h[key]
	if !ok {
		return wire.Entry{}, nil
	}
	return wire.Entry{Key: key, Value: raw, Version: 1}, nil
}

// List implements jobstore.KeyValueReader.
func (h memoryStore) List(_ context.Context, prefix string) ([]wire.Entry, uint64, error) {
	var out []wire.Entry
	for _, k := range slices.Sorted(maps.Keys(h)) {
		if strings.HasPrefix(k, prefix) {
			out = append(out, wire.Entry{Key: k, Value: h[k], Version: 1})
		}
	}
	return out, 1, nil
}
