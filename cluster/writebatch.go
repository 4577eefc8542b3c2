// Defines the transactions that the leader commits.

package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// WriteBatch is a compare-and-swap transaction that the leader is to commit. The controller adds
// the guard on the leader key, and calls OnCommit or handles the failure (RequeueBatch,
// ResolveConflict, RejectBatch).
type WriteBatch struct {
	Guards []wire.Guard
	Ops    []wire.Op
	// OnCommit must be called after a successful commit, with the revision of the commit.
	OnCommit  func(rev uint64, now time.Time)
	HeldStops int // number of held stops that its commit releases

	placementPages    map[string]*placementPage // by key
	jobs              map[string]*Job           // by key of the active record
	planRecords       map[string]*planRecord    // by key
	placesTasks       bool                      // has new placements, so that it depends on the plan head
	admissionRemovals map[*admissionPage]*admissionRemoval
	commitHooks       []func(rev uint64, now time.Time)
	units             []writeUnit     // what it writes
	rejected          *rejectedWrites // isolates the units if the store rejects the batch
	bytes             int             // upper bound of the bytes that the store counts for Guards and Ops
}

const (
	// maxBatchBytes keeps a transaction well below the service's limit of 64 KiB.
	maxBatchBytes = 48 << 10
	// maxFinalRecordsWithPlacements bounds the final records in a transaction that also places
	// tasks, so that the conditions for both fit.
	maxFinalRecordsWithPlacements = 4
)

// addGuard adds a condition.
func (b *WriteBatch) addGuard(guard wire.Guard) {
	b.Guards = append(b.Guards, guard)
	b.bytes += guard.Size()
}

// addOp adds a change whose value takes valueBytes.
func (b *WriteBatch) addOp(op wire.Op, valueBytes int) {
	b.Ops = append(b.Ops, op)
	b.bytes += op.Size(valueBytes)
}

// Size returns an upper bound of the bytes that the store counts for Guards and Ops.
func (b *WriteBatch) Size() int { return b.bytes }

// Keys returns the keys that the batch changes.
func (b *WriteBatch) Keys() []string {
	keys := make([]string, 0, len(b.Ops))
	for _, op := range b.Ops {
		keys = append(keys, op.Put+op.Delete)
	}
	return keys
}

// hasRoom reports whether the batch may grow by the given bytes to at most maxBytes. An empty batch has
// room for anything, because what does not fit into an empty one can't be divided.
func (b *WriteBatch) hasRoom(bytes, maxBytes int) bool {
	return len(b.Ops) == 0 || b.bytes+bytes <= maxBytes
}

// runCommitHooks applies the commit of a batch to the model.
func (b *WriteBatch) runCommitHooks(rev uint64, now time.Time) {
	for _, hook := range b.commitHooks {
		hook(rev, now)
	}
}
