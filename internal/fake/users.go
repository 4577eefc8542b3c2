package fake

import (
	"context"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// This file has the users' requests: they submit, poll and cancel jobs as a load balancer
// or a scenario sends them.

const (
	// requestTimeout is how long users wait for the answer to a submission or cancellation.
	requestTimeout = 5 * time.Second
	// pollTimeout is how long they wait for the answer to a question.
	pollTimeout = 2 * time.Second
	// retryFor is for how long they repeat a request until it is answered.
	retryFor = time.Minute
	// retryInterval is the time between two of these requests.
	retryInterval = time.Second
	// pollInterval is the time between two questions about a job.
	pollInterval = 500 * time.Millisecond
)

// post sends a request to a node, and returns the status and the body of the answer; status
// 0: there was none.
func (w *Cluster) post(addr, path string, v any) (status int, body []byte) {
	return w.request(http.MethodPost, addr, path, v, requestTimeout)
}

// request is like post, by any method and with any timeout.
func (w *Cluster) request(method, addr, path string, v any, timeout time.Duration) (status int, body []byte) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	status, body, err := call.Do(ctx, w.httpClient, method, "http://"+addr+path, v, maxReplyBytes)
	if err != nil {
		return 0, nil
	}
	return status, body
}

// unnoticedFor is for how long the load balancer sends requests to a node whose power has
// been cut. If it did so for ever, of some thousand jobs there would be one about which no
// user has an answer for 20 s.
const unnoticedFor = 3 * time.Second

// AnyNodeAddr draws a node's address, as a load balancer would.
func (w *Cluster) AnyNodeAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var up []*node
	for _, n := range w.nodes {
		if n.downSince.IsZero() || time.Since(n.downSince) < unnoticedFor {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		up = w.nodes
	}
	return up[w.pick(len(up))].addr
}

// NodeAddr is a node's address.
func (w *Cluster) NodeAddr(i int) string { return w.nodes[i].addr }

// PostSubmission sends any body as a submission and returns the status.
func (w *Cluster) PostSubmission(node int, v any) int {
	status, _ := w.post(w.nodes[node].addr, wire.PathJobs, v)
	return status
}

// SubmitRefused sends a submission and returns the status and the text of the error.
func (w *Cluster) SubmitRefused(node int, j wire.Job) (int, string) {
	status, body := w.post(w.nodes[node].addr, wire.PathJobs, j)
	var e wire.Error
	if wire.Unmarshal(body, &e) != nil {
		return status, ""
	}
	return status, e.Error
}

// Submit submits a job until it is accepted, for a minute, and reports whether it
// was.
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

// sendSubmission sends a job to a node once.
func (w *Cluster) sendSubmission(addr string, j wire.Job) userReply {
	w.mu.Lock()
	if w.jobs[j.ID] == nil {
		w.jobs[j.ID] = &job{spec: j, done: map[int]bool{}}
	}
	w.mu.Unlock()
	return w.ask(submission, j.ID, addr, j, requestTimeout)
}

// PollState asks a node for a job's state; "" where there was no answer.
func (w *Cluster) PollState(addr, id string) string {
	return w.ask(question, id, addr, nil, pollTimeout).state
}

// Cancel asks nodes for a minute to cancel a job, and returns the final state; "" where
// there was no such answer.
func (w *Cluster) Cancel(id string) string {
	for end := time.Now().Add(retryFor); time.Now().Before(end); {
		if s := w.CancelAt(w.AnyNodeAddr(), id); s != "" {
			return s
		}
		if !call.Pause(w.ctx, retryInterval) {
			break
		}
	}
	return ""
}

// CancelAt asks a node once to cancel a job, and returns the final state; "" where
// there was no such answer.
func (w *Cluster) CancelAt(addr, id string) string {
	w.mu.Lock()
	if j := w.jobs[id]; j != nil {
		j.cancelRequested = true
	}
	w.mu.Unlock()
	return w.ask(cancellation, id, addr, nil, requestTimeout).state
}

// CancelConfirmedAt is when a job's user was told that it is cancelled; zero: not yet.
func (w *Cluster) CancelConfirmedAt(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[id]; j != nil {
		return j.cancelConfirmedAt
	}
	return time.Time{}
}

// Await polls until a job is in a state, and reports whether it was within the time.
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

// MachinesRunning lists the machines that a task is on.
func (w *Cluster) MachinesRunning(task string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for m := range w.machinesOfTasks[task] {
		out = append(out, m.name)
	}
	return out
}
