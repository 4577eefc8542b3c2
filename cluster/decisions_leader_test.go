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

// This file is the leader of the cluster that decisions_test.go simulates.

// lead loads the model of the next leader from the records, as a node does.
func (d *driver) lead() {
	now := d.now()
	token := d.rev + 1
	d.write(wire.Op{Put: "ctl/leader", Value: token})
	clear(d.own)
	m := New(d.cfg, token, now, slog.New(slog.DiscardHandler))
	m.RebalanceSettings, m.Headroom, m.StarvationBound = config.DefaultTuning().Rebalance, 0.05, 240*time.Second
	m.RebalanceSettings.EveryS, m.RebalanceSettings.CooldownS, m.RebalanceSettings.TaskCooldownS = 9, 30, 60
	m.SetMachineTypes([]wire.MachineType{
		{Name: "m", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, Price: 2, SpotPrice: 1, BootS: 20, ZonesNamed: []string{"a", "b"}},
		{Name: "l", CPUs: 16, MemoryGB: 128, CacheGB: 30, FetchGBPS: 0.5, Price: 3, SpotPrice: 1.2, BootS: 30, ZonesNamed: []string{"b", "a"}}})
	d.m = m
	keys := slices.Sorted(maps.Keys(d.store))
	each := func(prefix string, load func(key string, v storedValue)) {
		for _, k := range keys {
			if strings.HasPrefix(k, prefix) {
				load(k, d.store[k])
			}
		}
	}
	each(jobstore.PlanStatePrefix, func(key string, v storedValue) { m.LoadPlanRecord(key, v.raw, v.version) })
	d.takePlan()
	if _, ok := d.store[jobstore.SchemaKey]; ok {
		m.ExpectPlan()
	}
	d.loadJobs(each, now)
	each(jobstore.RebalanceCyclePrefix, func(key string, _ storedValue) {
		m.LoadRebalanceCycle(key[len(jobstore.RebalanceCyclePrefix):], read[jobstore.RebalanceCycle](d, key), now)
	})
	each(jobstore.ScaleOutPrefix, func(key string, _ storedValue) {
		rec := read[jobstore.ScaleOutRecord](d, key)
		m.ScaledOut(Offer{Type: rec.Type, Zone: rec.Zone, Spot: rec.Spot}, rec.Machines, time.UnixMilli(rec.AtMs))
	})
	if _, ok := d.store[jobstore.ScaleInKey]; ok {
		m.ResumeScaleIn(read[jobstore.ScaleInRecord](d, jobstore.ScaleInKey).Machines, now)
	}
	m.FinishLoading(now)
	d.seen = d.rev
	d.log = d.log[:0]
}

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
		d.m.ApplyJobRecord(id, rec, v.version, now)
	})
	d.m.ApplyAdmissionPages(pages, now)
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
			if over, ok := d.store[jobstore.FinalKey(c.Job)]; ok && d.m.Job(c.Job) == nil && len(c.Placements) > 0 {
				end, err := jobstore.DecodeFinal(over.raw)
				if err != nil {
					d.t.Fatal(err)
				}
				d.m.LoadCancelledJob(c.Job, end)
			}
		}
		d.m.LoadPlacementPage(n, rec, v.version, now)
	})
}

// learn applies what has changed in the store, as the leader's watch does.
func (d *driver) learn() {
	now := d.now()
	pages := map[string]AdmissionPage{}
	for _, e := range d.log {
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
			d.note("wrote", key, d.m.WroteAdmissionPage(key, e.Version))
		case e.Delete != "":
			if id, ok := jobstore.ParseJobKey(key); ok {
				d.m.RemoveJob(id, now)
			}
		default:
			if id, ok := jobstore.ParseJobKey(key); ok {
				rec, err := jobstore.DecodeJob(id, e.Value)
				if err != nil {
					d.t.Fatal(err)
				}
				d.m.ApplyJobRecord(id, rec, e.Version, now)
			}
		}
	}
	var changed []AdmissionPage
	for _, key := range slices.Sorted(maps.Keys(pages)) {
		changed = append(changed, pages[key])
	}
	d.m.ApplyAdmissionPages(changed, now)
	d.log, d.seen = d.log[:0], d.rev
}

// play runs one step of the simulation.
func (d *driver) play() {
	d.events()
	d.learn()
	for _, w := range d.workers {
		d.heartbeat(w)
	}
	d.pass()
	d.writeRecords()
	d.direct()
	if d.step%4 == 0 {
		d.runCloud()
	}
	if d.step%2 == 0 {
		d.writeNotes()
		d.fetchWeights()
	}
	if d.step%15 == 0 {
		d.explain()
	}
}

