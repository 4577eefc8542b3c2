// Helpers for writers that retry refused transactions. A retry is safe, because a refused transaction
// was not executed (see ErrRefused). A retry of the unchanged transaction may never succeed, though. While
// the store's write rate is used up, other writers' transactions of single changes take the capacity as
// soon as it is available, and there is never enough at once for many changes.

package kvstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
)

// BatchSize limits the number of changes of a writer's next transaction. A refusal by a rate limit halves
// it, and so does a rejection as invalid (see IsRejected), which a smaller transaction may escape. The commit of a transaction that used more than half of the limit doubles it. Half is enough,
// because a group of changes that can't be divided may leave a part of the limit unused. It is not safe
// for concurrent use.
type BatchSize struct {
	minChanges, maxChanges int
	current                int // the limit
}

// NewBatchSize returns a BatchSize whose limit starts at maxChanges and never falls below minChanges, the
// size of the smallest group of changes that the writer can't divide.
func NewBatchSize(minChanges, maxChanges int) *BatchSize {
	maxChanges = max(minChanges, maxChanges)
	return &BatchSize{minChanges: minChanges, maxChanges: maxChanges, current: maxChanges}
}

// Limit returns how many changes the next transaction may have.
func (b *BatchSize) Limit() int { return b.current }

// Record adjusts the limit to the result of a transaction. Other failures than refusals by rate limits and
// rejections do not change it.
func (b *BatchSize) Record(changes int, err error) {
	switch {
	case IsRateLimited(err), IsRejected(err):
		b.current = max(b.minChanges, min(b.current, changes)/2)
	case err == nil && 2*changes > b.current:
		b.current = min(b.maxChanges, 2*b.current)
	}
}

const minRetryPause, maxRetryPause = 50 * time.Millisecond, 200 * time.Millisecond

// PauseBeforeRetry waits for a random time, so that writers whose transactions were refused together do
// not retry together. It returns false if ctx has ended.
func PauseBeforeRetry(ctx context.Context) bool {
	return call.Pause(ctx, minRetryPause+rand.N(maxRetryPause-minRetryPause))
}
