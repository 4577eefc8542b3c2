// Simulates a busy cluster for some minutes with a seed and a fixed clock, and compares all outputs
// of the model with recorded hashes: commands, transactions, scaling out and in, rebalancing moves
// and explanations. The workers, the cloud and the key-value store are simulated, and depend only on
// the seed. decisions_events_test.go holds the events, decisions_fleet_test.go the cloud and the
// workers, and decisions_leader_test.go the leader.

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

var traceDir = flag.String("decisions", "", "directory for each seed's decisions, to find where two versions differ")

const (
	decisionSeeds = 6
	decisionSteps = 420
	decisionStepS = 1.5
	decisionMark  = 20 // number of steps between two recorded hashes
)

// Guards against unintended changes of decisions: every hash must stay as it is. If a hash differs,
// run this test on both versions with -decisions and compare the files.
func TestDecisionsAreTheRecordedOnes(t *testing.T) {
	f := golden.Open(t, "decisions.golden")
	eventCounts := map[string]int{}
	for seed := range uint64(decisionSeeds) {
		d := newDriver(t, seed)
		for d.step = 1; d.step <= decisionSteps; d.step++ {
			d.runStep()
			if d.step%decisionMark == 0 {
				f.Text(fmt.Sprintf("seed %d, %03d steps", seed, d.step), fmt.Sprintf("%016x", d.sum.Sum64()))
			}
		}
		d.close()
		for event, n := range d.eventCounts {
			eventCounts[event] += n
		}
	}
	t.Log(eventCounts)
	for _, event := range []string{"launch", "stop", "forget", "direct stop", "wake-up", "rental", "refused rental", "machine rented", "scale-in", "machine returned",
		"rebalancing move", "job ended", "cancellation", "conflict", "answer lost", "placement page", "plan", "failover", "prefetch", "plan record", "plan record pools/", "plan record night.",
		"plan record order", "batch window outcome", "held stop", "repeated heartbeat", "stale heartbeat", "lease expiry", "machine lost", "interruption", "worker misses answers", "start refused",
		"reserved task", "gang", "admission page", "batch refused"} {
		if eventCounts[event] == 0 {
			t.Errorf("event %q: got none with any seed, want at least one, since the hashes do not cover it otherwise", event)
		}
	}
}

// storedValue is a value of the key-value store and its version.
type storedValue struct {
	raw     wire.Raw
	version uint64
}

// driver is a simulated cluster, its key-value store and the leader's model.
type driver struct {
	t           *testing.T
	rng         *rand.Rand
	decisions   io.Writer // receives the decisions
	sum         hash.Hash64
	trace       *os.File       // nil without -decisions
	eventCounts map[string]int // by event

	settings         *config.Settings
	model            *Model
	plan             Plan
	plans            int    // number of plans so far
	knownPlanVersion uint64 // version of the plan that the leader follows
	step             int
	revision         uint64 // of the key-value store
	store            map[string]storedValue
	watchEvents      []wire.Event       // changes that the leader has not seen yet
	jobs             []string           // jobs that users have submitted and not cancelled
	taskSeconds      map[string]float64 // run time of each task, by job
	nextJob          int
	scaleOutRecords  int
	smallBatches     bool // limits batches to three changes after a failed or unanswered one; see writeRecords

	workers         []*simWorker
	byName          map[string]*simWorker
	machinesCreated int
}

// simWorker is a simulated worker.
type simWorker struct {
	name, zone, typ string
	spot            bool
	readyAt         float64 // it sends heartbeats from this time on
	epoch, seq      uint64
	token           uint64
	leaseRenewedAt  float64 // when its last answered heartbeat was sent
	dead            bool    // its process has ended
	gone            bool    // its machine has left the cloud
	deafUntil       float64 // it receives no answers until this time
	restartAt       float64 // when a dead worker starts a new epoch; 0 if it does not
	interruptedAt   float64 // when the cloud reclaims the machine; 0 if it does not
	images          map[string]bool
	tasks           []*simTask
	lastHeartbeat   *wire.Heartbeat
}

// simTask is a task on a simulated worker.
type simTask struct {
	wire.TaskStatus
	image      string
	until      float64 // end of its current state
	exitReason string  // if not "", the task exits for this reason instead of running
}