// pass runs a scheduling pass.
func (d *driver) pass() {
	now := d.now()
	if d.chance(1) {
		d.m.ResumeAfterStall(now, 3*time.Second)
	}
	d.m.Tick(now)
	renting := 0
	if d.step%3 != 0 {
		renting = 1 << 30
	}
	s := d.m.Schedule(now, renting)
	d.note("pass", s.Started, d.m.PendingWrites(), d.m.PlacesFreed, d.m.ExpectedMachines(now))
	for _, r := range s.Unplaced {
		d.note("wanted", r.Tasks, r.Team, r.Need.CPU, r.Need.GPU, r.Need.Mem, r.Zone, r.Gang, r.Spot)
	}
	if renting == 0 {
		d.rent(s.ScaleOut)
	}
	if d.step%6 == 0 {
		moves := d.m.PlanMoves(s.Unplaced, now)
		for _, group := range slices.Sorted(maps.Keys(moves)) {
			d.move(group, moves[group])
		}
	}
}

// put writes a record that only leaders write.
func (d *driver) put(key string, rec any, more ...wire.Guard) bool {
	guards := append([]wire.Guard{{Key: key, Version: d.store[key].version}}, more...)
	ops := []wire.Op{{Put: key, Value: rec}}
	d.noteTxn("record", guards, ops)
	return d.commit(guards, ops) == nil
}

func (d *driver) move(group string, rec jobstore.RebalanceCycle) {
	d.met["moves"] += len(rec.Moves)
	if d.put(jobstore.RebalanceCyclePrefix+group, rec, d.m.RebalanceGuards()...) && !d.chance(10) {
		d.m.BeginMoves(group, rec, d.now())
	}
}

// writeRecords commits batches until nothing is to be written or their share of the step is
// used up.
func (d *driver) writeRecords() {
	now := d.now()
	for range 1 + d.rnd.IntN(4) {
		d.m.SetCompletionTime(now)
		most := 4 + d.rnd.IntN(9)
		if d.careful || d.told != d.plan.HeadVersion {
			// If several jobs end in a batch that fails, they are written next in the
			// order of a map. With three changes at most one job ends.
			most = 3
		}
		b := d.m.NextBatch(most)
		if b == nil {
			d.careful = false
			break
		}
		d.noteTxn("batch", b.Guards, b.Ops)
		ends := d.metOps(b)
		trouble := d.rnd.IntN(100)
		if ends > 1 {
			trouble = 99
		}
		if trouble < 3 {
			d.met["batch refused"]++
			d.careful = true
			d.m.RequeueBatch(b) // 503: it was not carried out
			continue
		}
		if trouble < 7 {
			d.cancelOneOf(b)
		}
		failed := d.commit(b.Guards, b.Ops)
		switch {
		case failed != nil:
			d.met["conflict"]++
			d.careful = true
			d.settle(b, failed)
		case trouble < 10:
			d.met["answer lost"]++
			d.careful = true
			d.m.RequeueBatch(b)
		default:
			b.OnCommit(d.rev, now)
		}
		d.note("stops with the batch", b.HeldStops)
	}
	if d.m.HasHeldStops() {
		d.compare()
	}
}

// metOps counts the kinds of writes in a batch, and returns how many jobs it ends.
func (d *driver) metOps(b *WriteBatch) (ends int) {
	for _, o := range b.Ops {
		if _, ok := jobstore.ParseFinalKey(o.Put); ok {
			ends++
			d.met["job ended"]++
		}
		if _, ok := jobstore.ParsePlacementPageKey(o.Put); ok {
			d.met["placement page"]++
		}
		if jobstore.IsJobPageKey(o.Put + o.Delete) {
			d.met["shared page"]++
		}
	}
	return ends
}

// settle handles a batch of which conditions have failed.
func (d *driver) settle(b *WriteBatch, failed []string) {
	for _, key := range failed {
		switch {
		case key == jobstore.PlanHeadKey:
			d.m.DropHeldStops()
			d.takePlan()
		case !jobstore.IsActiveJobKey(key):
			d.m.ResolveConflict(b, key, d.store[key].version)
		}
	}
	d.learn()
	d.m.RequeueBatch(b)
}

// compare commits the check of the plan that releases held stops.
func (d *driver) compare() {
	b := d.m.PlanCheckBatch()
	if b == nil {
		return
	}
	d.met["held stop"] += b.HeldStops
	d.noteTxn("compare", b.Guards, nil)
	if failed := d.commit(b.Guards, nil); failed != nil {
		d.settle(b, failed)
		return
	}
	b.OnCommit(d.rev, d.now())
}

