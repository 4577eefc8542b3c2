// Package cluster implements the leader's model of jobs, tasks and machines as a
// deterministic state machine. Its inputs are heartbeats, changes of stored records, the
// cloud's machine list and the current time. Its outputs are commands to workers,
// transactions for the key-value store and scaling decisions. The package does no I/O,
// starts no goroutine and never reads a clock.
//
// Package controller owns one Model per leadership and calls it from one goroutine at a
// time. Package modelcheck drives a Model step by step. A Model lives as long as its fencing
// token. A new leader makes a new Model and loads it from the store.
//
// The model guarantees:
//   - A task is launched only after its placement is committed.
//   - A task never gets the same attempt number twice. The one exception is a gang that has
//     not started: a replacement of one of its tasks keeps the gang's attempt number.
//   - A task that may have been launched counts as gone only on proof: a newer heartbeat
//     (reconcile), an expired lease (Tick) or a deleted machine (ApplyMachineDeletion).
//   - Quotas count every task that may still be on a machine.
//   - A heartbeat that is older than the last one applied is never applied.
//   - The cloud's machine list is never proof about tasks.
//
// Jobs and machines are addressed by dense indices, which are never reused.
package cluster

import (
	"log/slog"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
)

// TaskRef identifies a task by the index of its job and its number within the job.
type TaskRef = placement.Task

// Model is the state of the cluster as one leader knows it during one leadership. Each part
// with state of its own is a type in a separate file, and Model combines these parts. It is
// not safe for concurrent use.
type Model struct {
	FencingToken uint64    // of the leadership
	ElectedAt    time.Time // begin of the leadership

	Machines     []*Machine // by Machine.index
	Jobs         []*Job     // by Job.Index; nil once the job is removed from the model
	MachineTypes []MachineType
	Zones        []string
	names        nameIndex
	openIndexes  []int32 // indices of the jobs that may still be in the model
	teams        []placement.Team
	guarantees   []placement.Resources // by team
	images       imageCatalog

	// Settings.
	settings          *config.Settings
	RebalanceSettings config.Rebalance
	// Headroom is the share of each class's open tasks for which resources are kept free.
	Headroom float64
	// StarvationBound is how long a job may wait from its acceptance to its start. 0 means
	// no bound.
	StarvationBound time.Duration
	clockDrift      float64 // config.ClockDrift

	// Outputs, apart from the answers to heartbeats.
	writes         writeBehind
	directCommands directCommandQueue
	heldStops      heldStops // stops that wait until the plan is confirmed
	Observer       Observer  // receives measurements; never nil
	log            *slog.Logger

	// The operators' plan and its parts.
	plan         Plan
	planExpected bool // a plan may exist in the store
	planRecords  planRecords
	tiers        priorityTiers
	windows      batchWindows
	pools        warmPools

	// State that scheduling passes use.
	classes           classRegistry
	triage            triageState
	starvation        starvationBound
	RebalanceCycles   map[string]*RebalanceCycle
	refusedOffers     offerRefusals
	PlacementsRemoved uint64 // number of placements removed so far; each one frees resources
	buffers           passBuffers

	// Loading and recovery.
	loadFinished bool // all records of earlier leaders are loaded
	quarantine   quarantine
	stall        stallRecovery
}

// New returns an empty model for the leadership that has the given fencing token and begins
// at now.
func New(cfg *config.Settings, token uint64, now time.Time, log *slog.Logger) *Model {
	m := &Model{
		FencingToken: token, ElectedAt: now, Zones: cfg.Cluster.Zones, settings: cfg, log: log, clockDrift: config.ClockDrift,
		names: newNameIndex(), images: newImageCatalog(), writes: newWriteBehind(writeLimits{jobstore.LimitsOf(cfg.Cluster.State)}),
		refusedOffers: newOfferRefusals(), RebalanceCycles: map[string]*RebalanceCycle{}, classes: newClassRegistry(),
		Observer: noObserver{},
	}
	for i, z := range cfg.Cluster.Zones {
		m.names.zones[z] = i
	}
	for i, t := range cfg.Cluster.Teams {
		m.names.teams[t.Name] = i
		m.teams = append(m.teams, placement.Team{Max: placement.Resources{CPU: t.CPUsMax, GPU: t.GPUsMax}})
		m.guarantees = append(m.guarantees, placement.Resources{CPU: t.CPUs, GPU: t.GPUs})
	}
	return m
}
