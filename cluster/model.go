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

	loaded bool // an earlier leader's records

	resumed time.Time     // when the leader last went on after standing still
	stood   time.Duration // for how long it had stood

	cfg        *config.Settings
	log        *slog.Logger
	drift      float64
	teams      []placement.Team
	guarantee  []placement.Res
	zoneIdx    map[string]int
	teamIdx    map[string]int
	typeIdx    map[string]int
	machineIdx map[string]int32
	jobIdx     map[string]int32
	imageIdx   map[string]int32
	imageSize  []float64
	live       []int32 // jobs that may be in the model
	dirty      []int32 // jobs that may be done, or out of the model
	pages      []*page
	intakes    map[string]*intake
	unreadable map[string]bool // jobs whose records can't be read
	lostIntake bool            // a page of jobs can't be read
	damaged    uint64          // the newest version of a page that can't be read
	quiet      time.Time       // nothing is placed before
	nextPage   int             // where writing goes on
	longest    int             // of the machines' names
	stops      []TaskRef       // tasks to be told directly
	fresh      []TaskRef       // tasks placed, whose machines have not been summoned
	refused    map[offerKey]time.Time
	plan       Plan
	planned    bool       // there may be a plan
	held       []heldStop // until the plan is compared
	nights     nights
	notes      notes
	pools      []*pool
	poolsAt    time.Time // not before then the pools' next step
	fetchNo    int       // of the last fetch of a pool's weights
	classes    map[string]*class
	tiers      tiers

	// Reused from pass to pass.
	viewBuf  []placement.Machine
	taskBuf  []placement.Occupant
	imageBuf []placement.ImageAt
	refBuf   []TaskRef
	playBuf  times
	triageAt time.Time // not before then again
	boundAt  time.Time
	nameAt   time.Time
	done     map[string]int // of late, by group
}

type offerKey struct {
	typ, zone int
	spot      bool
}

// New makes an empty model.
func New(cfg *config.Settings, token uint64, now time.Time, log *slog.Logger) *Model {
	m := &Model{
		FencingToken: token, ElectedAt: now, Zones: cfg.Cluster.Zones, cfg: cfg, log: log, drift: config.Drift,
		zoneIdx: map[string]int{}, teamIdx: map[string]int{}, typeIdx: map[string]int{},
		machineIdx: map[string]int32{}, jobIdx: map[string]int32{}, imageIdx: map[string]int32{},
		refused: map[offerKey]time.Time{}, RebalanceCycles: map[string]*RebalanceCycle{}, classes: map[string]*class{}, done: map[string]int{}, intakes: map[string]*intake{},
		Observer: noObserver{},
	}
	for i, z := range cfg.Cluster.Zones {
		m.zoneIdx[z] = i
	}
	for i, t := range cfg.Cluster.Teams {
		m.teamIdx[t.Name] = i
		m.teams = append(m.teams, placement.Team{Max: placement.Res{CPU: t.CPUsMax, GPU: t.GPUsMax}})
		m.guarantee = append(m.guarantee, placement.Res{CPU: t.CPUs, GPU: t.GPUs})
	}
	return m
}
