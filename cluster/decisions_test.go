package cluster

import (
	"bytes"
	"flag"
	"fmt"
	"hash"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This test simulates some minutes of a busy cluster with a seed and a fixed clock, and
// compares all outputs of the model with recorded hashes: commands, transactions, scaling
// out and in, rebalancing moves and explanations. The workers, the cloud and the key-value
// store are simulated here, and depend on nothing but the seed.

var traceDir = flag.String("decisions", "", "directory to write each seed's decisions to, to see where two versions part")

const (
	decisionSeeds = 6
	decisionSteps = 420
	decisionStepS = 1.5
	// decisionMark is the number of steps after which the hash so far is recorded.
	decisionMark = 20
)

// A change that is not meant to change any decision must leave every hash as it is. If one
// differs, run this test on both versions with -decisions and compare the files.
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

// storedValue is a value of the key-value store.
type storedValue struct {
	raw     wire.Raw
	version uint64
}

// driver is a simulated cluster, its key-value store and the leader's model.
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

// simWorker is a simulated worker.
type simWorker struct {
	name, zone, typ string
	spot            bool
	boots           float64 // it sends heartbeats from then on
	epoch, seq      uint64
	token           uint64
	renewed         float64 // when its last answered heartbeat was sent
	dead            bool
	gone            bool
	deafTo          float64 // it hears no answers until then
	backAt          float64 // a dead worker begins another epoch then; 0: never
	notice          float64 // when the cloud takes it, 0: never
	images          map[string]bool
	tasks           []*simTask
	last            *wire.Heartbeat // its last heartbeat
}

type simTask struct {
	wire.TaskStatus
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
		Workers:    config.Workers{HeartbeatS: 1.5, LeaseS: 12, GangWaitS: 30, GangPeerS: 6, CancelS: 32},
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

// note adds a decision to the hash.
func (d *driver) note(what string, values ...any) {
	fmt.Fprintf(d.out, "%d %s %v\n", d.step, what, values)
}

// plain converts a value to its encoded form, with the keys of maps in order.
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

// The key-value store.

// commit applies a transaction if its conditions hold, and returns the keys of those that
// do not.
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

// noteTxn adds a transaction to the hash.
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
