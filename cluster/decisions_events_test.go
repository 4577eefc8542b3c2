// Simulates the actions of users and operators, and faults, for decisions_test.go.

package cluster

import (
	"fmt"
	"maps"
	"slices"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// injectEvents runs the user actions, operator actions and faults of a step.
func (d *driver) injectEvents() {
	if d.step < decisionSteps*4/5 {
		for d.chance(35) {
			d.submit()
		}
	}
	if len(d.jobs) > 0 && d.chance(5) {
		i := d.rng.IntN(len(d.jobs))
		d.cancel(d.jobs[i])
		d.jobs = slices.Delete(d.jobs, i, i+1)
	}
	if d.step%60 == 20 {
		d.setPlan()
	}
	if d.step%97 == 96 {
		d.eventCounts["failover"]++
		d.startLeader()
	}
	d.injectFault()
}

// injectFault lets a worker die, lose the answers to its heartbeats, or be interrupted.
func (d *driver) injectFault() {
	w := d.workers[d.rng.IntN(len(d.workers))]
	if w.gone || w.dead || d.seconds() < w.readyAt || !d.chance(12) {
		return
	}
	switch d.rng.IntN(4) {
	case 0:
		w.dead = true
		if d.chance(75) {
			w.restartAt = d.seconds() + d.between(5, 40)
		}
	case 1, 2:
		d.eventCounts["worker misses answers"]++
		w.deafUntil = d.seconds() + d.between(5, 25)
	case 3:
		if w.spot {
			d.eventCounts["interruption"]++
			w.interruptedAt = d.seconds() + d.between(15, 30)
		}
	}
}

// submit submits a job under its own key or on a shared admission page.
func (d *driver) submit() {
	d.nextJob++
	j := wire.Job{ID: fmt.Sprintf("wk-%06d", d.nextJob), Class: []string{"arrays", "gangs", "chat", "other"}[d.rng.IntN(4)], Team: []string{"core", "core", "edge"}[d.rng.IntN(3)],
		Kind: wire.KindArray, Priority: []string{wire.PriorityProduction, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityNormal, wire.PriorityLow}[d.rng.IntN(5)],
		Tasks: 1 + d.rng.IntN(6), CPUs: d.between(1, 6), MemoryGB: d.between(1, 8), Image: fmt.Sprint("i", d.rng.IntN(6)), ImageGB: d.between(1, 5),
		EstimateS: d.between(10, 80), CheckpointS: 10, SaveS: 2, Spot: d.chance(60), OneZone: d.chance(15)}
	switch {
	case j.Class == "gangs":
		j.Kind, j.Tasks = wire.KindGang, 2+d.rng.IntN(4)
	case j.Class == "chat":
		j.Kind, j.Image, j.ImageGB, j.Tasks, j.EstimateS, j.Priority = wire.KindService, "llm:v1", 8, 1+d.rng.IntN(4), 0, wire.PriorityHigh
	case d.chance(20):
		deadline := d.between(60, 200)
		j.DeadlineS = &deadline
	}
	if d.chance(15) {
		j.GPUs = 0.5
	}
	if d.chance(10) {
		j.Types = []string{"m"}
	}
	if d.chance(10) {
		j.Zone = "a"
	}
	j.Spread = !j.OneZone && j.Zone == "" && d.chance(10)
	if d.chance(15) {
		j.CheckpointS, j.SaveS = 0, 0
	}
	if d.chance(2) {
		j.Tasks, j.CPUs, j.Kind, j.Class, j.EstimateS = 130, 1, wire.KindArray, "arrays", 10
	}
	d.jobs = append(d.jobs, j.ID)
	d.taskSeconds[j.ID] = j.EstimateS * (0.5 + d.rng.Float64())
	if j.Kind == wire.KindService {
		d.taskSeconds[j.ID] = 1e9
	}
	rec := jobstore.JobRecord{Job: j, AcceptedAtMs: d.now().UnixMilli()}
	if d.chance(50) {
		d.write(wire.Op{Put: jobstore.JobKey(j.ID), Value: rec})
		return
	}
	d.addToHeadPage(rec)
}

// addToHeadPage adds a job to the head admission page, and seals the page first if it is full.
func (d *driver) addToHeadPage(rec jobstore.JobRecord) {
	raw, err := wire.Marshal(rec)
	if err != nil {
		d.t.Fatal(err)
	}
	key := jobstore.HeadPageKey(0)
	var head jobstore.JobPage
	if _, ok := d.store[key]; ok {
		head = read[jobstore.JobPage](d, key)
	}
	var ops []wire.Op
	if len(head.Entries) >= 8 {
		head.LastSealed++
		ops = append(ops, wire.Op{Put: jobstore.SealedPageKey(0, head.LastSealed), Value: jobstore.JobPage{LastSealed: head.LastSealed, Entries: head.Entries}})
		head.Entries = nil
	}
	head.Entries = append(slices.Clone(head.Entries), jobstore.JobPageEntry{ID: rec.Job.ID, Record: raw})
	d.write(append(ops, wire.Op{Put: key, Value: head})...)
}

// cancel cancels a job on behalf of its user, unless the job has ended.
func (d *driver) cancel(id string) {
	d.eventCounts["cancellation"]++
	for _, key := range slices.Sorted(maps.Keys(d.store)) {
		if key == jobstore.JobKey(id) {
			rec := read[jobstore.JobRecord](d, key)
			rec.State = wire.JobCancelled
			d.write(wire.Op{Delete: key}, wire.Op{Put: jobstore.FinalKey(id), Value: rec})
			return
		}
		if !jobstore.IsJobPageKey(key) {
			continue
		}
		page := read[jobstore.JobPage](d, key)
		for _, e := range page.Entries {
			if e.ID != id {
				continue
			}
			rec, err := e.Decode()
			if err != nil {
				d.t.Fatal(err)
			}
			rec.State = wire.JobCancelled
			op := wire.Op{Put: key, Value: page.Without(map[string]bool{id: true})}
			if len(page.Entries) == 1 && !jobstore.IsHeadPageKey(key) {
				op = wire.Op{Delete: key}
			}
			d.write(op, wire.Op{Put: jobstore.FinalKey(id), Value: rec})
			return
		}
	}
}

// cancelOneOf cancels a job that a batch writes, so that the batch fails.
func (d *driver) cancelOneOf(b *WriteBatch) {
	for _, g := range b.Guards {
		id, ok := jobstore.ParseJobKey(g.Key)
		if !ok {
			id, ok = jobstore.ParseFinalKey(g.Key)
		}
		if i := slices.Index(d.jobs, id); ok && i >= 0 {
			d.cancel(id)
			d.jobs = slices.Delete(d.jobs, i, i+1)
			return
		}
	}
}

// setPlan applies the next version of the operators' plan: a batch window for arrays that
// ends after six minutes, tiers whose order changes, and a warm pool whose size changes.
func (d *driver) setPlan() {
	d.eventCounts["plan"]++
	d.plans++
	p := &plan.Plan{}
	p.Calendar.Regions = []calendar.RegionSettings{{Name: "north", Zone: "UTC", Evening: "18:00", MarginS: 60,
		Open: map[string]string{"thu": "00:06", "fri": "07:00"}, Work: []calendar.Work{{Class: "arrays"}}}}
	p.Order.Tiers = []priority.Tier{{Name: "first", Classes: []string{"gangs"}}, {Name: "second", Classes: []string{"arrays"}, Share: 0.2, LongestWaitS: 60},
		{Name: "third", LongestWaitS: 150}}
	if d.plans%2 == 0 {
		p.Order.Tiers[0].Classes, p.Order.Tiers[1].Classes = []string{"arrays"}, []string{"gangs"}
	}
	p.Pools = []warmpool.Pool{{Name: "llm", Model: "llm:v1", WeightsGB: 8, Types: []string{"m"}, Zones: []string{"a", "b"}, MinMachines: 2 + d.plans%2, MaxMachines: 4,
		Burst: warmpool.Burst{Replicas: 4, WithinS: 10}, MaxHourlyCost: 1e6, Payer: "core", Borrowers: []string{"edge"}, ConcurrentFetches: 2}}
	if d.plans%5 == 4 {
		p.Pools = nil
	}
	if err := p.Check(d.settings.Cluster.Zones, []string{"core", "edge"}); err != nil {
		d.t.Fatal(err)
	}
	d.write(wire.Op{Put: jobstore.PlanHeadKey, Value: d.plans})
	d.plan = Plan{Plan: p, Number: d.plans, HeadVersion: d.revision}
	if d.chance(70) { // otherwise a failed condition tells the leader
		d.model.ExpectPlan()
		d.applyLatestPlan()
	}
}

// applyLatestPlan makes the leader follow the latest plan.
func (d *driver) applyLatestPlan() {
	d.knownPlanVersion = d.plan.HeadVersion
	d.model.SetPlan(d.plan, d.now())
}
