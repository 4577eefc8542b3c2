package controller

import (
	"context"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// finalStatesPerRound is how many jobs' ends a new leader reads a second, of those that
// the one before left open in its record of a night.
const finalStatesPerRound = 5

// resolveUnknownOutcomes reads how jobs of the calendar's nights ended that an earlier leader
// did not come to count.
func (l *leadership) resolveUnknownOutcomes(ctx context.Context) {
	for call.Pause(ctx, time.Second) {
		l.mu.Lock()
		ids := l.model.UnresolvedWindowJobs(finalStatesPerRound)
		l.mu.Unlock()
		for _, id := range ids {
			e, err := l.node.kv.Get(ctx, jobstore.FinalKey(id))
			if err != nil {
				break // asked again
			}
			var rec *jobstore.JobRecord
			if e.Version != 0 {
				rec = &jobstore.JobRecord{}
				if err := wire.Unmarshal(e.Value, rec); err != nil {
					l.log.Error("unreadable job record", "key", e.Key, "err", err)
					rec = nil
				}
			}
			l.mu.Lock()
			l.model.ResolveWindowJob(id, rec, time.Now())
			l.mu.Unlock()
		}
	}
}
