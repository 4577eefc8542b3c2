package kvstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
)

// This file is what writers share that retry refused transactions. A refused transaction is known not
// to have been executed, so that repeating it is safe (ErrRefused). Repeating it unchanged may never
// succeed: while the store's write rate is used up, the single changes of other writers take the
// capacity as it comes back, and there is never enough at once for many changes.

// BatchSize limits the changes of a writer's next transaction: to half as many after a refusal, and to
// twice as many once a transaction was committed that had use for more than half of the limit. What a
// writer can't divide may leave a part of it unused. It is not safe for concurrent use.
type BatchSize struct {
	minChanges, maxChanges int
	current                int
}

// NewBatchSize returns a BatchSize that begins with maxChanges and never limits a transaction to fewer than
// minChanges changes, the size of what the writer can't divide.
func NewBatchSize(minChanges, maxChanges int) *BatchSize {
	maxChanges = max(minChanges, maxChanges)
	return &BatchSize{minChanges: minChanges, maxChanges: maxChanges, current: maxChanges}
}

// Limit returns how many changes the next transaction may have.
func (b *BatchSize) Limit() int { return b.current }

// Record takes the result of a transaction into account.
func (b *BatchSize) Record(changes int, err error) {
	switch {
	case IsRateLimited(err):
		b.current = max(b.minChanges, min(b.current, changes)/2)
	case err == nil && 2*changes > b.current:
		b.current = min(b.maxChanges, 2*b.current)
	}
}

const minRetryPause, maxRetryPause = 50 * time.Millisecond, 200 * time.Millisecond

// PauseBeforeRetry waits for a random time, so that the same writers do not meet again. It returns false
// if ctx has ended.
func PauseBeforeRetry(ctx context.Context) bool {
	return call.Pause(ctx, minRetryPause+rand.N(maxRetryPause-minRetryPause))
}
