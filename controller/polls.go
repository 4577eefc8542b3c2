// Users' polls for the state of a job, with fair queueing between jobs.

package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/peerrpc"
)

const (
	// pollTimeout is how long a poll may take. Users wait 2 s for the answer.
	pollTimeout = 1700 * time.Millisecond
	// pollQueueTimeout is the part of pollTimeout that a poll may wait in the queue. It is
	// shorter, so that a refused user has time to ask another node.
	pollQueueTimeout = 800 * time.Millisecond
)

// handlePoll answers a user's poll for the state of a job. Polls have a limit of their own,
// separate from submissions. Under overload the queue is fair between jobs. A poll of a job
// whose turn is far away is refused with the time to retry, so that no job is refused every
// time.
func (n *Node) handlePoll(w http.ResponseWriter, r *http.Request) {
	n.markUserConnection(w, r)
	id := r.PathValue("id")
	if final, ok := n.jobs.CachedFinal(id); ok {
		writeAnswer(w, newAnswer(http.StatusOK, statusOf(final), 0))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), pollTimeout)
	defer cancel()
	now := time.Now()
	queueCtx, cancelQueue := context.WithTimeout(ctx, pollQueueTimeout)
	err := n.pollLimiter.Acquire(queueCtx, n.pollSchedule.Priority(id, now))
	cancelQueue()
	if err != nil {
		n.metrics.CountRefusal("too many users' polls")
		writeError(w, http.StatusTooManyRequests, "too many polls under way", n.pollSchedule.RetryAfterS(id, now))
		return
	}
	defer n.pollLimiter.Release()
	answer := n.serveUserRequest(ctx, peerrpc.Request{Op: opStatus, ID: id})
	if answer.Status == http.StatusServiceUnavailable {
		answer.RetryAfter = n.pollSchedule.RetryAfterS(id, now)
	}
	n.countRefusal(opStatus, answer)
	writeAnswer(w, answer)
}
