// Package cluster is the leader's model of jobs and machines, on dense
// indices. It does no input or output: reports, changes of records and the
// time come in, commands and transactions go out.
package cluster

import (
	"log/slog"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

// TaskRef names a task by indices.
type TaskRef = placement.Task

// Model is the leader's knowledge.
type Model struct {
	FencingToken      uint64
	ElectedAt         time.Time
	Machines          []*Machine
	Jobs              []*Job // nil once a job is out of the model
	MachineTypes      []MachineType
	Zones             []string
	RebalanceCycles   map[string]*RebalanceCycle
	RebalanceSettings config.Rebalance
	Headroom          float64
	// StarvationBound is how soon after its acceptance a job begins at the latest; 0:
	// there is no such bound.
	StarvationBound time.Duration
	PlacesFreed     uint64 // counts the places that have become free
	Observer        Observer

	loadFinished bool // an earlier leader's records

	stallEnded  time.Time     // when the leader last went on after standing still
	stallLasted time.Duration // for how long it had stood

	settings             *config.Settings
	log                  *slog.Logger
	clockDrift           float64
	teams                []placement.Team
	guarantees           []placement.Res
	zoneIndex            map[string]int
	teamIndex            map[string]int
	typeIndex            map[string]int
	machineIndex         map[string]int32
	jobIndex             map[string]int32
	imageIndex           map[string]int32
	imageSize            []float64
	openIndexes          []int32 // jobs that may be in the model
	dirtyJobs            []int32 // jobs that may be done, or out of the model
	pages                []*placementPage
	admissionPages       map[string]*admissionPage
	unreadableJobs       map[string]bool // jobs whose records can't be read
	admissionPageLost    bool            // a page of jobs can't be read
	newestUnreadablePage uint64          // the newest version of a page that can't be read
	placingPausedUntil   time.Time       // nothing is placed before
	nextPageToWrite      int             // where writing goes on
	longestMachineName   int             // of the machines' names
	unpushedStops        []TaskRef       // tasks to be told directly
	awaitingLaunch       []TaskRef       // tasks placed, whose machines have not been summoned
	refusedOffers        map[offerKey]time.Time
	plan                 Plan
	planExpected         bool       // there may be a plan
	heldStops            []heldStop // until the plan is compared
	windows              batchWindows
	planRecords          planRecords
	pools                warmPools
	starvation           starvationBound
	triage               triageState
	classes              map[string]*classStats
	tiers                priorityTiers

	// Reused from pass to pass.
	machineBuffer  []placement.Machine
	occupantBuffer []placement.Occupant
	imageBuffer    []placement.ImageAt
	refBuffer      []TaskRef
}

type offerKey struct {
	machineType, zone int
	spot              bool
}

// New makes an empty model.
func New(cfg *config.Settings, token uint64, now time.Time, log *slog.Logger) *Model {
	m := &Model{
		FencingToken: token, ElectedAt: now, Zones: cfg.Cluster.Zones, settings: cfg, log: log, clockDrift: config.Drift,
		zoneIndex: map[string]int{}, teamIndex: map[string]int{}, typeIndex: map[string]int{},
		machineIndex: map[string]int32{}, jobIndex: map[string]int32{}, imageIndex: map[string]int32{},
		refusedOffers: map[offerKey]time.Time{}, RebalanceCycles: map[string]*RebalanceCycle{}, classes: map[string]*classStats{}, admissionPages: map[string]*admissionPage{},
		Observer: noObserver{},
	}
	for i, z := range cfg.Cluster.Zones {
		m.zoneIndex[z] = i
	}
	for i, t := range cfg.Cluster.Teams {
		m.teamIndex[t.Name] = i
		m.teams = append(m.teams, placement.Team{Max: placement.Res{CPU: t.CPUsMax, GPU: t.GPUsMax}})
		m.guarantees = append(m.guarantees, placement.Res{CPU: t.CPUs, GPU: t.GPUs})
	}
	return m
}
