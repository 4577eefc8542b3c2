package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/ledger"
	"github.com/umberdeal/umberdeal/state"
	"github.com/umberdeal/umberdeal/wire"
)

// This file reads what earlier leaders left.

// load reads what earlier leaders left.
func (l *leadership) load(ctx context.Context) error {
	st := l.n.state
	items, rev, err := st.List(ctx, ledger.Active)
	if err != nil {
		return err
	}
	cycles, _, err := st.List(ctx, ledger.Cycles)
	if err != nil {
		return err
	}
	rentals, _, err := st.List(ctx, ledger.Rentals)
	if err != nil {
		return err
	}
	returns, err := st.Get(ctx, ledger.ReturnsKey)
	if err != nil {
		return err
	}
	notes, _, err := st.List(ctx, ledger.Notes)
	if err != nil {
		return err
	}
	orders, err := l.n.readOrders(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	m := cluster.New(l.n.cfg, l.term.Token, now, l.log)
	m.Tuning, m.Headroom = l.n.tuning.Rebalance, l.n.tuning.Renting.Headroom
	m.BeginWithin = config.Seconds(l.n.tuning.Serving.BeginWithinS)
	if l.n.metrics != nil {
		m.Timings = timings{l.n.metrics}
	}
	if types := l.n.knownTypes(); types != nil {
		m.SetTypes(types)
	}
	for _, it := range notes {
		m.LoadNote(it.Key, it.Value, it.Version)
	}
	m.SetPlan(orders, now)
	if err := loadJobs(m, items, now); err != nil {
		return err
	}
	if err := loadPages(ctx, st, m, items, now); err != nil {
		return err
	}
	for _, it := range cycles {
		var rec ledger.CycleRecord
		if err := wire.Unmarshal(it.Value, &rec); err == nil {
			m.LoadCycle(it.Key[len(ledger.Cycles):], rec, now)
		}
	}
	for _, it := range rentals {
		var rec ledger.RentalRecord
		if err := wire.Unmarshal(it.Value, &rec); err == nil && now.Sub(time.UnixMilli(rec.AtMs)) < 2*time.Minute {
			m.Rented(cluster.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}, rec.Machines, time.UnixMilli(rec.AtMs))
		}
	}
	var going ledger.ReturnRecord
	if returns.Version != 0 && wire.Unmarshal(returns.Value, &going) == nil {
		m.Returned(going.Machines, now)
	}
	m.Loaded(now)
	l.mu.Lock()
	l.m, l.rev = m, rev
	l.mu.Unlock()
	l.log.Info("records loaded", "token", l.term.Token, "keys", len(items))
	return l.barrier(ctx)
}

func loadJobs(m *cluster.Model, items []wire.Entry, now time.Time) error {
	var pages []cluster.IntakePage
	for _, it := range items {
		var form ledger.FormRecord
		if it.Key == ledger.FormKey && (wire.Unmarshal(it.Value, &form) != nil || form.Form > ledger.Form) {
			return ledger.ErrNewer
		}
		if form.Form >= ledger.FormPlan {
			m.PlanWanted()
		}
		if ledger.IsIntake(it.Key) {
			pg := cluster.IntakePage{Key: it.Key, Version: it.Version}
			if err := wire.Unmarshal(it.Value, &pg.Record); err != nil {
				m.DamagedIntake(it.Key, err)
				continue
			}
			pages = append(pages, pg)
		}
		if id, ok := ledger.ParseJobKey(it.Key); ok {
			var rec ledger.JobRecord
			if err := wire.Unmarshal(it.Value, &rec); err != nil {
				m.DamagedJob(it.Key, id, err)
				continue
			}
			m.PutJob(id, rec, it.Version, now)
		}
	}
	m.PutIntake(pages, now)
	return nil
}

// loadPages reads where tasks may be, also those of jobs that are over.
func loadPages(ctx context.Context, st *state.Client, m *cluster.Model, items []wire.Entry, now time.Time) error {
	for _, it := range items {
		n, ok := ledger.ParsePageKey(it.Key)
		if !ok {
			continue
		}
		var rec ledger.PageRecord
		if err := wire.Unmarshal(it.Value, &rec); err != nil {
			m.DamagedPage(n, it.Version, err)
			continue
		}
		for _, c := range rec.Chunks {
			if m.Job(c.Job) != nil || len(c.Placed) == 0 {
				continue
			}
			// The job is over, but its tasks may still be somewhere.
			e, err := st.Get(ctx, ledger.FinalKey(c.Job))
			if err != nil {
				return err
			}
			var over ledger.JobRecord
			if e.Version != 0 {
				if err := wire.Unmarshal(e.Value, &over); err != nil {
					return fmt.Errorf("%s: %w", it.Key, err)
				}
				m.LoadCancelled(c.Job, over)
			}
		}
		m.LoadPage(n, rec, it.Version, now)
	}
	return nil
}
