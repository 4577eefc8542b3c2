// Drives the leader's model for decisions_test.go as a controller node does: takeovers, scheduling
// passes, writes and direct commands.

package cluster

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// startLeader elects the next leader and loads its model from the records as a node does.
func (d *driver) startLeader() {
	now := d.now()
	token := d.revision + 1
	d.write(wire.Op{Put: "ctl/leader", Value: token})
	m := New(d.settings, token, now, slog.New(slog.DiscardHandler))
	m.RebalanceSettings, m.Headroom, m.StarvationBound = config.DefaultTuning().Rebalance, 0.05, 240*time.Second
	m.RebalanceSettings.EveryS, m.RebalanceSettings.CooldownS, m.RebalanceSettings.TaskCooldownS = 9, 30, 60
	m.SetMachineTypes([]wire.MachineType{
		{Name: "m", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, Price: 2, SpotPrice: 1, BootS: 20, Zones: []string{"a", "b"}},
		{Name: "l", CPUs: 16, MemoryGB: 128, CacheGB: 30, FetchGBPS: 0.5, Price: 3, SpotPrice: 1.2, BootS: 30, Zones: []string{"b", "a"}}})
	d.model = m
	keys := slices.Sorted(maps.Keys(d.store))
	each := func(prefix string, load func(key string, v storedValue)) {
		for _, k := range keys {
			if strings.HasPrefix(k, prefix) {
				load(k, d.store[k])
			}
		}
	}
	each(jobstore.PlanStatePrefix, func(key string, v storedValue) { m.LoadPlanRecord(key, v.raw, v.version) })
	d.applyLatestPlan()
	if _, ok := d.store[jobstore.SchemaKey]; ok {
		m.ExpectPlan()
	}
	d.loadJobs(each, now)
	each(jobstore.RebalanceCyclePrefix, func(key string, _ storedValue) {
		m.LoadRebalanceCycle(key[len(jobstore.RebalanceCyclePrefix):], read[jobstore.RebalanceCycle](d, key), now)
	})
	each(jobstore.ScaleOutPrefix, func(key string, _ storedValue) {
		rec := read[jobstore.ScaleOutRecord](d, key)
		m.AddScaledOutMachines(Offer{Type: rec.MachineType, Zone: rec.Zone, Spot: rec.Spot}, rec.Machines, time.UnixMilli(rec.AtMs))
	})
	if _, ok := d.store[jobstore.ScaleInKey]; ok {
		m.ResumeScaleIn(read[jobstore.ScaleInRecord](d, jobstore.ScaleInKey).Machines, now)
	}
	m.FinishLoading(now)
	d.watchEvents = d.watchEvents[:0]
}

// loadJobs loads the records of jobs and the placement pages. each calls load for all keys with a
// prefix, in order.
func (d *driver) loadJobs(each func(prefix string, load func(key string, v storedValue)), now time.Time) {
	var pages []AdmissionPage
	each(jobstore.JobPrefix, func(key string, v storedValue) {
		if jobstore.IsJobPageKey(key) {
			rec, err := jobstore.DecodeJobPage(v.raw)
			if err != nil {
				d.t.Fatal(err)
			}
			pages = append(pages, AdmissionPage{Key: key, Version: v.version, Record: rec})
			return
		}
		id, _ := jobstore.ParseJobKey(key)
		rec, err := jobstore.DecodeJob(id, v.raw)
		if err != nil {
			d.t.Fatal(err)
		}
		d.model.ApplyJobRecord(id, rec, v.version, now)
	})
	d.model.ApplyAdmissionPages(pages, now)
	each(jobstore.ActivePrefix, func(key string, v storedValue) {
		n, ok := jobstore.ParsePlacementPageKey(key)
		if !ok {
			return
		}
		rec, err := jobstore.DecodePlacementPage(v.raw)
		if err != nil {
			d.t.Fatal(err)
		}
		for _, c := range rec.Chunks {
			if over, ok := d.store[jobstore.FinalKey(c.Job)]; ok && d.model.Job(c.Job) == nil && len(c.Placements) > 0 {
				end, err := jobstore.DecodeFinal(over.raw)
				if err != nil {
					d.t.Fatal(err)
				}
				d.model.LoadCancelledJob(c.Job, end)
			}
		}
		d.model.LoadPlacementPage(n, rec, v.version, now)
	})
}

