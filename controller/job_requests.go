// Users' requests to the job store. Each request is idempotent. If it is repeated or served by
// two nodes, the answer stays the same as the first time.

package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// Users' operations, by their names in requests between controllers.
const (
	opSubmit = "submit"
	opStatus = "show"
	opCancel = "cancel"
)

const (
	// busyRetryAfterS is the Retry-After in seconds while the key-value store limits this
	// node's request rate. Peers recognize a busy owner of a bucket by this value.
	busyRetryAfterS = 2
	// unreachableRetryAfterS is the Retry-After in seconds while this node does not reach the
	// key-value store. Another node may be able to serve the user.
	unreachableRetryAfterS = 1
	// typesRetryAfterS is the Retry-After in seconds while the machine types are not known.
	typesRetryAfterS = 2
)

func storeBusy() peerrpc.Answer {
	return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the state service is busy"}, busyRetryAfterS)
}

func storeUnreachable() peerrpc.Answer {
	return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the state service is not reached"}, unreachableRetryAfterS)
}

func noSuchJob() peerrpc.Answer {
	return newAnswer(http.StatusNotFound, wire.Error{Error: "no such job"}, 0)
}

// serveUserRequest serves a user's request here, or forwards it to a peer while the
// key-value store does not serve this node.
func (n *Node) serveUserRequest(ctx context.Context, request peerrpc.Request) peerrpc.Answer {
	reachable := n.kvReachable()
	if reachable {
		answer, err := n.serveLocally(ctx, request)
		if err == nil {
			return answer
		}
		n.log.Debug("user request not served", "op", request.Op, "id", request.ID, "err", err)
		if errors.Is(err, kvstore.ErrRateLimited) {
			return storeBusy() // the peers are as busy; forwarding would add load
		}
	}
	if answer, ok := n.forwardToPeers(ctx, request); ok {
		return answer
	}
	if !reachable {
		if answer, err := n.serveLocally(ctx, request); err == nil {
			return answer
		}
	}
	return storeUnreachable()
}

// serveLocally serves a user's request on this node. It returns an error if the job store does
// not answer the request.
func (n *Node) serveLocally(ctx context.Context, request peerrpc.Request) (peerrpc.Answer, error) {
	switch request.Op {
	case opSubmit:
		return n.submit(ctx, request.Body, request.From)
	case opStatus:
		return n.jobStatus(ctx, request.ID)
	case opCancel:
		return n.cancel(ctx, request.ID, request.From)
	}
	return newAnswer(http.StatusNotFound, wire.Error{Error: "no such operation"}, 0), nil
}

const (
	// maxRefusedRetries is how often a request is retried that the key-value store refused.
	// maxRateLimitedRetries is the limit if the request was refused because of its rate.
	maxRefusedRetries     = 3
	maxRateLimitedRetries = 1
)

// retryRefused calls request, and retries with increasing pauses while the key-value store
// refuses it. It returns the last error if ctx ends or the retries are used up.
func retryRefused(ctx context.Context, request func() error) error {
	for try := 0; ; try++ {
		err := request()
		if !errors.Is(err, kvstore.ErrRefused) || try >= maxRefusedRetries {
			return err
		}
		if try >= maxRateLimitedRetries && errors.Is(err, kvstore.ErrRateLimited) {
			return err
		}
		if !call.Pause(ctx, time.Duration(80+60*try)*time.Millisecond) {
			return err
		}
	}
}

// statusOf returns the status of a job in the form that is sent to users.
func statusOf(job jobstore.JobStatus) wire.JobStatus {
	status := wire.JobStatus{ID: job.Record.Job.ID, State: job.Record.State, Done: job.DoneTasks, Running: job.PlacedTasks}
	if final := job.Version == 0; final {
		status.Running = 0
		if status.State == wire.JobDone {
			status.Done = job.Record.Job.Tasks
		}
		return status
	}
	status.State = wire.JobPending
	if job.PlacedTasks > 0 {
		status.State = wire.JobRunning
	}
	return status
}

// lookUpJob returns the status of a job. found is false if the job was never accepted.
func (n *Node) lookUpJob(ctx context.Context, id string) (job jobstore.JobStatus, found bool, err error) {
	err = retryRefused(ctx, func() error {
		job, found, err = n.jobs.Lookup(ctx, id)
		return err
	})
	return job, found, err
}

