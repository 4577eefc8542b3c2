// The front end of one controller: its dependencies, its RPC server, and retries of transactions.

package yarn

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
)

// Store is the key-value store. The front end keeps its own records there.
type Store interface {
	// Get reads one key. If the key does not exist, the Version of the entry is 0.
	Get(ctx context.Context, key string) (nwire.Entry, error)
	// List returns all entries with a prefix and the revision of the read.
	List(ctx context.Context, prefix string) ([]nwire.Entry, uint64, error)
	// CompareAndSwap applies ops in one transaction if all guards hold, and returns its revision.
	// It fails with a kvstore.ConflictError if a guard does not hold, and with
	// kvstore.ErrOutcomeUnknown if the transaction may or may not have been committed.
	CompareAndSwap(ctx context.Context, guards []nwire.Guard, ops []nwire.Op) (uint64, error)
}

// JobStore is the part of jobstore.Store that the front end uses.
type JobStore interface {
	// OwnedJobs returns the record of an application and its unfinished jobs, as of one revision.
	OwnedJobs(ctx context.Context, owner string) (jobstore.AppRecord, []jobstore.ReservedJob, error)
	// FinishedReservation returns a finished job, or false if the job is not finished.
	FinishedReservation(ctx context.Context, id string) (jobstore.ReservedJob, bool, error)
	// ListApps returns all records with jobstore.AppPrefix.
	ListApps(ctx context.Context) ([]jobstore.AppRecord, error)
	// CachedApp returns a record as of the last read barrier, such as a call of OwnedJobs.
	CachedApp(key string) jobstore.AppRecord
	// Reserve commits a job and replaces the record of its owner by value in one transaction. It
	// returns the revision, and true without a commit if the id of the job was accepted before.
	Reserve(ctx context.Context, job nwire.Job, atMs int64, reservation jobstore.Reservation, owner jobstore.AppRecord, value any) (uint64, bool, error)
	// UpdateReservation changes the reservation of a job and applies more in one transaction.
	UpdateReservation(ctx context.Context, job *jobstore.ReservedJob, change func(*jobstore.Reservation), more ...nwire.Op) error
	// Cancel ends a job and returns its final state, or false if the id was never accepted.
	Cancel(ctx context.Context, id string) (string, bool, error)
}

// Controller is the controller to which the front end belongs.
type Controller interface {
	// CheckFeasible checks whether a job can ever run, by the rules for native jobs. It returns 0
	// and nil if it can, and otherwise the HTTP status and the error of the refusal.
	CheckFeasible(job *nwire.Job) (int, error)
	// MachineTypes returns the machine types of the cluster with their full sizes.
	MachineTypes() []nwire.MachineType
	// Machines returns all machines as the leader sees them.
	Machines(ctx context.Context) ([]Machine, error)
	// IsLeader reports whether this controller is the leader.
	IsLeader() bool
}

// Machine is a machine as the leader sees it. CPUs, GPUs and MemGB are the amounts in use.
type Machine struct {
	Name  string  `json:"name"`
	Type  string  `json:"type"`
	Zone  string  `json:"zone"`
	Spot  bool    `json:"spot"`
	Up    bool    `json:"up"`
	Tasks int     `json:"tasks"`
	CPUs  float64 `json:"cpus"`
	GPUs  float64 `json:"gpus"`
	MemGB float64 `json:"mem_gb"`
}

// StoreLimits are the limits of the key-value store.
type StoreLimits struct {
	TxnOps     int // maximum number of changes in one transaction
	ValueBytes int // maximum size of one value
}

// Frontend serves YARN's protocols at one controller. It is safe for concurrent use.
type Frontend struct {
	settings   *Settings
	store      Store
	jobs       JobStore
	controller Controller
	log        *slog.Logger
	limits     StoreLimits

	mu       sync.Mutex
	freeIDs  applicationIDs
	sessions map[string]*session // by application name
	keyring  keyringCache
}

// minTxnOps is the smallest TxnOps that a Frontend works with. Starting containers changes the
// record of a job and writes at least one launch context.
const minTxnOps = 3

