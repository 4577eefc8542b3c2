package controller

import (
	"context"
	"time"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file reads what earlier leaders left.

// loadModel reads what earlier leaders left.
func (l *leadership) loadModel(ctx context.Context) error {
	st := l.node.kv
	items, rev, err := l.listRepaired(ctx)
	if err != nil {
		return err
	}
	cycles, _, err := st.List(ctx, jobstore.RebalanceCyclePrefix)
	if err != nil {
		return err
	}
	rentals, _, err := st.List(ctx, jobstore.ScaleOutPrefix)
	if err != nil {
		return err
	}
	returns, err := st.Get(ctx, jobstore.ScaleInKey)
	if err != nil {
		return err
	}
	notes, _, err := st.List(ctx, jobstore.PlanStatePrefix)
	if err != nil {
		return err
	}
	orders, err := l.node.loadOperatorPlan(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	m := cluster.New(l.node.cfg, l.lease.FencingToken, now, l.log)
	m.RebalanceSettings, m.Headroom = l.node.tuning.Rebalance, l.node.tuning.Renting.Headroom
	m.StarvationBound = config.Seconds(l.node.tuning.Serving.BeginWithinS)
	if l.node.metrics != nil {
		m.Observer = latencyMetrics{l.node.metrics}
	}
	if types := l.node.machineTypes(); types != nil {
		m.SetMachineTypes(types)
	}
	for _, it := range notes {
		m.LoadPlanRecord(it.Key, it.Value, it.Version)
	}
	m.SetPlan(orders, now)
	if err := loadJobs(m, items, now); err != nil {
		return err
	}
	if err := loadPlacements(ctx, st, m, items, now); err != nil {
		return err
	}
	for _, it := range cycles {
		var rec jobstore.RebalanceCycle
		if err := wire.Unmarshal(it.Value, &rec); err != nil {
			l.log.Error("unreadable record of moves: passed over", "key", it.Key, "err", err)
		} else {
			m.LoadRebalanceCycle(it.Key[len(jobstore.RebalanceCyclePrefix):], rec, now)
		}
	}
	for _, it := range rentals {
		var rec jobstore.ScaleOutRecord
		if err := wire.Unmarshal(it.Value, &rec); err != nil {
			l.log.Error("unreadable record of a rental: passed over", "key", it.Key, "err", err)
		} else if now.Sub(time.UnixMilli(rec.AtMs)) < 2*time.Minute {
			m.ScaledOut(cluster.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}, rec.Machines, time.UnixMilli(rec.AtMs))
		}
	}
	var going jobstore.ScaleInRecord
	if returns.Version != 0 {
		if err := wire.Unmarshal(returns.Value, &going); err != nil {
			l.log.Error("unreadable record of returns: machines that go may be given tasks", "key", returns.Key, "err", err)
		}
		m.ResumeScaleIn(going.Machines, now)
	}
	m.FinishLoading(now)
	l.mu.Lock()
	l.model, l.appliedRevision = m, rev
	l.mu.Unlock()
	l.log.Info("records loaded", "token", l.lease.FencingToken, "keys", len(items))
	return l.barrier(ctx)
}

func loadJobs(m *cluster.Model, items []wire.Entry, now time.Time) error {
	var pages []cluster.AdmissionPage
	for _, it := range items {
		if it.Key == jobstore.SchemaKey {
			form, err := jobstore.DecodeSchema(it.Value)
			if err != nil || form.Version > jobstore.LatestSchema {
				return jobstore.ErrNewerSchema
			}
			if form.Version >= jobstore.SchemaPlans {
				m.ExpectPlan()
			}
		}
		if jobstore.IsJobPageKey(it.Key) {
			rec, err := jobstore.DecodeJobPage(it.Value)
			if err != nil {
				since := now
				if a, ok := jobstore.DecodeQuarantinedPage(it.Value); ok {
					since = time.UnixMilli(a.QuarantinedAtMs)
				}
				m.QuarantineAdmissionPage(it.Key, since, err)
				continue
			}
			pages = append(pages, cluster.AdmissionPage{Key: it.Key, Version: it.Version, Record: rec})
		}
		if id, ok := jobstore.ParseJobKey(it.Key); ok {
			rec, err := jobstore.DecodeJob(id, it.Value)
			if err != nil {
				m.QuarantineJob(it.Key, id, err)
				continue
			}
			m.PutJob(id, rec, it.Version, now)
		}
	}
	m.PutAdmissionPages(pages, now)
	return nil
}

// loadPlacements reads where tasks may be, also those of jobs that are over.
func loadPlacements(ctx context.Context, st *kvstore.Client, m *cluster.Model, items []wire.Entry, now time.Time) error {
	for _, it := range items {
		n, ok := jobstore.ParsePlacementPageKey(it.Key)
		if !ok {
			continue
		}
		rec, err := jobstore.DecodePlacementPage(it.Value)
		if err != nil {
			m.QuarantinePlacementPage(n, it.Version, err)
			continue
		}
		for _, c := range rec.Chunks {
			if m.Job(c.Job) != nil || len(c.Placements) == 0 {
				continue
			}
			// The job is over, but its tasks may still be somewhere.
			e, err := st.Get(ctx, jobstore.FinalKey(c.Job))
			if err != nil {
				return err
			}
			if e.Version != 0 {
				if over, err := jobstore.DecodeFinal(e.Value); err != nil {
					m.QuarantineFinishedJob(e.Key, c.Job, err)
				} else {
					m.LoadCancelledJob(c.Job, over)
				}
			}
		}
		m.LoadPlacementPage(n, rec, it.Version, now)
	}
	return nil
}