// jobStatus answers a poll.
func (n *Node) jobStatus(ctx context.Context, id string) (peerrpc.Answer, error) {
	if !wire.ValidUserID(id) {
		return noSuchJob(), nil
	}
	job, found, err := n.lookUpJob(ctx, id)
	if err != nil {
		return peerrpc.Answer{}, err
	}
	if !found {
		return noSuchJob(), nil
	}
	return newAnswer(http.StatusOK, statusOf(job), 0), nil
}

// cancel cancels a job. from is the peer that forwarded the request, or "" if a user sent it to
// this node.
func (n *Node) cancel(ctx context.Context, id, from string) (peerrpc.Answer, error) {
	if !wire.ValidUserID(id) {
		return noSuchJob(), nil
	}
	if _, finished := n.jobs.CachedFinal(id); from == "" && !finished {
		if answer, ok := n.forwardToBucketOwner(ctx, id, peerrpc.Request{Op: opCancel, ID: id}); ok {
			return answer, nil
		}
	}
	var final string
	var found bool
	err := retryRefused(ctx, func() (err error) {
		final, found, err = n.jobs.Cancel(ctx, id)
		return err
	})
	if err != nil {
		return peerrpc.Answer{}, err
	}
	if !found {
		return noSuchJob(), nil
	}
	n.log.Info("cancellation answered", "id", id, "state", final)
	return newAnswer(http.StatusOK, wire.JobStatus{ID: id, State: final}, 0), nil
}

// submit accepts or rejects a submission. from is the peer that forwarded it, or "" if a user
// sent it to this node.
func (n *Node) submit(ctx context.Context, body []byte, from string) (peerrpc.Answer, error) {
	job, rejection := wire.DecodeJob(body)
	release, ok := n.admitSubmission(job.Team, job.Class)
	if !ok {
		return newAnswer(http.StatusTooManyRequests, wire.Error{Error: "too many submissions under way"}, busyRetryAfterS), nil
	}
	defer release()
	status := http.StatusBadRequest
	if rejection == nil {
		status, rejection = n.checkFeasible(&job)
	}
	if rejection != nil {
		return n.rejectSubmission(ctx, job.ID, status, rejection)
	}
	if from == "" {
		if answer, ok := n.forwardToBucketOwner(ctx, job.ID, peerrpc.Request{Op: opSubmit, Body: body}); ok {
			return answer, nil
		}
	}
	return n.acceptJob(ctx, job)
}

// rejectSubmission answers a submission that can't be accepted. If a job with this id was
// accepted before, it returns the status of this job instead of the rejection.
func (n *Node) rejectSubmission(ctx context.Context, id string, status int, reason error) (peerrpc.Answer, error) {
	if id != "" {
		job, found, err := n.lookUpJob(ctx, id)
		if err != nil {
			return peerrpc.Answer{}, err
		}
		if found {
			return newAnswer(http.StatusOK, statusOf(job), 0), nil
		}
	}
	n.log.Info("submission rejected", "status", status, "id", id, "reason", reason)
	retryAfterS := 0
	if status == http.StatusServiceUnavailable {
		retryAfterS = typesRetryAfterS
	}
	return newAnswer(status, wire.Error{Error: reason.Error()}, retryAfterS), nil
}

// acceptJob commits a submission. If a job with this id exists already, it returns the status
// of this job.
func (n *Node) acceptJob(ctx context.Context, job wire.Job) (peerrpc.Answer, error) {
	var duplicate bool
	received := time.Now()
	err := retryRefused(ctx, func() (err error) {
		duplicate, err = n.jobs.Accept(ctx, job, received)
		if errors.Is(err, kvstore.ErrOutcomeUnknown) && ctx.Err() == nil {
			// The conditions of a second attempt show whether the first was committed.
			duplicate, err = n.jobs.Accept(ctx, job, received)
		}
		return err
	})
	if err != nil {
		return peerrpc.Answer{}, err
	}
	if !duplicate {
		return newAnswer(http.StatusCreated, wire.JobStatus{ID: job.ID, State: wire.JobPending}, 0), nil
	}
	accepted, found, err := n.lookUpJob(ctx, job.ID)
	if err != nil {
		return peerrpc.Answer{}, err
	}
	if !found {
		return peerrpc.Answer{}, fmt.Errorf("job %s is a duplicate, but was not found", job.ID)
	}
	return newAnswer(http.StatusOK, statusOf(accepted), 0), nil
}
