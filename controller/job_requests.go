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

// This file carries out users' requests against the job store. Each is idempotent: what
// is repeated, or served by two nodes, has the answer of the first.

// Operations of users, as they are named between controllers.
const (
	opSubmit = "submit"
	opStatus = "show"
	opCancel = "cancel"
)

const (
	// busyRetryAfterS is after how many seconds a user is to come back while the
	// key-value store limits our rate.
	busyRetryAfterS = 2
	// unreachableRetryAfterS is the same while the store is not reached: then another
	// node may serve the user.
	unreachableRetryAfterS = 1
	// typesRetryAfterS is the same while the machine types are not known.
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
func (n *Node) serveUserRequest(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	reachable := n.kvReachable()
	if reachable {
		a, err := n.serveLocally(ctx, r)
		if err == nil {
			return a
		}
		n.log.Debug("user request not served", "op", r.Op, "id", r.ID, "err", err)
		if errors.Is(err, kvstore.ErrRateLimited) {
			return storeBusy() // the peers are as busy, and asking them would make it worse
		}
	}
	if a, ok := n.forwardToPeers(ctx, r); ok {
		return a
	}
	if !reachable {
		if a, err := n.serveLocally(ctx, r); err == nil {
			return a
		}
	}
	return storeUnreachable()
}

func (n *Node) serveLocally(ctx context.Context, r peerrpc.Request) (peerrpc.Answer, error) {
	switch r.Op {
	case opSubmit:
		return n.submit(ctx, r.Body, r.From)
	case opStatus:
		return n.jobStatus(ctx, r.ID)
	case opCancel:
		return n.cancel(ctx, r.ID, r.From)
	}
	return newAnswer(http.StatusNotFound, wire.Error{Error: "no such operation"}, 0), nil
}

const (
	// maxRefusedRetries is how often a request that the key-value store refused is repeated,
	// and maxRateLimitedRetries how often where it was refused for its rate.
	maxRefusedRetries     = 3
	maxRateLimitedRetries = 1
)

// retryRefused repeats what the key-value store refused, while there is time.
func retryRefused(ctx context.Context, f func() error) error {
	for try := 0; ; try++ {
		err := f()
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

// statusOf returns the status of a job as users are shown it.
func statusOf(job jobstore.JobStatus) wire.JobStatus {
	s := wire.JobStatus{ID: job.Record.Job.ID, State: job.Record.State, Done: job.DoneTasks, Running: job.PlacedTasks}
	if final := job.Version == 0; final {
		s.Running = 0
		if s.State == wire.JobDone {
			s.Done = job.Record.Job.Tasks
		}
		return s
	}
	s.State = wire.JobPending
	if job.PlacedTasks > 0 {
		s.State = wire.JobRunning
	}
	return s
}

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

// cancel carries out a cancellation of a user, or one that a peer, from, has forwarded.
func (n *Node) cancel(ctx context.Context, id, from string) (peerrpc.Answer, error) {
	if !wire.ValidUserID(id) {
		return noSuchJob(), nil
	}
	if _, finished := n.jobs.CachedFinal(id); from == "" && !finished {
		if a, ok := n.forwardToBucketOwner(ctx, id, peerrpc.Request{Op: opCancel, ID: id}); ok {
			return a, nil
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

// submit carries out a submission of a user, or one that a peer, from, has forwarded.
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
		if a, ok := n.forwardToBucketOwner(ctx, job.ID, peerrpc.Request{Op: opSubmit, Body: body}); ok {
			return a, nil
		}
	}
	return n.acceptJob(ctx, job)
}

// rejectSubmission answers a submission that can't be accepted. The id is looked up
// first: a job that was accepted before is confirmed, whatever the repeated submission
// says.
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

// acceptJob commits a submission, or returns the status of the job that already has its
// id.
func (n *Node) acceptJob(ctx context.Context, job wire.Job) (peerrpc.Answer, error) {
	var duplicate bool
	received := time.Now()
	err := retryRefused(ctx, func() (err error) {
		duplicate, err = n.jobs.Accept(ctx, job, received)
		if errors.Is(err, kvstore.ErrOutcomeUnknown) && ctx.Err() == nil {
			// The conditions of a second attempt tell whether the first was committed.
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