// applyWatchEvents applies the changes of the store as the leader's watch does.
func (d *driver) applyWatchEvents() {
	now := d.now()
	pages := map[string]AdmissionPage{}
	for _, e := range d.watchEvents {
		key := e.Put + e.Delete
		switch {
		case jobstore.IsJobPageKey(key):
			pg := AdmissionPage{Key: key, Version: e.Version}
			if e.Put != "" {
				rec, err := jobstore.DecodeJobPage(e.Value)
				if err != nil {
					d.t.Fatal(err)
				}
				pg.Record = rec
			}
			pages[key] = pg
			d.recordDecision("wrote", key, d.model.HasAdmissionPageVersion(key, e.Version))
		case e.Delete != "":
			if id, ok := jobstore.ParseJobKey(key); ok {
				d.model.RemoveJob(id, now)
			}
		default:
			if id, ok := jobstore.ParseJobKey(key); ok {
				rec, err := jobstore.DecodeJob(id, e.Value)
				if err != nil {
					d.t.Fatal(err)
				}
				d.model.ApplyJobRecord(id, rec, e.Version, now)
			}
		}
	}
	var changed []AdmissionPage
	for _, key := range slices.Sorted(maps.Keys(pages)) {
		changed = append(changed, pages[key])
	}
	d.model.ApplyAdmissionPages(changed, now)
	d.watchEvents = d.watchEvents[:0]
}

// runStep runs one step of the simulation.
func (d *driver) runStep() {
	d.injectEvents()
	d.applyWatchEvents()
	for _, w := range d.workers {
		d.heartbeat(w)
	}
	d.runPass()
	d.writeRecords()
	d.sendDirectCommands()
	if d.step%4 == 0 {
		d.runCloud()
	}
	if d.step%2 == 0 {
		d.writePlanRecords()
		d.submitPrefetches()
	}
	if d.step%15 == 0 {
		d.explain()
	}
}

// runPass runs a scheduling pass.
func (d *driver) runPass() {
	now := d.now()
	if d.chance(1) {
		d.model.ResumeAfterStall(now, 3*time.Second)
	}
	d.model.Tick(now)
	renting := 0
	if d.step%3 != 0 {
		renting = 1 << 30
	}
	s := d.model.Schedule(now, renting)
	d.recordDecision("pass", s.Started, d.model.PendingWrites(), d.model.PlacementsRemoved, d.model.ExpectedMachines(now))
	for _, r := range s.Unplaced {
		d.recordDecision("wanted", r.Tasks, r.Team, r.Need.CPU, r.Need.GPU, r.Need.Mem, r.Zone, r.Gang, r.Spot)
	}
	if renting == 0 {
		d.scaleOut(s.ScaleOut)
	}
	if d.step%6 == 0 {
		moves := d.model.PlanMoves(s.Unplaced, now)
		for _, group := range slices.Sorted(maps.Keys(moves)) {
			d.startMoves(group, moves[group])
		}
	}
}

// writeLeaderRecord writes a record that only leaders write. It reports whether the write succeeded.
func (d *driver) writeLeaderRecord(key string, rec any, more ...wire.Guard) bool {
	guards := append([]wire.Guard{{Key: key, Version: d.store[key].version}}, more...)
	ops := []wire.Op{{Put: key, Value: rec}}
	d.recordTransaction("record", guards, ops)
	return d.commit(guards, ops) == nil
}

// startMoves commits the record of a rebalance cycle and starts its moves. In a tenth of all cases
// the moves are recorded and not started, as when the answer to the transaction is lost.
func (d *driver) startMoves(group string, rec jobstore.RebalanceCycle) {
	d.eventCounts["rebalancing move"] += len(rec.Moves)
	if d.writeLeaderRecord(jobstore.RebalanceCyclePrefix+group, rec, d.model.RebalanceGuards()...) && !d.chance(10) {
		d.model.BeginMoves(group, rec, d.now())
	}
}

