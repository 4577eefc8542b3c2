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

// This file answers operators' questions from committed state alone, so that it also
// works while no controller runs.

// ErrNoJob says that nobody has submitted such a job.
var ErrNoJob = errors.New("no such job")

// ErrUnreadableJob says that the final record of a job can't be decoded.
var ErrUnreadableJob = errors.New("its record can't be read")

// WhyWaiting explains what a job waits for. For a job that is done or cancelled, finalState
// is its state and there is no explanation.
func WhyWaiting(ctx context.Context, cfg *config.Settings, kv *kvstore.Client, id string, now time.Time) (why cluster.Explanation, finalState string, err error) {
	m, err := inspect(ctx, cfg, kv, now)
	if err != nil {
		return why, "", err
	}
	if why, found := m.Explain(id, now); found {
		return why, "", nil
	}
	e, err := kv.Get(ctx, jobstore.FinalKey(id))
	if err != nil {
		return why, "", err
	}
	var final jobstore.JobRecord
	switch {
	case e.Version == 0:
		return why, "", fmt.Errorf("%s: %w", id, ErrNoJob)
	case wire.Unmarshal(e.Value, &final) != nil:
		return why, "", fmt.Errorf("%s: %w", id, ErrUnreadableJob)
	}
	return why, final.State, nil
}

// inspect loads a model of the committed state as a new leader does. It has no machines:
// none sends heartbeats to it.
func inspect(ctx context.Context, cfg *config.Settings, kv *kvstore.Client, now time.Time) (*cluster.Model, error) {
	entries, _, err := kv.List(ctx, jobstore.ActivePrefix)
	if err != nil {
		return nil, err
	}
	m := cluster.New(cfg, 0, now, slog.New(slog.DiscardHandler))
	e, err := kv.Get(ctx, jobstore.MachineTypesKey)
	if err != nil {
		return nil, err
	}
	var types wire.Types
	if e.Version != 0 && wire.Unmarshal(e.Value, &types) == nil {
		m.SetMachineTypes(types.Types)
	}
	if err := loadOperatorPlanRecords(ctx, m, kv, now); err != nil {
		return nil, err
	}
	if err := loadJobs(m, entries, now); err != nil {
		return nil, err
	}
	if err := loadPlacements(ctx, kv, m, entries, now); err != nil {
		return nil, err
	}
	m.FinishLoading(now)
	return m, nil
}

// loadOperatorPlanRecords loads the plan that is in force, and the state of its parts.
func loadOperatorPlanRecords(ctx context.Context, m *cluster.Model, kv *kvstore.Client, now time.Time) error {
	records, _, err := kv.List(ctx, jobstore.PlanStatePrefix)
	if err != nil {
		return err
	}
	for _, e := range records {
		m.LoadPlanRecord(e.Key, e.Value, e.Version)
	}
	p, _, err := readOperatorPlan(ctx, kv)
	if err != nil {
		return err
	}
	m.SetPlan(p, now)
	return nil
}
