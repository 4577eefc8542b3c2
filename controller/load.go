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

// This file rebuilds the model from what earlier leaders have committed.

// rentalRecordTTL is how long a recorded scale-out is assumed to be still in progress: after
// that its machines are in the cloud's list, or were never rented.
const rentalRecordTTL = 2 * time.Minute

// storedRecords are all records that a new leader reads.
type storedRecords struct {
	active          []wire.Entry // jobs, pages of jobs and of placements, the schema
	revision        uint64       // of the listing of active
	rebalanceCycles []wire.Entry
	scaleOuts       []wire.Entry
	scaleIn         wire.Entry
	planRecords     []wire.Entry
	operatorPlan    cluster.Plan
}

// loadModel reads the stored records, repairs unreadable ones where it can, and builds the
// model of this leadership. The read barrier at its end applies what has changed since.
func (l *leadership) loadModel(ctx context.Context) error {
	records, err := l.readRecords(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	model := l.newModel(now)
	for _, it := range records.planRecords {
		model.LoadPlanRecord(it.Key, it.Value, it.Version)
	}
	model.SetPlan(records.operatorPlan, now)
	if err := loadJobs(model, records.active, now); err != nil {
		return err
	}
	if err := loadPlacements(ctx, l.node.kv, model, records.active, now); err != nil {
		return err
	}
	l.loadRebalanceCycles(model, records.rebalanceCycles, now)
	l.loadScaleOuts(model, records.scaleOuts, now)
	l.loadScaleIn(model, records.scaleIn, now)
	model.FinishLoading(now)
	l.mu.Lock()
	l.model, l.appliedRevision = model, records.revision
	l.mu.Unlock()
	l.log.Info("records loaded", "token", l.lease.FencingToken, "keys", len(records.active))
	return l.barrier(ctx)
}

func (l *leadership) readRecords(ctx context.Context) (records storedRecords, err error) {
	st := l.node.kv
	if records.active, records.revision, err = l.listRepaired(ctx); err != nil {
		return records, err
	}
	if records.rebalanceCycles, _, err = st.List(ctx, jobstore.RebalanceCyclePrefix); err != nil {
		return records, err
	}
	if records.scaleOuts, _, err = st.List(ctx, jobstore.ScaleOutPrefix); err != nil {
		return records, err
	}
	if records.scaleIn, err = st.Get(ctx, jobstore.ScaleInKey); err != nil {
		return records, err
	}
	if records.planRecords, _, err = st.List(ctx, jobstore.PlanStatePrefix); err != nil {
		return records, err
	}
	records.operatorPlan, err = l.node.loadOperatorPlan(ctx)
	return records, err
}

// newModel makes an empty model with this node's settings.
func (l *leadership) newModel(now time.Time) *cluster.Model {
	tuning := l.node.tuning
	m := cluster.New(l.node.cfg, l.lease.FencingToken, now, l.log)
	m.RebalanceSettings, m.Headroom = tuning.Rebalance, tuning.ScaleOut.Headroom
	m.StarvationBound = config.Seconds(tuning.Serving.StarvationBoundS)
	if l.node.metrics != nil {
		m.Observer = latencyMetrics{l.node.metrics}
	}
	if types := l.node.machineTypes(); types != nil {
		m.SetMachineTypes(types)
	}
	return m
}

// loadRebalanceCycles loads the rebalancing moves in progress. If a record can't be read,
// its moves are dropped, and the tasks stay where they are.
func (l *leadership) loadRebalanceCycles(m *cluster.Model, entries []wire.Entry, now time.Time) {
	for _, it := range entries {
		var rec jobstore.RebalanceCycle
		if err := wire.Unmarshal(it.Value, &rec); err != nil {
			l.log.Error("unreadable rebalancing record skipped", "key", it.Key, "err", err)
			continue
		}
		m.LoadRebalanceCycle(it.Key[len(jobstore.RebalanceCyclePrefix):], rec, now)
	}
}

// loadScaleOuts loads the machines that were rented recently, so that they are not rented
// again.
func (l *leadership) loadScaleOuts(m *cluster.Model, entries []wire.Entry, now time.Time) {
	for _, it := range entries {
		var rec jobstore.ScaleOutRecord
		if err := wire.Unmarshal(it.Value, &rec); err != nil {
			l.log.Error("unreadable scale-out record skipped", "key", it.Key, "err", err)
			continue
		}
		if at := time.UnixMilli(rec.AtMs); now.Sub(at) < rentalRecordTTL {
			m.ScaledOut(cluster.Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}, rec.Machines, at)
		}
	}
}