// writeRecords commits batches until nothing is left to write, or a random limit of the step is
// reached. Of 100 batches about 3 are refused, 4 conflict with the cancellation of one of their jobs,
// and 3 are applied while the answer is lost. A batch that ends several jobs gets no fault, because its
// repetition would depend on the iteration order of a map.
func (d *driver) writeRecords() {
	now := d.now()
	for range 1 + d.rng.IntN(4) {
		d.model.SetCompletionTime(now)
		limit := 4 + d.rng.IntN(9)
		if d.smallBatches || d.knownPlanVersion != d.plan.HeadVersion {
			// If several jobs end in a batch that fails, the next batch has them in the
			// iteration order of a map. With three changes at most one job ends.
			limit = 3
		}
		b := d.model.NextBatch(limit)
		if b == nil {
			d.smallBatches = false
			break
		}
		d.recordTransaction("batch", b.Guards, b.Ops)
		ends := d.countWrites(b)
		fault := d.rng.IntN(100)
		if ends > 1 {
			fault = 99 // none
		}
		if fault < 3 {
			d.eventCounts["batch refused"]++
			d.smallBatches = true
			d.model.RequeueBatch(b) // status 503: the batch was not applied
			continue
		}
		if fault < 7 {
			d.cancelOneOf(b)
		}
		failed := d.commit(b.Guards, b.Ops)
		switch {
		case failed != nil:
			d.eventCounts["conflict"]++
			d.smallBatches = true
			d.handleConflict(b, failed)
		case fault < 10:
			d.eventCounts["answer lost"]++
			d.smallBatches = true
			d.model.RequeueBatch(b)
		default:
			b.OnCommit(d.revision, now)
		}
		d.recordDecision("stops with the batch", b.HeldStops)
	}
	if d.model.HasHeldStops() {
		d.commitPlanCheck()
	}
}

// countWrites counts the kinds of writes in a batch, and returns the number of jobs that it ends.
func (d *driver) countWrites(b *WriteBatch) (ends int) {
	for _, o := range b.Ops {
		if _, ok := jobstore.ParseFinalKey(o.Put); ok {
			ends++
			d.eventCounts["job ended"]++
		}
		if _, ok := jobstore.ParsePlacementPageKey(o.Put); ok {
			d.eventCounts["placement page"]++
		}
		if jobstore.IsJobPageKey(o.Put + o.Delete) {
			d.eventCounts["admission page"]++
		}
	}
	return ends
}

// handleConflict handles a batch with failed conditions, given by their keys.
func (d *driver) handleConflict(b *WriteBatch, failed []string) {
	for _, key := range failed {
		switch {
		case key == jobstore.PlanHeadKey:
			d.model.DropHeldStops()
			d.applyLatestPlan()
		case !jobstore.IsActiveJobKey(key):
			d.model.ResolveConflict(b, key, d.store[key].version)
		}
	}
	d.applyWatchEvents()
	d.model.RequeueBatch(b)
}

// commitPlanCheck commits the check of the plan's version, which releases held stops.
func (d *driver) commitPlanCheck() {
	b := d.model.PlanCheckBatch()
	if b == nil {
		return
	}
	d.eventCounts["held stop"] += b.HeldStops
	d.recordTransaction("compare", b.Guards, nil)
	if failed := d.commit(b.Guards, nil); failed != nil {
		d.handleConflict(b, failed)
		return
	}
	b.OnCommit(d.revision, d.now())
}

// writePlanRecords commits a batch of plan records.
func (d *driver) writePlanRecords() {
	d.recordDecision("notes", d.model.PendingPlanRecords())
	b := d.model.PlanRecordBatch(1 + d.rng.IntN(6))
	if b == nil {
		return
	}
	d.recordTransaction("notes", b.Guards, b.Ops)
	for _, o := range b.Ops {
		d.eventCounts["plan record"]++
		for _, kind := range []string{"pools/", "night.", "order"} {
			if strings.HasPrefix(o.Put, jobstore.PlanStatePrefix+kind) {
				d.eventCounts["plan record "+kind]++
			}
		}
	}
	failed := d.commit(b.Guards, b.Ops)
	switch {
	case failed != nil:
		d.handleConflict(b, failed)
	case d.chance(5):
		d.model.RequeueBatch(b) // the batch was applied, but the answer is lost
	default:
		b.OnCommit(d.revision, d.now())
	}
	if raw := d.store[jobstore.PlanStatePrefix+calendar.RecordName("north")].raw; raw != nil {
		d.eventCounts["batch window outcome"] += len(read[calendar.Record](d, jobstore.PlanStatePrefix+calendar.RecordName("north")).Past)
	}
}

