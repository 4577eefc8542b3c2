// Answers to operators' questions from committed state only. They are also available while no
// controller runs.

package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// ErrNoJob is returned for a job that was never submitted.
var ErrNoJob = errors.New("no such job")

// ErrUnreadableJob is returned if the final record of a job can't be decoded.
var ErrUnreadableJob = errors.New("its record can't be read")

// WhyWaiting explains what an unfinished job waits for. If the job is done or cancelled, it
// returns the final state and no explanation. finalState is "" for an unfinished job. The
// error is or wraps ErrNoJob, ErrUnreadableJob or an error of the key-value store.
func WhyWaiting(ctx context.Context, cfg *config.Settings, kv *kvstore.Client, id string, now time.Time) (explanation cluster.Explanation, finalState string, err error) {
	model, err := inspect(ctx, cfg, kv, now)
	if err != nil {
		return explanation, "", err
	}
	if explanation, found := model.Explain(id, now); found {
		return explanation, "", nil
	}
	entry, err := kv.Get(ctx, jobstore.FinalKey(id))
	if err != nil {
		return explanation, "", err
	}
	var final jobstore.JobRecord
	switch {
	case entry.Version == 0:
		return explanation, "", fmt.Errorf("%s: %w", id, ErrNoJob)
	case wire.Unmarshal(entry.Value, &final) != nil:
		return explanation, "", fmt.Errorf("%s: %w", id, ErrUnreadableJob)
	}
	return explanation, final.State, nil
}

// inspect loads a model of the committed state as a new leader does. The model has no
// machines, because no worker sends heartbeats to it.
func inspect(ctx context.Context, cfg *config.Settings, kv *kvstore.Client, now time.Time) (*cluster.Model, error) {
	entries, _, err := kv.List(ctx, jobstore.ActivePrefix)
	if err != nil {
		return nil, err
	}
	model := cluster.New(cfg, 0, now, slog.New(slog.DiscardHandler))
	entry, err := kv.Get(ctx, jobstore.MachineTypesKey)
	if err != nil {
		return nil, err
	}
	var types wire.Types
	if entry.Version != 0 && wire.Unmarshal(entry.Value, &types) == nil {
		model.SetMachineTypes(types.Types)
	}
	if err := loadOperatorPlanRecords(ctx, model, kv, now); err != nil {
		return nil, err
	}
	if err := loadJobs(model, entries, now); err != nil {
		return nil, err
	}
	if err := loadPlacements(ctx, kv, model, entries, now); err != nil {
		return nil, err
	}
	model.FinishLoading(now)
	return model, nil
}

// loadOperatorPlanRecords loads the plan that is in force and the records of its parts into the
// model.
func loadOperatorPlanRecords(ctx context.Context, model *cluster.Model, kv *kvstore.Client, now time.Time) error {
	records, _, err := kv.List(ctx, jobstore.PlanStatePrefix)
	if err != nil {
		return err
	}
	for _, record := range records {
		model.LoadPlanRecord(record.Key, record.Value, record.Version)
	}
	plan, _, err := readOperatorPlan(ctx, kv)
	if err != nil {
		return err
	}
	model.SetPlan(plan, now)
	return nil
}
