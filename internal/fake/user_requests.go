package fake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// This file sends users' requests about single jobs, and checks that the answers of all
// nodes together are linearizable: none may be older than one that the user had before
// sending the request. The order is that of a counter and not of time, since much happens
// in one simulated instant. An answer to a request that was under way when a newer answer
// came may be older: the node may have read before.

// requestKind is what a user asks.
type requestKind int

const (
	submission requestKind = iota
	question
	cancellation
)

// path is where users ask about a job.
func (k requestKind) path(id string) string {
	switch k {
	case question:
		return wire.PathJobs + "/" + id
	case cancellation:
		return wire.PathJobs + "/" + id + "/cancel"
	}
	return wire.PathJobs
}

// method is the HTTP method of a request.
func (k requestKind) method() string {
	if k == question {
		return http.MethodGet
	}
	return http.MethodPost
}

// answerLog is when a user first had which answer, by Cluster.requestClock; 0: not yet.
type answerLog struct {
	acceptedAt   uint64 // that the job is known
	finalAt      uint64 // that it is over
	timesCreated int    // how often it was newly accepted
}

// userReply is what came of a user's request.
type userReply struct {
	sentAt uint64 // by Cluster.requestClock
	status int    // 0: no answer
	state  string // of a 200 or 201
}

// ask sends a user's request to a node once, and checks the answer. A body that is
// a wire.Raw is sent as it is.
func (w *Cluster) ask(kind requestKind, id, addr string, body any, timeout time.Duration) (r userReply) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	req := newUserRequest(ctx, kind, id, addr, body)
	w.noteFaults()
	w.mu.Lock()
	w.requestClock++
	r.sentAt = w.requestClock
	w.mu.Unlock()
	if kind == question {
		defer func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.checkAnswered(id, r)
		}()
	}
	resp, err := w.httpClient.Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(io.LimitReader(resp.Body, wire.MaxBody+1))
	if err != nil {
		return r
	}
	r.status = resp.StatusCode
	if r.status == http.StatusOK || r.status == http.StatusCreated {
		var s wire.JobStatus
		if wire.Unmarshal(out, &s) != nil || s.ID != id {
			w.violations.add("%s answered %d with %.80q", id, r.status, out)
			return r
		}
		r.state = s.State
	}
	if r.shed() && resp.Header.Get("Retry-After") == "" {
		w.violations.add("%s answered %d without Retry-After", id, r.status)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkReply(kind, id, r)
	return r
}

// newUserRequest composes a request; body may be nil.
func newUserRequest(ctx context.Context, kind requestKind, id, addr string, body any) *http.Request {
	var in io.Reader
	if body != nil {
		b, err := wire.Marshal(body)
		if err != nil {
			panic(err) // a scenario is made wrong
		}
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, kind.method(), "http://"+addr+kind.path(id), in)
	if err != nil {
		panic(err) // a scenario is made wrong
	}
	return req
}

// answered reports whether a question got an answer: 404 is one.
func (r userReply) answered() bool {
	return r.status == http.StatusOK || r.status == http.StatusNotFound
}

// shed reports whether a node refused a request for the time being.
func (r userReply) shed() bool {
	return r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
}

// final reports whether an answer tells that a job is over.
func (r userReply) final() bool { return r.state == wire.JobDone || r.state == wire.JobCancelled }

// acceptedBefore reports whether a user knew that a job is accepted before sending a request.
func (j *job) acceptedBefore(r userReply) bool {
	return j != nil && j.accepted && j.answers.acceptedAt <= r.sentAt
}

// checkReply checks a node's answer against the rules and what the user was told before;
// the lock is held.
func (w *Cluster) checkReply(kind requestKind, id string, r userReply) {
	w.requestClock++
	j := w.jobs[id]
	switch r.status {
	case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		// no answer about the job
	case http.StatusNotFound:
		if j.acceptedBefore(r) {
			w.violations.add("forgotten: %s answered 404", id)
		}
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if j.acceptedBefore(r) || kind != submission {
			w.violations.add("forgotten: %s answered %d", id, r.status)
		}
	case http.StatusOK, http.StatusCreated:
		if j == nil {
			w.violations.add("invented: %s", id)
			return
		}
		w.checkAccepted(j, r)
		w.checkState(kind, j, r)
	default:
		w.violations.add("%s answered %d", id, r.status)
	}
}

