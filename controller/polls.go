package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/peerrpc"
)

// This file serves users' polls, with fair queueing between jobs.

const (
	// pollTimeout is how long a poll may take: users wait 2 s for its answer.
	pollTimeout = 1700 * time.Millisecond
	// pollQueueTimeout is for how much of that a poll may wait in the queue. One that
	// waits in vain is refused while its user has time to ask another node.
	pollQueueTimeout = 800 * time.Millisecond
)

// handlePoll answers a user's poll for the state of a job. Polls have a limit of their
// own, apart from submissions. Under overload the queue is fair by job: those whose turn
// is far are refused at once with the time to come again, so that no job is the one that
// is refused every time.
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
	queued, done := context.WithTimeout(ctx, pollQueueTimeout)
	err := n.pollLimiter.Acquire(queued, n.pollSchedule.Priority(id, now))
	done()
	if err != nil {
		n.metrics.CountRefusal("too many users' polls")
		writeError(w, http.StatusTooManyRequests, "too many polls under way", n.pollSchedule.RetryAfterS(id, now))
		return
	}
	defer n.pollLimiter.Release()
	a := n.serveUserRequest(ctx, peerrpc.Request{Op: opStatus, ID: id})
	if a.Status == http.StatusServiceUnavailable {
		a.RetryAfter = n.pollSchedule.RetryAfterS(id, now)
	}
	n.countRefusal(opStatus, a)
	writeAnswer(w, a)
}
