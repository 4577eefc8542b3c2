// Package cluster is the leader's model of jobs, tasks and machines: a pure state
// machine. Heartbeats, changes of stored records, the cloud's list and the time come in;
// commands to workers, transactions for the key-value store and scaling decisions go out.
// It does no input or output, starts no goroutine and never reads a clock.
//
// Package controller owns the one Model of a leadership and calls it from one goroutine at
// a time; package modelcheck drives it step by step. A Model lives as long as its fencing
// token: a new leader makes a new one and loads it from the store.
//
// What it guarantees: a task is launched only after its placement is committed; a task never
// gets the same attempt number twice, except that a gang's task which is replaced before the
// gang has started keeps that of the gang; a task that may have been launched counts as gone
// only on proof, which is a newer heartbeat (reconcile), an expired lease (Tick) or a deleted
// machine (MachineGone); quotas count every task that may still be on a machine. It never
// applies a heartbeat that is older than the last one applied, and never takes the cloud's
// list as proof about tasks.
//
// Jobs and machines are addressed by dense indices, which are never reused.
package cluster

import (
	"log/slog"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

// TaskRef identifies a task by the index of its job and its number within the job.
type TaskRef = placement.Task

// Model is the state of one leader for one leadership. Each concern that has state of its
// own is a type in a file of its own; Model ties them together. It is not safe for
// concurrent use.
type Model struct {
	FencingToken uint64
	ElectedAt    time.Time

	Machines     []*Machine
	Jobs         []*Job // nil once a job is out of the model
	MachineTypes []MachineType
	Zones        []string
	names        nameIndex
	openIndexes  []int32 // jobs that may be in the model
	teams        []placement.Team
	guarantees   []placement.Resources // by team
	images       imageCatalog

	// Settings.
	settings          *config.Settings
	RebalanceSettings config.Rebalance
	Headroom          float64
	// StarvationBound is how long a job may wait from its acceptance to its start; 0 means
	// that there is no such bound.
	StarvationBound time.Duration
	clockDrift      float64

	// What goes out, besides the answers to heartbeats.
	writes         writeBehind
	directCommands directCommandQueue
	heldStops      heldStops // until the plan is confirmed
	Observer       Observer
	log            *slog.Logger

	// The operators' plan, and its parts.
	plan         Plan
	planExpected bool // there may be a plan
	planRecords  planRecords
	tiers        priorityTiers
	windows      batchWindows
	pools        warmPools

	// What scheduling passes rest on.
	classes         classRegistry
	triage          triageState
	starvation      starvationBound
	RebalanceCycles map[string]*RebalanceCycle
	refusedOffers   offerRefusals
	PlacesFreed     uint64 // counts placements removed, each of which frees resources
	buffers         passBuffers

	// Loading and recovery.
	loadFinished bool // the records of earlier leaders are loaded
	quarantine   quarantine
	stall        stallRecovery
}

// New makes an empty model for the leadership with the given fencing token.
func New(cfg *config.Settings, token uint64, now time.Time, log *slog.Logger) *Model {
	m := &Model{
		FencingToken: token, ElectedAt: now, Zones: cfg.Cluster.Zones, settings: cfg, log: log, clockDrift: config.ClockDrift,
		names: newNameIndex(), images: newImageCatalog(), writes: newWriteBehind(writeLimits{&cfg.Cluster.State}),
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