// New returns a front end. It raises limits.TxnOps to minTxnOps if it is lower.
func New(settings *Settings, store Store, jobs JobStore, controller Controller, log *slog.Logger, limits StoreLimits) *Frontend {
	limits.TxnOps = max(limits.TxnOps, minTxnOps)
	return &Frontend{
		settings:   settings,
		store:      store,
		jobs:       jobs,
		controller: controller,
		log:        log,
		limits:     limits,
		sessions:   map[string]*session{},
	}
}

// Names of the protocols in Hadoop RPC.
const (
	protoApplicationClient   = "org.apache.hadoop.yarn.api.ApplicationClientProtocolPB"
	protoApplicationMaster   = "org.apache.hadoop.yarn.api.ApplicationMasterProtocolPB"
	protoContainerManagement = "org.apache.hadoop.yarn.api.ContainerManagementProtocolPB"
)

// Server returns a new RPC server for the three protocols of the front end.
func (f *Frontend) Server() *wire.Server {
	return &wire.Server{
		Protocols: map[string]wire.Protocol{
			protoApplicationClient: {Methods: map[string]wire.Method{
				"getNewApplication":           wire.Handle(f.getNewApplication),
				"submitApplication":           wire.Handle(f.submitApplication),
				"forceKillApplication":        wire.Handle(f.forceKillApplication),
				"getApplicationReport":        wire.Handle(f.getApplicationReport),
				"getApplications":             wire.Handle(f.getApplications),
				"getClusterMetrics":           wire.Handle(f.getClusterMetrics),
				"getClusterNodes":             wire.Handle(f.getClusterNodes),
				"getQueueInfo":                wire.Handle(f.getQueueInfo),
				"moveApplicationAcrossQueues": wire.Handle(f.moveApplicationAcrossQueues),
			}},
			protoApplicationMaster: {NeedToken: true, Methods: map[string]wire.Method{
				"registerApplicationMaster": wire.Handle(f.registerApplicationMaster),
				"allocate":                  wire.Handle(f.allocate),
				"finishApplicationMaster":   wire.Handle(f.finishApplicationMaster),
			}},
			protoContainerManagement: {NeedToken: true, Methods: map[string]wire.Method{
				"startContainers":      wire.Handle(f.startContainers),
				"stopContainers":       wire.Handle(f.stopContainers),
				"getContainerStatuses": wire.Handle(f.getContainerStatuses),
			}},
		},
		Password: f.tokenPassword,
		Allow:    f.settings.Allow,
		Log:      f.log,
		MaxConns: f.settings.MaxConns,
		MaxCalls: f.settings.MaxCalls,
	}
}

// errRecordChanged is the answer to a call whose attempts all failed because of concurrent changes
// of a record. Clients retry the call.
var errRecordChanged = wire.Errorf(wire.ClassRetriable, "the record has changed meanwhile, come again")

const (
	// maxTransactionAttempts is the number of attempts that retry makes.
	maxTransactionAttempts = 6
	// minRetryPauseMs is the shortest pause between two attempts.
	minRetryPauseMs = 20
	// retryJitterMs is the range of the random addition to the first pause. It doubles with each
	// attempt.
	retryJitterMs = 40
)

// retry calls attempt until its transaction neither conflicts with a concurrent change nor has an
// unknown outcome. It pauses for a random time that grows with each attempt. After
// maxTransactionAttempts attempts, or when ctx ends, it fails with errRecordChanged. Each attempt
// must read the record again.
func retry(ctx context.Context, attempt func() error) error {
	var err error
	for try := range maxTransactionAttempts {
		if err = attempt(); !isConflictOrUnknownOutcome(err) {
			return err
		}
		if !call.Pause(ctx, time.Duration(minRetryPauseMs+rand.IntN(retryJitterMs<<try))*time.Millisecond) {
			break
		}
	}
	return errors.Join(errRecordChanged, err)
}

// isConflictOrUnknownOutcome reports whether a transaction failed because a record had changed, or
// its outcome is unknown. In the second case it may have been committed.
func isConflictOrUnknownOutcome(err error) bool {
	var conflict *kvstore.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, kvstore.ErrOutcomeUnknown)
}
