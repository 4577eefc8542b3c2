// The loop that rents and returns machines, and applies the cloud's list of machines to the
// model.

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
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// scalerInterval is the pause between two rounds of the scaler.
	scalerInterval = 300 * time.Millisecond
	// minCloudListInterval is the least time between two reads of the cloud's machine list.
	minCloudListInterval = 4 * time.Second
	// cloudRequestsPerList is the least time between two reads of the list, as the number of
	// requests that the cloud's rate limit allows in this time.
	cloudRequestsPerList = 4
	// cloudRetryDelay is the pause after a failed request to list or delete machines.
	cloudRetryDelay = time.Second
)

// runScaler rents, returns and lists machines until ctx ends. A single loop does all three,
// so that calls to the cloud never overtake one another.
func (l *leadership) runScaler(ctx context.Context) {
	listInterval := max(minCloudListInterval, time.Duration(cloudRequestsPerList/l.node.cfg.Cluster.Cloud.RPS*float64(time.Second)))
	var lastListed time.Time
	areTypesSaved := false
	for call.Pause(ctx, scalerInterval) {
		if !l.lease.Valid() {
			continue
		}
		if !areTypesSaved {
			areTypesSaved = l.saveMachineTypes(ctx)
		}
		l.scaleOut(ctx)
		l.mu.Lock()
		l.node.stallDetector.Observe(time.Now())
		l.model.ResumeAfterStall(l.node.stallDetector.LastStall())
		idle := l.model.SelectScaleIn(time.Now(), config.Seconds(l.node.tuning.ScaleOut.IdleS))
		l.mu.Unlock()
		if len(idle) > 0 {
			l.scaleIn(ctx, idle[:min(len(idle), cloud.MaxDelete)])
		}
		if time.Since(lastListed) < listInterval {
			continue
		}
		machines, err := l.node.cloud.ListMachines(ctx)
		if err != nil {
			l.log.Debug("machine list not read", "err", err)
			call.Pause(ctx, cloudRetryDelay)
			continue
		}
		lastListed = time.Now()
		l.mu.Lock()
		l.model.ApplyCloudList(machines, lastListed)
		l.mu.Unlock()
		wake(l.schedulerWake)
	}
}

// scaleIn deletes machines. It commits their names first, because the cloud may perform the
// deletion long after the leader lease was last checked. Without the record, a leader
// elected in the meantime would place tasks on these machines. If the key-value store rejects
// the record, scaleIn deletes fewer machines.
func (l *leadership) scaleIn(ctx context.Context, names []string) {
	err := l.putOwnRecord(ctx, jobstore.ScaleInKey, jobstore.ScaleInRecord{Machines: names})
	if kvstore.IsRejected(err) && len(names) > 1 {
		l.scaleIn(ctx, names[:len(names)/2]) // the others follow in the next rounds
		return
	}
	if err != nil {
		l.log.Debug("scale-in record not committed", "err", err)
		return
	}
	if err := l.node.cloud.DeleteMachines(ctx, names); err != nil {
		l.log.Info("scale in failed, retrying", "count", len(names), "err", err)
		call.Pause(ctx, cloudRetryDelay)
		return
	}
	now := time.Now()
	l.mu.Lock()
	for _, name := range names {
		l.model.ApplyMachineDeletion(name, now)
	}
	l.mu.Unlock()
	wake(l.schedulerWake)
	wake(l.committerWake)
}

// scaleOut rents the machines that the last scheduling pass wanted. The name of each request
// is committed before the request is sent, and is never reused. Sending a request again is
// therefore idempotent.
func (l *leadership) scaleOut(ctx context.Context) {
	l.mu.Lock()
	wanted := l.wantedMachines
	l.wantedMachines = nil
	l.scalingOut = len(wanted) > 0
	l.mu.Unlock()
	if len(wanted) == 0 {
		return
	}
	for offer, count := range wanted {
		if ctx.Err() != nil || !l.lease.Valid() {
			break
		}
		l.rentMachines(ctx, offer, min(count, cloud.MaxCreate))
	}
	l.mu.Lock()
	l.scalingOut, l.wantedMachines = false, nil
	l.mu.Unlock()
	wake(l.schedulerWake)
}

// rentMachines requests count machines of an offer. It records the request before it calls
// the cloud. Afterwards it adds the rented machines to the record, or deletes the record if
// none was rented.
func (l *leadership) rentMachines(ctx context.Context, offer cluster.Offer, count int) {
	l.rentalRequests++
	requestName := fmt.Sprintf("r-%d-%d", l.lease.FencingToken, l.rentalRequests)
	record := jobstore.ScaleOutRecord{MachineType: offer.Type, Zone: offer.Zone, Spot: offer.Spot, Count: count, AtMs: time.Now().UnixMilli()}
	key := jobstore.ScaleOutPrefix + requestName
	l.mu.Lock()
	planGuard := l.model.PlanGuard()
	l.mu.Unlock()
	version, err := l.node.kv.CompareAndSwap(ctx, []wire.Guard{l.leaderGuard(), planGuard, {Key: key}}, []wire.Op{{Put: key, Value: record}})
	if err != nil {
		l.log.Debug("scale-out record not committed", "err", err)
		return
	}
	names, err := l.node.cloud.CreateMachines(ctx, wire.Rental{RequestID: requestName, Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot, Count: count})
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		// The cloud either rents the machines now or returns those it rented for the first call.
		names, err = l.node.cloud.CreateMachines(ctx, wire.Rental{RequestID: requestName, Type: offer.Type, Zone: offer.Zone, Spot: offer.Spot, Count: count})
	}
	now := time.Now()
	l.mu.Lock()
	if err != nil || len(names) < count {
		l.model.RecordOfferRefusal(offer, now)
	}
	l.model.AddScaledOutMachines(offer, names, now)
	l.mu.Unlock()
	if err != nil {
		l.log.Info("scale out refused", "request", requestName, "type", offer.Type, "zone", offer.Zone, "spot", offer.Spot, "count", count, "err", err)
	}
	op := wire.Op{Delete: key}
	if len(names) > 0 {
		record.Machines = names
		op = wire.Op{Put: key, Value: record}
	}
	if _, err := l.node.kv.CompareAndSwap(ctx, []wire.Guard{l.leaderGuard(), {Key: key, Version: version}}, []wire.Op{op}); err != nil {
		l.log.Debug("scale-out record not committed", "err", err)
	}
}
