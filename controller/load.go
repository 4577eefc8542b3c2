// Loading of the model after an election, from the records that earlier leaders committed.

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

// rentalRecordTTL is how long a recorded scale-out counts as in progress. After this time
// its machines are in the cloud's list or were never rented.
const rentalRecordTTL = 2 * time.Minute

// storedRecords are all records that a new leader reads.
type storedRecords struct {
	active          []wire.Entry // jobs, pages of jobs and of placements, the schema
	revision        uint64       // at which active was listed
	rebalanceCycles []wire.Entry
	scaleOuts       []wire.Entry
	scaleIn         wire.Entry
	planRecords     []wire.Entry
	operatorPlan    cluster.Plan
}

// loadModel reads the stored records, repairs unreadable ones where possible, and builds
// the model of this leadership. A read barrier at the end applies the changes that were
// committed during the load.
func (l *leadership) loadModel(ctx context.Context) error {
	records, err := l.readRecords(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	model := l.newModel(now)
	for _, record := range records.planRecords {
		model.LoadPlanRecord(record.Key, record.Value, record.Version)
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
	kv := l.node.kv
	if records.active, records.revision, err = l.listRepaired(ctx); err != nil {
		return records, err
	}
	if records.rebalanceCycles, _, err = kv.List(ctx, jobstore.RebalanceCyclePrefix); err != nil {
		return records, err
	}
	if records.scaleOuts, _, err = kv.List(ctx, jobstore.ScaleOutPrefix); err != nil {
		return records, err
	}
	if records.scaleIn, err = kv.Get(ctx, jobstore.ScaleInKey); err != nil {
		return records, err
	}
	if records.planRecords, _, err = kv.List(ctx, jobstore.PlanStatePrefix); err != nil {
		return records, err
	}
	records.operatorPlan, err = l.node.loadOperatorPlan(ctx)
	return records, err
}

// newModel returns an empty model with this node's settings.
func (l *leadership) newModel(now time.Time) *cluster.Model {
	tuning := l.node.tuning
	model := cluster.New(l.node.cfg, l.lease.FencingToken, now, l.log)
	model.RebalanceSettings, model.Headroom = tuning.Rebalance, tuning.ScaleOut.Headroom
	model.StarvationBound = config.Seconds(tuning.Serving.StarvationBoundS)
	if l.node.metrics != nil {
		model.Observer = latencyMetrics{l.node.metrics}
	}
	if types := l.node.machineTypes(); types != nil {
		model.SetMachineTypes(types)
	}
	return model
}

// loadRebalanceCycles loads the rebalancing moves in progress. If a record can't be read,
// its moves are abandoned and their tasks stay on their machines.
func (l *leadership) loadRebalanceCycles(model *cluster.Model, entries []wire.Entry, now time.Time) {
	for _, entry := range entries {
		var record jobstore.RebalanceCycle
		if err := wire.Unmarshal(entry.Value, &record); err != nil {
			l.log.Error("unreadable rebalancing record skipped", "key", entry.Key, "err", err)
			continue
		}
		model.LoadRebalanceCycle(entry.Key[len(jobstore.RebalanceCyclePrefix):], record, now)
	}
}

// loadScaleOuts loads the machines that were rented recently, so that they are not rented
// again.
func (l *leadership) loadScaleOuts(model *cluster.Model, entries []wire.Entry, now time.Time) {
	for _, entry := range entries {
		var record jobstore.ScaleOutRecord
		if err := wire.Unmarshal(entry.Value, &record); err != nil {
			l.log.Error("unreadable scale-out record skipped", "key", entry.Key, "err", err)
			continue
		}
		if at := time.UnixMilli(record.AtMs); now.Sub(at) < rentalRecordTTL {
			model.ScaledOut(cluster.Offer{Type: record.Type, Zone: record.Zone, Spot: record.Spot}, record.Machines, at)
		}
	}
}

// loadScaleIn loads the machines whose deletion an earlier leader requested. No task may
// be placed on them, because the cloud may delete them at any moment.
func (l *leadership) loadScaleIn(model *cluster.Model, entry wire.Entry, now time.Time) {
	if entry.Version == 0 {
		return
	}
	var record jobstore.ScaleInRecord
	if err := wire.Unmarshal(entry.Value, &record); err != nil {
		l.log.Error("unreadable scale-in record, machines being returned may get tasks", "key", entry.Key, "err", err)
	}
	model.ResumeScaleIn(record.Machines, now)
}

// loadJobs loads the unfinished jobs. Unreadable records are quarantined, and the rest of the
// cluster is still loaded.
func loadJobs(model *cluster.Model, entries []wire.Entry, now time.Time) error {
	var pages []cluster.AdmissionPage
	for _, entry := range entries {
		if entry.Key == jobstore.SchemaKey {
			if err := loadSchema(model, entry); err != nil {
				return err
			}
		}
		if jobstore.IsJobPageKey(entry.Key) {
			if page, ok := loadJobPage(model, entry, now); ok {
				pages = append(pages, page)
			}
		}
		if id, ok := jobstore.ParseJobKey(entry.Key); ok {
			record, err := jobstore.DecodeJob(id, entry.Value)
			if err != nil {
				model.QuarantineJob(entry.Key, id, err)
				continue
			}
			model.ApplyJobRecord(id, record, entry.Version, now)
		}
	}
	model.ApplyAdmissionPages(pages, now)
	return nil
}

// loadSchema returns jobstore.ErrNewerSchema if the records are of a schema that this
// program can't read. An unreadable schema record also counts as newer. The next leader
// repairs it before it loads the records.
func loadSchema(model *cluster.Model, entry wire.Entry) error {
	schema, err := jobstore.DecodeSchema(entry.Value)
	if err != nil || schema.Version > jobstore.LatestSchema {
		return jobstore.ErrNewerSchema
	}
	if schema.Version >= jobstore.SchemaPlans {
		model.ExpectPlan()
	}
	return nil
}

// loadJobPage decodes a page of accepted jobs. If the page is unreadable or already
// quarantined, it quarantines the page in the model and returns false.
func loadJobPage(model *cluster.Model, entry wire.Entry, now time.Time) (page cluster.AdmissionPage, ok bool) {
	record, err := jobstore.DecodeJobPage(entry.Value)
	if err == nil {
		return cluster.AdmissionPage{Key: entry.Key, Version: entry.Version, Record: record}, true
	}
	since := now
	if quarantined, ok := jobstore.DecodeQuarantinedPage(entry.Value); ok {
		since = time.UnixMilli(quarantined.QuarantinedAtMs)
	}
	model.QuarantineAdmissionPage(entry.Key, since, err)
	return page, false
}

// loadPlacements loads the placements of tasks. They include tasks of finished jobs, which
// count against quotas until it is certain that they no longer run.
func loadPlacements(ctx context.Context, kv *kvstore.Client, model *cluster.Model, entries []wire.Entry, now time.Time) error {
	for _, entry := range entries {
		pageNumber, ok := jobstore.ParsePlacementPageKey(entry.Key)
		if !ok {
			continue
		}
		record, err := jobstore.DecodePlacementPage(entry.Value)
		if err != nil {
			model.QuarantinePlacementPage(pageNumber, entry.Version, err)
			continue
		}
		for _, chunk := range record.Chunks {
			if model.Job(chunk.Job) != nil || len(chunk.Placements) == 0 {
				continue
			}
			if err := loadFinishedJob(ctx, kv, model, chunk.Job); err != nil {
				return err
			}
		}
		model.LoadPlacementPage(pageNumber, record, entry.Version, now)
	}
	return nil
}

// loadFinishedJob loads a finished job whose tasks may still run on machines.
func loadFinishedJob(ctx context.Context, kv *kvstore.Client, model *cluster.Model, id string) error {
	entry, err := kv.Get(ctx, jobstore.FinalKey(id))
	if err != nil {
		return err
	}
	if entry.Version == 0 {
		return nil
	}
	if final, err := jobstore.DecodeFinal(entry.Value); err != nil {
		model.QuarantineFinishedJob(entry.Key, id, err)
	} else {
		model.LoadCancelledJob(id, final)
	}
	return nil
}
