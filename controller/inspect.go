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

// This file answers operators' questions from committed state, without a node.

// ErrNoJob says that nobody has submitted such a job.
var ErrNoJob = errors.New("no such job")

// WhyWaiting says what a job waits for, from what is committed. over is the state
// of a job that is done or cancelled, and then there is nothing more to say.
func WhyWaiting(ctx context.Context, cfg *config.Settings, st *kvstore.Client, id string, now time.Time) (why cluster.Explanation, over string, err error) {
	m, err := inspect(ctx, cfg, st, now)
	if err != nil {
		return why, "", err
	}
	if why, found := m.Explain(id, now); found {
		return why, "", nil
	}
	e, err := st.Get(ctx, jobstore.FinalKey(id))
	if err != nil {
		return why, "", err
	}
	var rec jobstore.JobRecord
	switch {
	case e.Version == 0:
		return why, "", fmt.Errorf("%s: %w", id, ErrNoJob)
	case wire.Unmarshal(e.Value, &rec) != nil:
		return why, "", fmt.Errorf("%s: its record can't be read", id)
	}
	return why, rec.State, nil
}

// inspect makes a model of what is committed, as a leader that takes over does, but
// for machines: none has reported to it.
func inspect(ctx context.Context, cfg *config.Settings, st *kvstore.Client, now time.Time) (*cluster.Model, error) {
	items, _, err := st.List(ctx, jobstore.ActivePrefix)
	if err != nil {
		return nil, err
	}
	m := cluster.New(cfg, 0, now, slog.New(slog.DiscardHandler))
	e, err := st.Get(ctx, jobstore.MachineTypesKey)
	if err != nil {
		return nil, err
	}
	var types wire.Types
	if e.Version != 0 && wire.Unmarshal(e.Value, &types) == nil {
		m.SetMachineTypes(types.Types)
	}
	if err := loadOperatorPlanRecords(ctx, m, st, now); err != nil {
		return nil, err
	}
	if err := loadJobs(m, items, now); err != nil {
		return nil, err
	}
	if err := loadPlacements(ctx, st, m, items, now); err != nil {
		return nil, err
	}
	m.FinishLoading(now)
	return m, nil
}

// loadOperatorPlanRecords reads the plan that holds, and what its parts have recorded.
func loadOperatorPlanRecords(ctx context.Context, m *cluster.Model, st *kvstore.Client, now time.Time) error {
	notes, _, err := st.List(ctx, jobstore.PlanStatePrefix)
	if err != nil {
		return err
	}
	for _, it := range notes {
		m.LoadPlanRecord(it.Key, it.Value, it.Version)
	}
	p, _, err := readOperatorPlan(ctx, st)
	if err != nil {
		return err
	}
	m.SetPlan(p, now)
	return nil
}
