package controller

import (
	"context"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// finalStatesInterval and finalStatesPerRound limit the rate at which a new leader
	// reads final records: they must not take the store's requests from the work that is
	// under way.
	finalStatesInterval = time.Second
	finalStatesPerRound = 5
)

// resolveUnknownOutcomes reads the final states of those jobs of a batch window whose
// outcome an earlier leader had not recorded when it ended.
func (l *leadership) resolveUnknownOutcomes(ctx context.Context) {
	for call.Pause(ctx, finalStatesInterval) {
		l.mu.Lock()
		ids := l.model.UnresolvedWindowJobs(finalStatesPerRound)
		l.mu.Unlock()
		for _, id := range ids {
			e, err := l.node.kv.Get(ctx, jobstore.FinalKey(id))
			if err != nil {
				break // the model still has them in the next round
			}
			final := l.decodeFinal(e)
			l.mu.Lock()
			l.model.ResolveWindowJob(id, final, time.Now())
			l.mu.Unlock()
		}
	}
}

// decodeFinal returns a job's final record, nil where there is none or it can't be read.
func (l *leadership) decodeFinal(e wire.Entry) *jobstore.JobRecord {
	if e.Version == 0 {
		return nil
	}
	record := &jobstore.JobRecord{}
	if err := wire.Unmarshal(e.Value, record); err != nil {
		l.log.Error("unreadable job record", "key", e.Key, "err", err)
		return nil
	}
	return record
}
