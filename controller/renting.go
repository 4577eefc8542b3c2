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

// This file rents and returns machines.

// runCloud rents, returns and lists machines.
func (l *leadership) runCloud(ctx context.Context) {
	every := max(4*time.Second, time.Duration(4/l.n.cfg.Cluster.Cloud.RPS*float64(time.Second)))
	var listed time.Time
	typesKept := false
	for call.Pause(ctx, 300*time.Millisecond) {
		if !l.term.Valid() {
			continue
		}
		if !typesKept {
			typesKept = l.keepTypes(ctx)
		}
		l.rent(ctx)
		l.mu.Lock()
		l.n.pulse.beat(time.Now())
		l.m.StoodStill(l.n.pulse.lastStop())
		back := l.m.Returnable(time.Now(), config.Seconds(l.n.tuning.Renting.IdleS))
		l.mu.Unlock()
		if len(back) > 0 {
			l.giveBack(ctx, back[:min(len(back), cloud.DeleteMax)])
		}
		if time.Since(listed) < every {
			continue
		}
		list, err := l.n.cloud.List(ctx)
		if err != nil {
			l.log.Debug("machine list", "err", err)
			call.Pause(ctx, time.Second)
			continue
		}
		listed = time.Now()
		l.mu.Lock()
		l.m.SetList(list, listed)
		l.mu.Unlock()
		kick(l.schedKick)
	}
}

// keepTypes leaves the catalogue where nodes find it during an outage of the
// cloud.
func (l *leadership) keepTypes(ctx context.Context) bool {
	types := l.n.knownTypes()
	if types == nil {
		return false
	}
	return l.put(ctx, jobstore.TypesKey, wire.Types{Types: types}) == nil
}

// giveBack returns machines. Their names are committed first: between the look
// at the lease and the cloud's act may lie a minute, in which another leader has
// begun and placed tasks on them, unless it reads here that they go.
func (l *leadership) giveBack(ctx context.Context, names []string) {
	if err := l.put(ctx, jobstore.ReturnsKey, jobstore.ReturnRecord{Machines: names}); err != nil {
		l.log.Debug("return record", "err", err)
		return
	}
	if err := l.n.cloud.Delete(ctx, names); err != nil {
		l.log.Info("machines not returned, retrying", "count", len(names), "err", err)
		call.Pause(ctx, time.Second)
		return
	}
	now := time.Now()
	l.mu.Lock()
	for _, name := range names {
		l.m.MachineGone(name, now)
	}
	l.mu.Unlock()
	kick(l.schedKick)
	kick(l.flushKick)
}

// rent asks for what the last pass wanted. The request's name is recorded
// before the call and never used again.
func (l *leadership) rent(ctx context.Context) {
	l.mu.Lock()
	wants := l.wants
	l.wants = nil
	l.renting = len(wants) > 0
	l.mu.Unlock()
	if len(wants) == 0 {
		return
	}
	for o, count := range wants {
		if ctx.Err() != nil || !l.term.Valid() {
			break
		}
		l.rentOne(ctx, o, min(count, cloud.RentMax))
	}
	l.mu.Lock()
	l.renting, l.wants = false, nil
	l.mu.Unlock()
	kick(l.schedKick)
}

func (l *leadership) rentOne(ctx context.Context, o cluster.Offer, count int) {
	l.bons++
	bon := fmt.Sprintf("r-%d-%d", l.term.Token, l.bons)
	rec := jobstore.RentalRecord{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count, AtMs: time.Now().UnixMilli()}
	key := jobstore.Rentals + bon
	l.mu.Lock()
	byPlan := l.m.PlanGuard()
	l.mu.Unlock()
	made, err := l.n.state.Commit(ctx, []wire.Guard{l.guard(), byPlan, {Key: key}}, []wire.Op{{Put: key, Value: rec}})
	if err != nil {
		l.log.Debug("rental record", "err", err)
		return
	}
	names, err := l.n.cloud.Rent(ctx, wire.Rental{Request: bon, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count})
	if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
		// The same request either rents now or names what it rented before.
		names, err = l.n.cloud.Rent(ctx, wire.Rental{Request: bon, Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: count})
	}
	now := time.Now()
	l.mu.Lock()
	if err != nil || len(names) < count {
		l.m.Refused(o, now)
	}
	l.m.Rented(o, names, now)
	l.mu.Unlock()
	if err != nil {
		l.log.Info("rental refused", "request", bon, "type", o.Type, "zone", o.Zone, "spot", o.Spot, "count", count, "err", err)
	}
	op := wire.Op{Delete: key}
	if len(names) > 0 {
		rec.Machines = names
		op = wire.Op{Put: key, Value: rec}
	}
	if _, err := l.n.state.Commit(ctx, []wire.Guard{l.guard(), {Key: key, Version: made}}, []wire.Op{op}); err != nil {
		l.log.Debug("rental record", "err", err)
	}
}
