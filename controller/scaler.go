package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/cloud"
	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file scales the fleet out and in, and keeps the model in step with the cloud's
// list of machines.

// runScaler rents, returns and lists machines until ctx ends. One loop does all three,
// one after the other, so that calls of the cloud never overtake one another.
func (l *leadership) runScaler(ctx context.Context) {
	every := max(4*time.Second, time.Duration(4/l.node.cfg.Cluster.Cloud.RPS*float64(time.Second)))
	var listed time.Time
	typesKept := false
	for call.Pause(ctx, 300*time.Millisecond) {
		if !l.lease.Valid() {
			continue
		}
		if !typesKept {
			typesKept = l.saveMachineTypes(ctx)
		}
		l.scaleOut(ctx)
		l.mu.Lock()
		l.node.stallDetector.Observe(time.Now())
		l.model.ResumeAfterStall(l.node.stallDetector.LastStall())
		back := l.model.SelectScaleIn(time.Now(), config.Seconds(l.node.tuning.ScaleOut.IdleS))
		l.mu.Unlock()
		if len(back) > 0 {
			l.scaleIn(ctx, back[:min(len(back), cloud.MaxDelete)])
		}
		if time.Since(listed) < every {
			continue
		}
		list, err := l.node.cloud.ListMachines(ctx)
		if err != nil {
			l.log.Debug("machine list not read", "err", err)
			call.Pause(ctx, time.Second)
			continue
		}
		listed = time.Now()
		l.mu.Lock()
		l.model.ApplyCloudList(list, listed)
		l.mu.Unlock()
		wake(l.schedulerWake)
	}
}

// scaleIn deletes machines. Their names are committed first, because the cloud may carry
// the deletion out long after the leader lease was last checked: a leader elected in the
// meantime would place tasks on these machines if it did not find the record.
func (l *leadership) scaleIn(ctx context.Context, names []string) {
	if err := l.putOwnRecord(ctx, jobstore.ScaleInKey, jobstore.ScaleInRecord{Machines: names}); err != nil {
		l.log.Debug("scale-in record not committed", "err", err)
		return
	}
	if err := l.node.cloud.DeleteMachines(ctx, names); err != nil {
		l.log.Info("scale in failed, retrying", "count", len(names), "err", err)
		call.Pause(ctx, time.Second)
		return
	}
	now := time.Now()
	l.mu.Lock()
	for _, name := range names {
		l.model.MachineGone(name, now)
	}
	l.mu.Unlock()
	wake(l.schedulerWake)
	wake(l.committerWake)
}

// scaleOut rents the machines that the last scheduling pass wanted. The name of each request
// is committed before it is sent and never reused, so that sending it again is idempotent.
func (l *leadership) scaleOut(ctx context.Context) {
	l.mu.Lock()
	wants := l.wantedMachines
	l.wantedMachines = nil
	l.scalingOut = len(wants) > 0
	l.mu.Unlock()
	if len(wants) == 0 {
		return
	}
	for o, count := range wants {
		if ctx.Err() != nil || !l.lease.Valid() {
			break
		}
		l.rentMachines(ctx, o, min(count, cloud.MaxCreate))
	}
	l.mu.Lock()
	l.scalingOut, l.wantedMachines = false, nil
	l.mu.Unlock()
	wake(l.schedulerWake)
}

func (l *leadership) rentMachines(ctx context.Context, o cluster.Offer, count int) {
	l.rentalRequests++
	bon := fmt.Sprintf("r-%d-%d", l.lease.FencingToken, l.rentalRequests)
	rec := jobstore.ScaleOutRecord{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count, AtMs: time.Now().UnixMilli()}
	key := jobstore.ScaleOutPrefix + bon
	l.mu.Lock()
	byPlan := l.model.PlanGuard()
	l.mu.Unlock()
	made, err := l.node.kv.CompareAndSwap(ctx, []wire.Guard{l.leaderGuard(), byPlan, {Key: key}}, []wire.Op{{Put: key, Value: rec}})
	if err != nil {
		l.log.Debug("scale-out record not committed", "err", err)
		return
	}
	names, err := l.node.cloud.CreateMachines(ctx, wire.Rental{Request: bon, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count})
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		// The same request either rents now or names what it rented before.
		names, err = l.node.cloud.CreateMachines(ctx, wire.Rental{Request: bon, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count})
	}
	now := time.Now()
	l.mu.Lock()
	if err != nil || len(names) < count {
		l.model.OfferRefused(o, now)
	}
	l.model.ScaledOut(o, names, now)
	l.mu.Unlock()
	if err != nil {
		l.log.Info("scale out refused", "request", bon, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "count", count, "err", err)
	}
	op := wire.Op{Delete: key}
	if len(names) > 0 {
		rec.Machines = names
		op = wire.Op{Put: key, Value: rec}
	}
	if _, err := l.node.kv.CompareAndSwap(ctx, []wire.Guard{l.leaderGuard(), {Key: key, Version: made}}, []wire.Op{op}); err != nil {
		l.log.Debug("scale-out record not committed", "err", err)
	}
}
