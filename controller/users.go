package controller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/umberdeal/umberdeal/metrics"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is the HTTP interface of users: it limits their requests, reads them and
// writes the answers. What a request does is in job_requests.go.

const (
	// userWriteTimeout is how long a submission or a cancellation may take, so that the
	// response arrives before users time out after 5 s.
	userWriteTimeout = 3500 * time.Millisecond
	// limitRetryAfterS is after how many seconds a user is to come back whom the limit of
	// concurrent requests has turned away.
	limitRetryAfterS = 1
)

// handler serves users, and workers' heartbeats, on the node's main address.
func (n *Node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			writeError(w, http.StatusServiceUnavailable, "not ready", 0)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("POST "+wire.PathJobs, func(w http.ResponseWriter, r *http.Request) { n.handleUserWrite(w, r, opSubmit) })
	mux.HandleFunc("GET "+wire.PathJobs+"/{id}", n.handlePoll)
	mux.HandleFunc("POST "+wire.PathJobs+"/{id}/cancel", func(w http.ResponseWriter, r *http.Request) { n.handleUserWrite(w, r, opCancel) })
	mux.HandleFunc("POST "+wire.PathHeartbeat, n.serveHeartbeat)
	return mux
}

// writeAnswer writes an answer as the response to an HTTP request.
func writeAnswer(w http.ResponseWriter, a peerrpc.Answer) {
	h := w.Header()
	h.Set("Content-Type", wire.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(a.RetryAfter))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a client that went away needs no answer
}

// newAnswer encodes the body of an answer; retryAfterS is 0 where no Retry-After is sent.
func newAnswer(status int, body any, retryAfterS int) peerrpc.Answer {
	b, err := wire.Marshal(body)
	if err != nil {
		return peerrpc.Answer{Status: http.StatusInternalServerError}
	}
	return peerrpc.Answer{Status: status, Body: b, RetryAfter: retryAfterS}
}

func writeError(w http.ResponseWriter, status int, text string, retryAfterS int) {
	writeAnswer(w, newAnswer(status, wire.Error{Error: text}, retryAfterS))
}

// handleUserWrite serves a submission or a cancellation.
func (n *Node) handleUserWrite(w http.ResponseWriter, r *http.Request, op string) {
	n.markUserConnection(w, r)
	select {
	case n.userSlots <- struct{}{}:
		defer func() { <-n.userSlots }()
	default:
		n.metrics.CountRefusal("too many users' requests")
		writeError(w, http.StatusTooManyRequests, "too many requests under way", limitRetryAfterS)
		return
	}
	req := peerrpc.Request{Op: op, ID: r.PathValue("id")}
	if op == opSubmit {
		// One byte over the limit shows that a body is too large, which may yet be a
		// repeated submission of a job that was accepted.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody+1))
		var large *http.MaxBytesError
		if err != nil && !errors.As(err, &large) {
			return // the client is gone
		}
		req.Body = body
	}
	ctx, cancel := context.WithTimeout(r.Context(), userWriteTimeout)
	defer cancel()
	began := time.Now()
	a := n.serveUserRequest(ctx, req)
	if op == opSubmit && a.Status == http.StatusCreated {
		n.metrics.ObserveStep(metrics.StepAccepted, time.Since(began).Seconds())
	}
	n.countRefusal(op, a)
	n.log.Debug("user request answered", "op", op, "id", req.ID, "status", a.Status, "retry_after_s", a.RetryAfter, "duration", time.Since(began))
	writeAnswer(w, a)
}

// countRefusal counts answers that refuse a request; unknown ids are no refusals.
func (n *Node) countRefusal(op string, a peerrpc.Answer) {
	if a.Status >= http.StatusBadRequest && a.Status != http.StatusNotFound {
		n.metrics.CountRefusal(op + " " + strconv.Itoa(a.Status))
	}
}
