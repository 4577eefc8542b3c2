package cluster

import (
	"bytes"
	"flag"
	"fmt"
	"hash"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// This file drives the model through some minutes of a busy fleet, from a seed and
// with a fixed clock, and holds all that comes out of it against what the recorded
// version driver: commands, transactions, rentals, returns, moves, explanations.
// Workers, the cloud and the state service are written here; they draw from the seed
// and from nothing else.

var traceDir = flag.String("decisions", "", "directory to write each seed's decisions to, to see where two versions part")

const (
	decisionSeeds = 6
	decisionSteps = 420
	decisionStepS = 1.5
	// decisionMark is after how many steps the decisions so far are recorded.
	decisionMark = 20
)

// A change of the code that is meant to change no decision leaves every hash as it
// is. Where one differs, run this on both versions with -decisions and compare the
// files.
func TestDecisionsAreTheRecordedOnes(t *testing.T) {
	f := golden.Open(t, "decisions.golden")
	met := map[string]int{}
	for seed := range uint64(decisionSeeds) {
		d := newDriver(t, seed)
		for d.step = 1; d.step <= decisionSteps; d.step++ {
			d.play()
			if d.step%decisionMark == 0 {
				f.Text(fmt.Sprintf("seed %d, %03d steps", seed, d.step), fmt.Sprintf("%016x", d.sum.Sum64()))
			}
		}
		d.close()
		for k, n := range d.met {
			met[k] += n
		}
	}
	t.Log(met)
	for _, what := range []string{"launch", "stop", "forget", "direct stop", "wake-up", "rental", "refused rental", "machine rented", "return", "machine returned",
		"moves", "job ended", "cancellation", "conflict", "answer lost", "placement page", "plan", "failover", "fetch", "note", "note of pools/", "note of night.",
		"note of order", "outcome of a night", "held stop", "repeated report", "stale report", "lease expiry", "machine lost", "interruption", "mute", "start refused",
		"reserved task", "gang", "shared page", "batch refused"} {
		if met[what] == 0 {
			t.Errorf("no %s was met", what)
		}
	}
}

// storedValue is a value of the state service.
type storedValue struct {
	raw     wire.Raw
	version uint64
}

// driver is a fleet, its state service and the leader's model.
type driver struct {
	t     *testing.T
	rnd   *rand.Rand
	out   io.Writer
	sum   hash.Hash64
	trace *os.File
	met   map[string]int

	cfg     *config.Settings
	m       *Model
	plan    Plan
	plans   int
	told    uint64 // the plan's version that the leader has been told
	step    int
	rev     uint64
	seen    uint64 // the revision up to which the model knows of changes
	store   map[string]storedValue
	log     []wire.Event
	own     map[string]uint64 // versions of records that the leader alone writes
	jobs    []string          // that users have submitted and not cancelled
	lasts   map[string]float64
	nextJob int
	bons    int
	careful bool // a transaction has failed, and others may for the same reason

	workers []*simWorker
	byName  map[string]*simWorker
	named   int // machines so far
}

// simWorker is a worker.
type simWorker struct {
	name, zone, typ string
	spot            bool
	boots           float64 // it reports from then on
	session, seq    uint64
	token           uint64
	renewed         float64 // when its last answered report was sent
	dead            bool
	gone            bool
	deafTo          float64 // it hears no answers until then
	backAt          float64 // a dead worker begins another session then; 0: never
	notice          float64 // when the cloud takes it, 0: never
	images          map[string]bool
	tasks           []*simTask
	last            *wire.Report // its last report
}

type simTask struct {
	wire.TaskReport
	image  string
	until  float64 // of the state that it is in
	refuse string  // it exits for that instead of running
}

func newDriver(t *testing.T, seed uint64) *driver {
	t.Helper()
	d := &driver{t: t, rnd: rand.New(rand.NewPCG(seed, 7)), sum: xxhash.New(), met: map[string]int{}, store: map[string]storedValue{}, own: map[string]uint64{},
		lasts: map[string]float64{}, byName: map[string]*simWorker{}}
	d.out = d.sum
	if *traceDir != "" {
		var err error
		if d.trace, err = os.Create(filepath.Join(*traceDir, fmt.Sprintf("seed-%d.txt", seed))); err != nil {
			t.Fatal(err)
		}
		d.out = io.MultiWriter(d.sum, d.trace)
	}
	d.cfg = &config.Settings{Cluster: config.Cluster{Zones: []string{"a", "b"},
		Teams:      []config.Team{{Name: "core", CPUs: 40, CPUsMax: 110, GPUs: 4}, {Name: "edge"}},
		Objectives: []config.Objective{{Kind: "wait", Class: "gangs", WithinS: 50}, {Kind: "finished", Class: "gangs", WithinS: 300}, {Kind: "deadline", Class: "arrays", Times: 1}},
		Workers:    config.Workers{ReportS: 1.5, LeaseS: 12, GangWaitS: 30, GangPeerS: 6, CancelS: 32},
		Cloud:      config.CloudLimits{RPS: 4, ListLagS: 5}}}
	for i := range 14 {
		d.addMachine([]string{"a", "b"}[i%2], []string{"m", "m", "l"}[i%3], i%5 == 0, 0)
	}
	d.rev = 10
	if seed%2 == 1 {
		d.write(wire.Op{Put: jobstore.SchemaKey, Value: jobstore.SchemaRecord{Version: jobstore.SchemaPlans, Buckets: 1}})
	}
	d.lead()
	return d
}

func (d *driver) close() {
	if d.trace != nil {
		if err := d.trace.Close(); err != nil {
			d.t.Error(err)
		}
	}
}

func (d *driver) seconds() float64         { return float64(d.step) * decisionStepS }
func (d *driver) now() time.Time           { return at(d.seconds()) }
func (d *driver) chance(percent int) bool  { return d.rnd.IntN(100) < percent }
func (d *driver) between(a, b int) float64 { return float64(a + d.rnd.IntN(b-a)) }

// note has a decision count.
func (d *driver) note(what string, values ...any) {
	fmt.Fprintf(d.out, "%d %s %v\n", d.step, what, values)
}

// plain is a value as its encoding has it, with the keys of maps in order.
func (d *driver) plain(v any) any {
	raw, err := wire.Marshal(v)
	if err != nil {
		d.t.Fatal(err)
	}
	return d.plainRaw(raw)
}

func (d *driver) plainRaw(raw []byte) any {
	if len(raw) == 0 {
		return nil
	}
	var out any
	dec := msgpack.NewDecoder(bytes.NewReader(raw))
	dec.UseLooseInterfaceDecoding(true)
	if err := dec.Decode(&out); err != nil {
		d.t.Fatal(err)
	}
	return out
}

// The state service.

// commit carries a transaction out, if its conditions hold.
func (d *driver) commit(guards []wire.Guard, ops []wire.Op) (failed []string) {
	for _, g := range guards {
		if d.store[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed == nil && len(ops) > 0 {
		d.write(ops...)
	}
	return failed
}

func (d *driver) write(ops ...wire.Op) {
	d.rev++
	for _, o := range ops {
		if o.Delete != "" {
			delete(d.store, o.Delete)
			d.log = append(d.log, wire.Event{Delete: o.Delete, Version: d.rev})
			continue
		}
		raw, err := wire.Marshal(o.Value)
		if err != nil {
			d.t.Fatal(err)
		}
		d.store[o.Put] = storedValue{raw, d.rev}
		d.log = append(d.log, wire.Event{Put: o.Put, Value: raw, Version: d.rev})
	}
}

// noteTxn has a transaction count.
func (d *driver) noteTxn(what string, guards []wire.Guard, ops []wire.Op) {
	for _, g := range guards {
		d.note(what+" if", g.Key, g.Version)
	}
	for _, o := range ops {
		d.note(what+" then", o.Put, o.Delete, o.Lease, d.plain(o.Value))
	}
}

// read decodes a record.
func read[T any](d *driver, key string) (v T) {
	d.t.Helper()
	if err := wire.Unmarshal(d.store[key].raw, &v); err != nil {
		d.t.Fatalf("%s: %v", key, err)
	}
	return v
}

// The leader.

// lead makes the next leader's model from the records, as a node does.
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

// learn is the leader's watch: it takes in what has changed.
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

// play is a step of everything.
func (d *driver) play() {
	d.events()
	d.learn()
	for _, w := range d.workers {
		d.report(w)
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

// pass is a scheduling pass.
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

// put writes a record that leaders alone write.
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

// writeRecords writes what is to be written, as far as the share goes.
func (d *driver) writeRecords() {
	now := d.now()
	for range 1 + d.rnd.IntN(4) {
		d.m.SetCompletionTime(now)
		most := 4 + d.rnd.IntN(9)
		if d.careful || d.told != d.plan.HeadVersion {
			// Where several jobs end with a batch that fails, a map says in which order
			// they are written next. With three changes at most one job ends.
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

// metOps counts what a batch is of, and returns how many jobs it ends.
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

// settle is for a batch whose conditions failed.
func (d *driver) settle(b *WriteBatch, failed []string) {
	for _, key := range failed {
		switch {
		case key == jobstore.PlanHeadKey:
			d.m.DropHeldStops()
			d.takePlan()
		case !b.IsJobKey(key):
			d.m.ResolveConflict(b, key, d.store[key].version)
		}
	}
	d.learn()
	d.m.RequeueBatch(b)
}

// compare has the plan compared for stops that wait for that.
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

// fetchWeights records the fetches of pools' weights.
func (d *driver) fetchWeights() {
	for _, f := range d.m.NextPrefetches(4, d.now()) {
		d.met["fetch"]++
		guards := []wire.Guard{d.m.PlanGuard(), {Key: jobstore.JobKey(f.ID)}, {Key: jobstore.FinalKey(f.ID)}}
		ops := []wire.Op{{Put: jobstore.JobKey(f.ID), Value: f.Record}}
		d.noteTxn("fetch", guards, ops)
		d.commit(guards, ops)
	}
}

// direct sends what goes to workers' own addresses.
func (d *driver) direct() {
	now := d.now()
	stops := d.m.StopPushes(now)
	// Several machines' stops come in the order of a map where a job's tasks are stopped.
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
	if w == nil || w.dead || w.gone || w.session != s.Commands.Session || s.Commands.Token < w.token || d.chance(30) {
		return
	}
	d.execute(w, s.Commands.Commands)
}

// explain has the views for operators count.
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

// The cloud.

func (d *driver) addMachine(zone, typ string, spot bool, boots float64) *simWorker {
	d.named++
	w := &simWorker{name: fmt.Sprintf("host-%06d", d.named), zone: zone, typ: typ, spot: spot, boots: boots, session: 1, renewed: boots, images: map[string]bool{}}
	d.workers = append(d.workers, w)
	d.byName[w.name] = w
	return w
}

func (d *driver) there() (n int) {
	for _, w := range d.workers {
		if !w.gone {
			n++
		}
	}
	return n
}

// rent asks for machines, as a leader does.
func (d *driver) rent(wants map[Offer]int) {
	offers := slices.Collect(maps.Keys(wants))
	slices.SortFunc(offers, func(a, b Offer) int {
		return strings.Compare(fmt.Sprint(a.Type, a.Zone, a.Spot), fmt.Sprint(b.Type, b.Zone, b.Spot))
	})
	for _, o := range offers {
		d.bons++
		d.met["rental"]++
		rec := jobstore.ScaleOutRecord{Type: o.Type, Zone: o.Zone, Spot: o.Spot, Count: wants[o], AtMs: d.now().UnixMilli()}
		key := fmt.Sprintf("%sr-%d", jobstore.ScaleOutPrefix, d.bons)
		guards := []wire.Guard{d.m.PlanGuard(), {Key: key}}
		ops := []wire.Op{{Put: key, Value: rec}}
		d.noteTxn("rental", guards, ops)
		if d.commit(guards, ops) != nil {
			continue
		}
		count := min(wants[o], max(0, 26-d.there()))
		if d.chance(20) {
			count = 0
		}
		var names []string
		for range count {
			boots := d.seconds() + d.between(10, 40)
			if d.chance(10) {
				boots = 1e9 // it never comes up
			}
			names = append(names, d.addMachine(o.Zone, o.Type, o.Spot, boots).name)
		}
		d.met["machine rented"] += count
		if count < wants[o] {
			d.met["refused rental"]++
			d.m.OfferRefused(o, d.now())
		}
		d.m.ScaledOut(o, names, d.now())
		rec.Machines = names
		d.write(wire.Op{Put: key, Value: rec})
	}
}

// runCloud returns machines and reads the cloud's list.
func (d *driver) runCloud() {
	now := d.now()
	back := d.m.SelectScaleIn(now, 25*time.Second)
	d.note("returnable", back)
	if len(back) > 0 {
		d.met["return"]++
		if d.put(jobstore.ScaleInKey, jobstore.ScaleInRecord{Machines: back}) && !d.chance(20) {
			for _, name := range back {
				d.met["machine returned"]++
				if w := d.byName[name]; w != nil {
					w.gone, w.tasks = true, nil
				}
				d.m.MachineGone(name, now)
			}
		}
	}
	var list []wire.ListedMachine
	for _, w := range d.workers {
		if w.gone {
			continue
		}
		l := wire.ListedMachine{Name: w.name, Addr: w.name + ":90", Type: w.typ, Zone: w.zone, Spot: w.spot, State: wire.MachineRunning, AgeS: d.seconds()}
		if d.seconds() < w.boots {
			l.State = wire.MachineBooting
		} else if w.dead && w.backAt == 0 {
			l.State = wire.MachineFailed
		}
		list = append(list, l)
	}
	d.m.ApplyCloudList(list, now)
}

// Workers.

// report is a worker's report and its answer.
func (d *driver) report(w *simWorker) {
	now := d.seconds()
	if w.gone || now < w.boots {
		return
	}
	if w.notice > 0 && now >= w.notice {
		d.met["machine lost"]++
		w.gone, w.tasks = true, nil
		return
	}
	if w.dead {
		if w.backAt > 0 && now >= w.backAt {
			w.dead, w.backAt, w.deafTo, w.renewed = false, 0, 0, now
			w.session++
			w.seq, w.tasks = 0, nil
			clear(w.images)
		}
		return
	}
	if now-w.renewed >= d.cfg.Cluster.Workers.LeaseS {
		d.met["lease expiry"]++
		w.session++
		w.seq, w.tasks, w.renewed = 0, nil, now
	}
	d.run(w)
	w.seq++
	r := &wire.Report{Machine: w.name, Addr: w.name + ":90", Type: w.typ, Zone: w.zone, Spot: w.spot, Session: w.session, Seq: w.seq, Token: w.token}
	for _, t := range w.tasks {
		r.Tasks = append(r.Tasks, t.TaskReport)
	}
	if w.notice > 0 {
		left := w.notice - now
		r.NoticeS = &left
	}
	stale := w.last
	w.last = r
	if d.chance(3) {
		return // the report is lost
	}
	cmds, ok := d.handle(w, r)
	if stale != nil && d.chance(3) {
		d.met["stale report"]++
		d.handle(w, stale)
	}
	if d.chance(3) {
		d.met["repeated report"]++
		d.handle(w, r)
	}
	if !ok || now < w.deafTo || d.chance(3) {
		return
	}
	w.token, w.renewed = d.m.FencingToken, now
	d.execute(w, cmds)
}

// handle gives a report to the leader, as a node does.
func (d *driver) handle(w *simWorker, r *wire.Report) ([]wire.Command, bool) {
	now, via := d.now(), []string{"n-1", "n-2"}[d.rnd.IntN(2)]
	if d.chance(80) {
		via = "n-1"
	}
	news := d.m.IsNewerHeartbeat(r.Machine, r.Session, r.Seq)
	mc := d.m.ApplyHeartbeat(r, now)
	var cmds []wire.Command
	how := "answer"
	if mc == nil {
		var ok bool
		if cmds, ok = d.m.AnswerRetry(r, via); !ok {
			d.note("refused", w.name, news)
			return nil, false
		}
		how = "repeated"
	} else {
		d.m.RecordReceivingNode(mc, via, now)
		cmds = d.m.AnswerHeartbeat(mc, r, now)
	}
	// What a machine's tasks are told comes in the order of a map: of several of one
	// kind, which follow each other, it is that of their names here.
	sortKinds(cmds)
	d.note(how, w.name, news, d.plain(cmds))
	return cmds, true
}

func sortKinds(cmds []wire.Command) {
	for lo := 0; lo < len(cmds); {
		hi := lo + 1
		for hi < len(cmds) && cmds[hi].Op == cmds[lo].Op {
			hi++
		}
		slices.SortStableFunc(cmds[lo:hi], func(a, b wire.Command) int { return strings.Compare(a.Task, b.Task) })
		lo = hi
	}
}

// execute is what a worker does with commands.
func (d *driver) execute(w *simWorker, cmds []wire.Command) {
	for _, c := range cmds {
		i := slices.IndexFunc(w.tasks, func(t *simTask) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
		switch c.Op {
		case wire.OpStart:
			if i < 0 {
				d.met["launch"]++
				w.tasks = append(w.tasks, d.launch(w, c))
			}
		case wire.OpStop:
			d.met["stop"]++
			if i >= 0 && w.tasks[i].State != wire.TaskExited {
				d.stop(w.tasks[i], c)
			}
		case wire.OpForget:
			d.met["forget"]++
			if i >= 0 && w.tasks[i].State == wire.TaskExited {
				w.tasks = slices.Delete(w.tasks, i, i+1)
			}
		}
	}
}

func (d *driver) launch(w *simWorker, c wire.Command) *simTask {
	t := &simTask{TaskReport: wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}}
	id, n, _ := wire.ParseTaskName(c.Task)
	j := d.m.Job(id)
	if j == nil || n >= len(j.Tasks) {
		t.State, t.Why = wire.TaskExited, wire.ExitUnknown
		return t
	}
	t.image = j.Spec.Image
	t.until = d.seconds()
	if !w.images[t.image] {
		t.until += j.Spec.ImageGB
	}
	if d.chance(5) {
		d.met["start refused"]++
		t.refuse = []string{wire.ExitNoRoom, wire.ExitBusy, wire.ExitError, wire.ExitUnknown}[d.rnd.IntN(4)]
	}
	if j.Gang() {
		d.met["gang"]++
	}
	if _, long := jobstore.ParseJobKey(jobstore.JobKey(id)); long && !wire.ValidUserID(id) {
		d.met["reserved task"]++
	}
	return t
}

func (d *driver) stop(t *simTask, c wire.Command) {
	id, _, _ := wire.ParseTaskName(t.Task)
	if j := d.m.Job(id); c.GraceS != nil && *c.GraceS > 0 && t.State == wire.TaskRunning && j != nil && j.Spec.CheckpointS > 0 {
		t.State, t.until = wire.TaskSaving, d.seconds()+min(*c.GraceS, j.Spec.SaveS)
		return
	}
	t.State, t.Why = wire.TaskExited, wire.ExitStopped
}

// run lets a worker's tasks go on.
func (d *driver) run(w *simWorker) {
	now := d.seconds()
	for _, t := range w.tasks {
		if now < t.until || t.State == wire.TaskExited {
			continue
		}
		id, _, _ := wire.ParseTaskName(t.Task)
		j := d.m.Job(id)
		switch t.State {
		case wire.TaskFetching:
			w.images[t.image] = true
			switch {
			case t.refuse != "":
				t.State, t.Why = wire.TaskExited, t.refuse
			case j != nil && j.Gang():
				t.State, t.until = wire.TaskWaiting, now
				d.gather(j, t, now)
			default:
				t.State, t.until = wire.TaskRunning, now+d.lasts[id]
			}
		case wire.TaskWaiting:
			if j == nil || now-t.until > d.cfg.Cluster.Workers.GangWaitS {
				t.State, t.Why = wire.TaskExited, wire.ExitAlone
			}
		case wire.TaskRunning:
			t.State, t.Why = wire.TaskExited, wire.ExitDone
		case wire.TaskSaving:
			t.State, t.Why, t.Saved = wire.TaskExited, wire.ExitStopped, true
		}
	}
}

// gather starts a gang once all its tasks wait.
func (d *driver) gather(j *Job, t *simTask, now float64) {
	var all []*simTask
	for _, w := range d.workers {
		for _, o := range w.tasks {
			if id, _, _ := wire.ParseTaskName(o.Task); id == j.ID && o.Attempt == t.Attempt && o.State == wire.TaskWaiting {
				all = append(all, o)
			}
		}
	}
	if len(all) < len(j.Tasks) {
		return
	}
	for _, o := range all {
		o.State, o.until = wire.TaskRunning, now+d.lasts[j.ID]
	}
}

// What happens.

// events lets users, operators and accidents happen.
func (d *driver) events() {
	if d.step < decisionSteps*4/5 {
		for d.chance(35) {
			d.submit()
		}
	}
	if len(d.jobs) > 0 && d.chance(5) {
		i := d.rnd.IntN(len(d.jobs))
		d.cancel(d.jobs[i])
		d.jobs = slices.Delete(d.jobs, i, i+1)
	}
	if d.step%60 == 20 {
		d.setPlan()
	}
	if d.step%97 == 96 {
		d.met["failover"]++
		d.lead()
	}
	d.accident()
}

func (d *driver) accident() {
	w := d.workers[d.rnd.IntN(len(d.workers))]
	if w.gone || w.dead || d.seconds() < w.boots || !d.chance(12) {
		return
	}
	switch d.rnd.IntN(4) {
	case 0:
		w.dead = true
		if d.chance(75) {
			w.backAt = d.seconds() + d.between(5, 40)
		}
	case 1, 2:
		d.met["mute"]++
		w.deafTo = d.seconds() + d.between(5, 25)
	case 3:
		if w.spot {
			d.met["interruption"]++
			w.notice = d.seconds() + d.between(15, 30)
		}
	}
}

// submit has a user submit a job: under a key of its own, or on a page that jobs
// share.
func (d *driver) submit() {
	d.nextJob++
	j := wire.Job{ID: fmt.Sprintf("wk-%06d", d.nextJob), Class: []string{"arrays", "gangs", "chat", "other"}[d.rnd.IntN(4)], Team: []string{"core", "core", "edge"}[d.rnd.IntN(3)],
		Kind: wire.KindArray, Priority: []string{wire.PriorityProduction, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityNormal, wire.PriorityLow}[d.rnd.IntN(5)],
		Tasks: 1 + d.rnd.IntN(6), CPUs: d.between(1, 6), MemoryGB: d.between(1, 8), Image: fmt.Sprint("i", d.rnd.IntN(6)), ImageGB: d.between(1, 5),
		EstimateS: d.between(10, 80), CheckpointS: 10, SaveS: 2, Spot: d.chance(60), OneZone: d.chance(15)}
	switch {
	case j.Class == "gangs":
		j.Kind, j.Tasks = wire.KindGang, 2+d.rnd.IntN(4)
	case j.Class == "chat":
		j.Kind, j.Image, j.ImageGB, j.Tasks, j.EstimateS, j.Priority = wire.KindService, "llm:v1", 8, 1+d.rnd.IntN(4), 0, wire.PriorityHigh
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
	d.lasts[j.ID] = j.EstimateS * (0.5 + d.rnd.Float64())
	if j.Kind == wire.KindService {
		d.lasts[j.ID] = 1e9
	}
	rec := jobstore.JobRecord{Job: j, AcceptedAtMs: d.now().UnixMilli()}
	if d.chance(50) {
		d.write(wire.Op{Put: jobstore.JobKey(j.ID), Value: rec})
		return
	}
	d.addToHead(rec)
}

func (d *driver) addToHead(rec jobstore.JobRecord) {
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

// cancel has a user cancel a job, unless it is over.
func (d *driver) cancel(id string) {
	d.met["cancellation"]++
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

// cancelOneOf has a user cancel a job that a batch is about, so that it fails.
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

// setPlan has operators apply the next version of a plan: a night for arrays that ends
// after six minutes, tiers whose order changes, and a pool whose size does.
func (d *driver) setPlan() {
	d.met["plan"]++
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
	if err := p.Check(d.cfg.Cluster.Zones, []string{"core", "edge"}); err != nil {
		d.t.Fatal(err)
	}
	d.write(wire.Op{Put: jobstore.PlanHeadKey, Value: d.plans})
	d.plan = Plan{Plan: p, Number: d.plans, HeadVersion: d.rev}
	if d.chance(70) { // else the leader learns of it by a condition that fails
		d.m.ExpectPlan()
		d.takePlan()
	}
}

// takePlan has the leader decide by the newest plan.
func (d *driver) takePlan() {
	d.told = d.plan.HeadVersion
	d.m.SetPlan(d.plan, d.now())
}
