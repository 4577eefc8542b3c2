// Resolution of the unknown outcomes of a batch window's jobs after a change of leader.

package controller

import (
	"context"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// finalStatesInterval and finalStatesPerRound limit the rate at which a new leader reads
	// final records, so that enough of the key-value store's request rate is left for current
	// work.
	finalStatesInterval = time.Second
	finalStatesPerRound = 5
)

// resolveUnknownOutcomes reads the final states of the jobs of batch windows whose outcomes
// earlier leaders did not record. It returns when ctx ends.
func (l *leadership) resolveUnknownOutcomes(ctx context.Context) {
	for call.Pause(ctx, finalStatesInterval) {
		l.mu.Lock()
		ids := l.model.UnresolvedWindowJobs(finalStatesPerRound)
		l.mu.Unlock()
		for _, id := range ids {
			entry, err := l.node.kv.Get(ctx, jobstore.FinalKey(id))
			if err != nil {
				break // the model returns the remaining jobs again in the next round
			}
			final := l.decodeFinal(entry)
			l.mu.Lock()
			l.model.ResolveWindowJob(id, final, time.Now())
			l.mu.Unlock()
		}
	}
}

// decodeFinal returns a job's final record, or nil if there is none or it can't be read.
func (l *leadership) decodeFinal(entry wire.Entry) *jobstore.JobRecord {
	if entry.Version == 0 {
		return nil
	}
	record := &jobstore.JobRecord{}
	if err := wire.Unmarshal(entry.Value, record); err != nil {
		l.log.Error("unreadable job record", "key", entry.Key, "err", err)
		return nil
	}
	return record
}