// loadScaleIn loads the machines whose deletion the last leader requested: the cloud may
// delete them at any moment, so that nothing must be placed on them.
func (l *leadership) loadScaleIn(m *cluster.Model, entry wire.Entry, now time.Time) {
	if entry.Version == 0 {
		return
	}
	var rec jobstore.ScaleInRecord
	if err := wire.Unmarshal(entry.Value, &rec); err != nil {
		l.log.Error("unreadable scale-in record, machines being returned may get tasks", "key", entry.Key, "err", err)
	}
	m.ResumeScaleIn(rec.Machines, now)
}

// loadJobs loads the jobs that are not over. Unreadable records are quarantined and do not
// keep the rest of the cluster from being loaded.
func loadJobs(m *cluster.Model, items []wire.Entry, now time.Time) error {
	var pages []cluster.AdmissionPage
	for _, it := range items {
		if it.Key == jobstore.SchemaKey {
			if err := loadSchema(m, it); err != nil {
				return err
			}
		}
		if jobstore.IsJobPageKey(it.Key) {
			if page, ok := loadJobPage(m, it, now); ok {
				pages = append(pages, page)
			}
		}
		if id, ok := jobstore.ParseJobKey(it.Key); ok {
			rec, err := jobstore.DecodeJob(id, it.Value)
			if err != nil {
				m.QuarantineJob(it.Key, id, err)
				continue
			}
			m.ApplyJobRecord(id, rec, it.Version, now)
		}
	}
	m.ApplyAdmissionPages(pages, now)
	return nil
}

// loadSchema checks that the records are of a schema that this program reads. One
// that can't be read counts as newer: the next leader repairs it before it loads.
func loadSchema(m *cluster.Model, entry wire.Entry) error {
	schema, err := jobstore.DecodeSchema(entry.Value)
	if err != nil || schema.Version > jobstore.LatestSchema {
		return jobstore.ErrNewerSchema
	}
	if schema.Version >= jobstore.SchemaPlans {
		m.ExpectPlan()
	}
	return nil
}

// loadJobPage decodes a page of accepted jobs; ok is false for one that is
// quarantined, or is to be.
func loadJobPage(m *cluster.Model, entry wire.Entry, now time.Time) (page cluster.AdmissionPage, ok bool) {
	rec, err := jobstore.DecodeJobPage(entry.Value)
	if err == nil {
		return cluster.AdmissionPage{Key: entry.Key, Version: entry.Version, Record: rec}, true
	}
	since := now
	if quarantined, ok := jobstore.DecodeQuarantinedPage(entry.Value); ok {
		since = time.UnixMilli(quarantined.QuarantinedAtMs)
	}
	m.QuarantineAdmissionPage(entry.Key, since, err)
	return page, false
}

// loadPlacements loads the placements of tasks, including those of jobs that are over,
// which count against quotas until the tasks are proved gone.
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
			if err := loadFinishedJob(ctx, st, m, c.Job); err != nil {
				return err
			}
		}
		m.LoadPlacementPage(n, rec, it.Version, now)
	}
	return nil
}

// loadFinishedJob loads a job that is over but of which tasks may still be on machines.
func loadFinishedJob(ctx context.Context, st *kvstore.Client, m *cluster.Model, id string) error {
	e, err := st.Get(ctx, jobstore.FinalKey(id))
	if err != nil {
		return err
	}
	if e.Version == 0 {
		return nil
	}
	if final, err := jobstore.DecodeFinal(e.Value); err != nil {
		m.QuarantineFinishedJob(e.Key, id, err)
	} else {
		m.LoadCancelledJob(id, final)
	}
	return nil
}
