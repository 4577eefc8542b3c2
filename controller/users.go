// The HTTP interface for users. It limits and reads requests and writes the answers. The
// requests themselves are implemented in job_requests.go.

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

const (
	// userWriteTimeout is how long a submission or a cancellation may take, so that the
	// response arrives before users time out after 5 s.
	userWriteTimeout = 3500 * time.Millisecond
	// limitRetryAfterS is the Retry-After in seconds for users who are refused because of the
	// limit of concurrent requests.
	limitRetryAfterS = 1
)

// handler returns the HTTP handler of the node's main address, for users and for workers'
// heartbeats.
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
func writeAnswer(w http.ResponseWriter, answer peerrpc.Answer) {
	header := w.Header()
	header.Set("Content-Type", wire.ContentType)
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	if answer.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(answer.RetryAfter))
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body) // the client may have disconnected
}

// newAnswer returns an answer with an encoded body. If retryAfterS is 0, no Retry-After is sent.
// If the body can't be encoded, the status is 500.
func newAnswer(status int, body any, retryAfterS int) peerrpc.Answer {
	encoded, err := wire.Marshal(body)
	if err != nil {
		return peerrpc.Answer{Status: http.StatusInternalServerError}
	}
	return peerrpc.Answer{Status: status, Body: encoded, RetryAfter: retryAfterS}
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
	request := peerrpc.Request{Op: op, ID: r.PathValue("id")}
	if op == opSubmit {
		// Read one byte more than allowed, so that a body that is too large is recognized
		// and rejected later. It may repeat the submission of an accepted job.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody+1))
		var tooLarge *http.MaxBytesError
		if err != nil && !errors.As(err, &tooLarge) {
			return // the client has disconnected
		}
		request.Body = body
	}
	ctx, cancel := context.WithTimeout(r.Context(), userWriteTimeout)
	defer cancel()
	start := time.Now()
	answer := n.serveUserRequest(ctx, request)
	if op == opSubmit && answer.Status == http.StatusCreated {
		n.metrics.ObserveStep(metrics.StepAccepted, time.Since(start).Seconds())
	}
	n.countRefusal(op, answer)
	n.log.Debug("user request answered", "op", op, "id", request.ID, "status", answer.Status, "retry_after_s", answer.RetryAfter, "duration", time.Since(start))
	writeAnswer(w, answer)
}

// countRefusal counts an answer that refuses a request. An unknown id is not a refusal.
func (n *Node) countRefusal(op string, answer peerrpc.Answer) {
	if answer.Status >= http.StatusBadRequest && answer.Status != http.StatusNotFound {
		n.metrics.CountRefusal(op + " " + strconv.Itoa(answer.Status))
	}
}