// checkAccepted checks an answer by which a job is known: only one that can run is
// accepted, and only once.
func (w *Cluster) checkAccepted(j *job, r userReply) {
	id, known := j.spec.ID, j.acceptedBefore(r)
	if !j.accepted {
		j.accepted, j.answers.acceptedAt = true, w.requestClock
		if why := w.cannotRun(&j.spec); why != "" {
			w.violations.add("accepted: %s, which %s", id, why)
		}
	}
	if r.status != http.StatusCreated {
		return
	}
	j.answers.timesCreated++
	again := j.answers.timesCreated > 1 || known && j.answers.acceptedAt > 0
	if again && !w.Store.corrupted.Load() {
		w.violations.add("accepted twice: %s", id)
	}
}

// checkState checks the state that an answer tells against those that were told before:
// a final state never changes.
func (w *Cluster) checkState(kind requestKind, j *job, r userReply) {
	id, over := j.spec.ID, r.final()
	switch {
	case over && j.finalState != "" && r.state != j.finalState, !over && j.finalState != "" && j.answers.finalAt <= r.sentAt:
		w.violations.add("went_back: %s called %s after %s", id, r.state, j.finalState)
	case kind == cancellation && !over:
		w.violations.add("cancelling %s is answered %q", id, r.state)
	}
	if over {
		w.checkFinal(j, r)
	}
}

// checkFinal checks that a job that is told to be done has completed, and that one that is
// told to be cancelled was to be.
func (w *Cluster) checkFinal(j *job, r userReply) {
	id := j.spec.ID
	if r.state == wire.JobDone && len(j.done) < j.spec.Tasks {
		w.violations.add("not_done: %s with %d of %d", id, len(j.done), j.spec.Tasks)
	}
	if r.state == wire.JobCancelled {
		if !j.cancelRequested {
			w.violations.add("went_back: %s called cancelled unasked", id)
		}
		if j.cancelConfirmedAt.IsZero() {
			j.cancelConfirmedAt = time.Now()
		}
	}
	if j.finalState == "" {
		j.answers.finalAt = w.requestClock
	}
	j.finalState = r.state
}

// cannotRun says why a job can never run; "" if it can. The lock is held.
func (w *Cluster) cannotRun(j *wire.Job) string {
	tasks := 1.0
	if j.Kind != wire.KindArray {
		tasks = float64(j.Tasks)
	}
	i := slices.IndexFunc(w.Settings.Cluster.Teams, func(t config.Team) bool { return t.Name == j.Team })
	if i < 0 {
		return "is of no team"
	}
	if exceedsQuota(w.Settings.Cluster.Teams[i], j.CPUs*tasks, j.GPUs*tasks) {
		return "needs more than its team's limit"
	}
	if !slices.ContainsFunc(w.Cloud.types, func(t wire.MachineType) bool {
		return (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && (j.Zone == "" || slices.Contains(t.Zones, j.Zone)) &&
			j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB
	}) {
		return "fits no machine"
	}
	return ""
}

// SubmitTo sends a job to a node once, and returns the status and the state it is told.
func (w *Cluster) SubmitTo(node int, j wire.Job) (status int, state string) {
	r := w.sendSubmission(w.nodes[node].addr, j)
	return r.status, r.state
}

// QueryStatus asks a node for a job once, and returns the status.
func (w *Cluster) QueryStatus(node int, id string) int {
	return w.ask(question, id, w.nodes[node].addr, nil, pollTimeout).status
}

// QueryConcurrently asks each node for a job a number of times within milliseconds, and
// repeats its submission. It returns how many answers came by way of each node.
func (w *Cluster) QueryConcurrently(id string, times int) []int {
	w.mu.Lock()
	spec := w.jobs[id].spec
	waits := make([]time.Duration, 2*times*len(w.nodes))
	for i := range waits {
		waits[i] = time.Duration(w.pick(6000)) * time.Microsecond
	}
	w.mu.Unlock()
	answers := make([]int, len(w.nodes))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range waits {
		n, kind, body := i/2%len(w.nodes), question, any(nil)
		if i%2 == 1 {
			kind, body = submission, spec
		}
		wg.Go(func() {
			time.Sleep(time.Duration(i/(2*len(w.nodes)))*6*time.Millisecond + waits[i])
			if r := w.ask(kind, id, w.nodes[n].addr, body, requestTimeout); r.state != "" {
				mu.Lock()
				answers[n]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return answers
}
