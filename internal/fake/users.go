// Users that submit, poll and cancel jobs through a load balancer.

package fake

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// requestTimeout is how long users wait for the answer to a submission or cancellation.
	requestTimeout = 5 * time.Second
	// pollTimeout is how long users wait for the answer to a status query.
	pollTimeout = 2 * time.Second
	// retryFor is how long users retry a request that is not answered.
	retryFor = time.Minute
	// retryInterval is the pause between two attempts.
	retryInterval = time.Second
	// pollInterval is the pause between two status queries of a job.
	pollInterval = 500 * time.Millisecond
)

// post sends a POST request from the user host. It returns the status and the body of the answer,
// or status 0 if there is none.
func (w *Cluster) post(addr, path string, v any) (status int, body []byte) {
	return w.request(http.MethodPost, addr, path, v, requestTimeout)
}

// request is like post with any method and timeout.
func (w *Cluster) request(method, addr, path string, v any, timeout time.Duration) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	status, body, err := call.Do(ctx, w.httpClient, method, "http://"+addr+path, v, maxReplyBytes)
	if err != nil {
		return 0, nil
	}
	return status, body
}

// failureDetectionTime is how long the load balancer sends requests to a killed controller. If it
// did so for ever, about one in a thousand jobs would get no answer for 20 s.
const failureDetectionTime = 3 * time.Second

// AnyNodeAddr returns a random controller's address, like a load balancer. It draws from the
// controllers that run or were killed recently, and from all if there are none.
func (w *Cluster) AnyNodeAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var up []*node
	for _, n := range w.nodes {
		if n.downSince.IsZero() || time.Since(n.downSince) < failureDetectionTime {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		up = w.nodes
	}
	return up[w.pick(len(up))].addr
}

// NodeAddr returns the address at which the i-th controller serves users.
func (w *Cluster) NodeAddr(i int) string { return w.nodes[i].addr }

// PostSubmission sends any body as a submission to a controller, without checking the answer. It
// returns the status, or 0 if there is no answer.
func (w *Cluster) PostSubmission(node int, v any) int {
	status, _ := w.post(w.nodes[node].addr, wire.PathJobs, v)
	return status
}

// SubmitRefused sends a submission to a controller, without checking the answer. It returns the
// status, or 0 if there is no answer, and the error text of the answer.
func (w *Cluster) SubmitRefused(node int, j wire.Job) (int, string) {
	status, body := w.post(w.nodes[node].addr, wire.PathJobs, j)
	var e wire.Error
	if wire.Unmarshal(body, &e) != nil {
		return status, ""
	}
	return status, e.Error
}

// Submit submits a job to random controllers until it is accepted or refused as invalid, for at
// most a minute. It reports whether the job was accepted.
func (w *Cluster) Submit(j wire.Job) bool {
	for end := time.Now().Add(retryFor); time.Now().Before(end); {
		switch w.sendSubmission(w.AnyNodeAddr(), j).status {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		if !call.Pause(w.ctx, retryInterval) {
			return false
		}
	}
	return false
}

// sendSubmission submits a job to a controller once, and makes the checker know the job.
func (w *Cluster) sendSubmission(addr string, j wire.Job) userReply {
	w.mu.Lock()
	if w.jobs[j.ID] == nil {
		w.jobs[j.ID] = &job{spec: j, done: map[int]bool{}}
	}
	w.mu.Unlock()
	return w.ask(submission, j.ID, addr, j, requestTimeout)
}

// PollState queries a job's state at a controller once. It returns "" without an answer.
func (w *Cluster) PollState(addr, id string) string {
	return w.ask(statusQuery, id, addr, nil, pollTimeout).state
}

// Cancel requests the cancellation of a job from random controllers until it is answered, for at
// most a minute. It returns the job's final state, or "" without an answer.
func (w *Cluster) Cancel(id string) string {
	for end := time.Now().Add(retryFor); time.Now().Before(end); {
		if state := w.CancelAt(w.AnyNodeAddr(), id); state != "" {
			return state
		}
		if !call.Pause(w.ctx, retryInterval) {
			break
		}
	}
	return ""
}

// CancelAt requests the cancellation of a job from a controller once. It returns the job's final
// state, or "" without such an answer.
func (w *Cluster) CancelAt(addr, id string) string {
	w.mu.Lock()
	if j := w.jobs[id]; j != nil {
		j.cancelRequested = true
	}
	w.mu.Unlock()
	return w.ask(cancellation, id, addr, nil, requestTimeout).state
}

// CancelConfirmedAt returns when a job's user was told that the job is cancelled, or the zero time
// if that has not happened. While tasks of the job still run after cancel_s seconds, it returns the
// time of the last violation reported for them.
func (w *Cluster) CancelConfirmedAt(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j != nil {
		return j.cancelConfirmedAt
	}
	return time.Time{}
}

// Await queries a job at random controllers until it is in a state. It reports false if that takes
// longer than within.
func (w *Cluster) Await(id, state string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); {
		if w.PollState(w.AnyNodeAddr(), id) == state {
			return true
		}
		if !call.Pause(w.ctx, pollInterval) {
			return false
		}
	}
	return false
}

// MachinesRunning returns the names of the machines that run a task, in no particular order.
func (w *Cluster) MachinesRunning(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for m := range w.machinesOfTasks[task] {
		out = append(out, m.name)
	}
	return out
}