// newDriver returns a cluster of 14 machines with an elected leader. With odd seeds its store holds
// the schema record of plans, which makes the leader hold stops until its plan is confirmed.
func newDriver(t *testing.T, seed uint64) *driver {
	t.Helper()
	d := &driver{t: t, rng: rand.New(rand.NewPCG(seed, 7)), sum: xxhash.New(), eventCounts: map[string]int{}, store: map[string]storedValue{},
		taskSeconds: map[string]float64{}, byName: map[string]*simWorker{}}
	d.decisions = d.sum
	if *traceDir != "" {
		var err error
		if d.trace, err = os.Create(filepath.Join(*traceDir, fmt.Sprintf("seed-%d.txt", seed))); err != nil {
			t.Fatal(err)
		}
		d.decisions = io.MultiWriter(d.sum, d.trace)
	}
	d.settings = &config.Settings{Cluster: config.Cluster{Zones: []string{"a", "b"},
		Teams:      []config.Team{{Name: "core", CPUs: 40, CPUsMax: 110, GPUs: 4}, {Name: "edge"}},
		Objectives: []config.Objective{{Kind: "wait", Class: "gangs", WithinS: 50}, {Kind: "finished", Class: "gangs", WithinS: 300}, {Kind: "deadline", Class: "arrays", Times: 1}},
		Workers:    config.Workers{HeartbeatS: 1.5, LeaseS: 12, GangWaitS: 30, GangPeerS: 6, CancelS: 32},
		Cloud:      config.CloudLimits{RPS: 4, ListLagS: 5}}}
	for i := range 14 {
		d.addMachine([]string{"a", "b"}[i%2], []string{"m", "m", "l"}[i%3], i%5 == 0, 0)
	}
	d.revision = 10
	if seed%2 == 1 {
		d.write(wire.Op{Put: jobstore.SchemaKey, Value: jobstore.SchemaRecord{Version: jobstore.SchemaPlans, Buckets: 1}})
	}
	d.startLeader()
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
func (d *driver) chance(percent int) bool  { return d.rng.IntN(100) < percent }
func (d *driver) between(a, b int) float64 { return float64(a + d.rng.IntN(b-a)) }

// recordDecision adds a decision to the hash.
func (d *driver) recordDecision(what string, values ...any) {
	fmt.Fprintf(d.decisions, "%d %s %v\n", d.step, what, values)
}

// decoded encodes a value and decodes it into basic types, which are printed with the keys of maps
// in order.
func (d *driver) decoded(v any) any {
	raw, err := wire.Marshal(v)
	if err != nil {
		d.t.Fatal(err)
	}
	return d.decodedRaw(raw)
}

func (d *driver) decodedRaw(raw []byte) any {
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

// commit applies a transaction if its conditions hold. It returns the keys of the conditions that
// do not hold.
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

// write applies changes to the store as one revision, and queues them for the leader's watch.
func (d *driver) write(ops ...wire.Op) {
	d.revision++
	for _, o := range ops {
		if o.Delete != "" {
			delete(d.store, o.Delete)
			d.watchEvents = append(d.watchEvents, wire.Event{Delete: o.Delete, Version: d.revision})
			continue
		}
		raw, err := wire.Marshal(o.Value)
		if err != nil {
			d.t.Fatal(err)
		}
		d.store[o.Put] = storedValue{raw, d.revision}
		d.watchEvents = append(d.watchEvents, wire.Event{Put: o.Put, Value: raw, Version: d.revision})
	}
}

// recordTransaction adds a transaction to the hash.
func (d *driver) recordTransaction(what string, guards []wire.Guard, ops []wire.Op) {
	for _, g := range guards {
		d.recordDecision(what+" if", g.Key, g.Version)
	}
	for _, o := range ops {
		d.recordDecision(what+" then", o.Put, o.Delete, o.Lease, d.decoded(o.Value))
	}
}

// read returns the decoded record of a key.
func read[T any](d *driver, key string) (v T) {
	d.t.Helper()
	if err := wire.Unmarshal(d.store[key].raw, &v); err != nil {
		d.t.Fatalf("%s: %v", key, err)
	}
	return v
}
