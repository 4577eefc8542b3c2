package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// WriteBatch is a compare-and-swap transaction that the leader is to commit. The controller
// adds the guard on the leader key.
type WriteBatch struct {
	Guards []wire.Guard
	Ops    []wire.Op
	// OnCommit must be called after a successful commit, with its revision.
	OnCommit  func(rev uint64, now time.Time)
	HeldStops int // how many held stops its commit releases

	placementPages    map[string]*placementPage
	jobs              map[string]*Job
	planRecords       map[string]*planRecord
	placesTasks       bool // by the plan, so that it depends on the plan head
	admissionRemovals map[*admissionPage]*admissionRemoval
	commitHooks       []func(rev uint64, now time.Time)
	bytes             int
}

const (
	// maxBatchBytes keeps a transaction well below the service's limit of 64 KiB.
	maxBatchBytes = 48 << 10
	// maxFinalRecordsWithPlacements bounds the jobs that are ended by a transaction that also
	// places tasks, so that the conditions of both fit.
	maxFinalRecordsWithPlacements = 4
	// finalRecordBytes is what is allowed for a job's final record in a batch.
	finalRecordBytes = 1000
)

// runCommitHooks applies the commit of a batch to the model.
func (b *WriteBatch) runCommitHooks(rev uint64, now time.Time) {
	for _, f := range b.commitHooks {
		f(rev, now)
	}
}