func (d *driver) writeNotes() {
	d.note("notes", d.m.PendingPlanRecords())
	b := d.m.PlanRecordBatch(1 + d.rnd.IntN(6))
	if b == nil {
		return
	}
	d.noteTxn("notes", b.Guards, b.Ops)
	for _, o := range b.Ops {
		d.met["note"]++
		for _, kind := range []string{"pools/", "night.", "order"} {
			if strings.HasPrefix(o.Put, jobstore.PlanStatePrefix+kind) {
				d.met["note of "+kind]++
			}
		}
	}
	failed := d.commit(b.Guards, b.Ops)
	switch {
	case failed != nil:
		d.settle(b, failed)
	case d.chance(5):
		d.m.RequeueBatch(b) // it was carried out, and the answer is lost
	default:
		b.OnCommit(d.rev, d.now())
	}
	if raw := d.store[jobstore.PlanStatePrefix+calendar.RecordName("north")].raw; raw != nil {
		d.met["outcome of a night"] += len(read[calendar.Record](d, jobstore.PlanStatePrefix+calendar.RecordName("north")).Past)
	}
}

// fetchWeights submits the jobs that prefetch the weights of warm pools.
func (d *driver) fetchWeights() {
	for _, f := range d.m.NextPrefetches(4, d.now()) {
		d.met["fetch"]++
		guards := []wire.Guard{d.m.PlanGuard(), {Key: jobstore.JobKey(f.ID)}, {Key: jobstore.FinalKey(f.ID)}}
		ops := []wire.Op{{Put: jobstore.JobKey(f.ID), Value: f.Record}}
		d.noteTxn("fetch", guards, ops)
		d.commit(guards, ops)
	}
}

// direct sends the commands for workers' own addresses.
func (d *driver) direct() {
	now := d.now()
	stops := d.m.StopPushes(now)
	// The stops of several machines may be in the order of a map.
	slices.SortFunc(stops, func(a, b Push) int { return strings.Compare(a.Machine, b.Machine) })
	for _, s := range stops {
		sortKinds(s.Commands.Commands)
		d.met["direct stop"] += len(s.Commands.Commands)
		d.sendDirect("direct stop", s)
	}
	for _, s := range d.m.WakeUps(5, now) {
		d.met["wake-up"]++
		d.sendDirect("wake-up", s)
	}
}

func (d *driver) sendDirect(what string, s Push) {
	d.note(what, s.Machine, s.Addr, d.plain(s.Commands))
	w := d.byName[s.Machine]
	if w == nil || w.dead || w.gone || w.epoch != s.Commands.AgentEpoch || s.Commands.Token < w.token || d.chance(30) {
		return
	}
	d.execute(w, s.Commands.Commands)
}

// explain adds the explanations for operators to the hash.
func (d *driver) explain() {
	now := d.now()
	s := d.m.Snapshot(now)
	d.note("summary", s.Machines, s.Tasks, s.Jobs, s.PastDeadline, s.LongestWait, s.StarvedTotal, s.LeaseLeft, s.PriorityInversions)
	for _, u := range s.Starved {
		d.note("unbegun", u.ID, u.Class, u.Team, u.Tasks, u.BlockedBy, u.WaitedSeconds)
	}
	for _, p := range s.Pools {
		d.note("pool", p.Name, p.Target, p.Held, p.Warm, p.Fetching, p.Hits, p.Misses, p.Preemptions, p.CostLimited, p.FetchRefused, d.plain(p.Teams))
	}
	for _, v := range d.m.BatchWindows(now) {
		d.note("night", v.Zone, v.NextOpeningMs, v.Stale, d.plain(v.Record))
	}
	for _, id := range d.m.UnresolvedWindowJobs(3) {
		if over, ok := d.store[jobstore.FinalKey(id)]; ok {
			rec, err := jobstore.DecodeFinal(over.raw)
			if err != nil {
				d.t.Fatal(err)
			}
			d.m.ResolveWindowJob(id, &rec, now)
		} else {
			d.m.ResolveWindowJob(id, nil, now)
		}
		d.note("told end", id)
	}
	for _, id := range d.jobs[max(0, len(d.jobs)-6):] {
		w, ok := d.m.Explain(id, now)
		d.note("why", id, ok, w.Tier, w.WaitedSeconds, w.Tasks, w.Done, w.Placed, w.PendingReasons, w.AheadByReason)
		for _, a := range w.Nearest {
			d.note("ahead", a.ID, a.Tier, a.Reason)
		}
		for _, p := range w.Inversions {
			d.note("passed", d.plain(p))
		}
	}
}