// submitPrefetches submits the jobs that prefetch the weights of warm pools.
func (d *driver) submitPrefetches() {
	for _, f := range d.model.NextPrefetches(4, d.now()) {
		d.eventCounts["prefetch"]++
		guards := []wire.Guard{d.model.PlanGuard(), {Key: jobstore.JobKey(f.ID)}, {Key: jobstore.FinalKey(f.ID)}}
		ops := []wire.Op{{Put: jobstore.JobKey(f.ID), Value: f.Record}}
		d.recordTransaction("fetch", guards, ops)
		d.commit(guards, ops)
	}
}

// sendDirectCommands sends stops and wake-ups to the workers' addresses.
func (d *driver) sendDirectCommands() {
	now := d.now()
	stops := d.model.DueStops(now)
	// The stops of several machines may be in the iteration order of a map.
	slices.SortFunc(stops, func(a, b Push) int { return strings.Compare(a.Machine, b.Machine) })
	for _, s := range stops {
		sortWithinOps(s.Commands.Commands)
		d.eventCounts["direct stop"] += len(s.Commands.Commands)
		d.sendDirect("direct stop", s)
	}
	for _, s := range d.model.WakeUps(5, now) {
		d.eventCounts["wake-up"]++
		d.sendDirect("wake-up", s)
	}
}

// sendDirect delivers commands to a worker unless they are stale or get lost.
func (d *driver) sendDirect(what string, s Push) {
	d.recordDecision(what, s.Machine, s.Addr, d.decoded(s.Commands))
	w := d.byName[s.Machine]
	if w == nil || w.dead || w.gone || w.epoch != s.Commands.AgentEpoch || s.Commands.Token < w.token || d.chance(30) {
		return
	}
	d.execute(w, s.Commands.Commands)
}

// explain adds the snapshot and the explanations for operators to the hash.
func (d *driver) explain() {
	now := d.now()
	s := d.model.Snapshot(now)
	d.recordDecision("summary", s.Machines, s.Tasks, s.Jobs, s.PastDeadline, s.LongestWait, s.StarvedTotal, s.LeaseLeft, s.PriorityInversions)
	for _, u := range s.Starved {
		d.recordDecision("unbegun", u.ID, u.Class, u.Team, u.Tasks, u.BlockedBy, u.WaitedSeconds)
	}
	for _, p := range s.Pools {
		d.recordDecision("pool", p.Name, p.Target, p.Held, p.Warm, p.Fetching, p.Hits, p.Misses, p.Preemptions, p.CostLimited, p.FetchRefused, d.decoded(p.Teams))
	}
	for _, v := range d.model.BatchWindows(now) {
		d.recordDecision("night", v.Zone, v.NextOpeningMs, v.Stale, d.decoded(v.Record))
	}
	for _, id := range d.model.UnresolvedWindowJobs(3) {
		if over, ok := d.store[jobstore.FinalKey(id)]; ok {
			rec, err := jobstore.DecodeFinal(over.raw)
			if err != nil {
				d.t.Fatal(err)
			}
			d.model.ResolveWindowJob(id, &rec, now)
		} else {
			d.model.ResolveWindowJob(id, nil, now)
		}
		d.recordDecision("told end", id)
	}
	for _, id := range d.jobs[max(0, len(d.jobs)-6):] {
		w, ok := d.model.Explain(id, now)
		d.recordDecision("why", id, ok, w.Tier, w.WaitedSeconds, w.Tasks, w.Done, w.Placed, w.PendingReasons, w.AheadByReason)
		for _, a := range w.Nearest {
			d.recordDecision("ahead", a.ID, a.Tier, a.PrecedenceReason)
		}
		for _, p := range w.Inversions {
			d.recordDecision("passed", d.decoded(p))
		}
	}
}
