// Users' requests about single jobs, and the check that the answers are linearizable.

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

// requestKind is the kind of a user's request about a single job.
type requestKind int

const (
	submission requestKind = iota
	statusQuery
	cancellation
)

// path returns the URL path of a request about a job.
func (k requestKind) path(id string) string {
	switch k {
	case statusQuery:
		return wire.PathJobs + "/" + id
	case cancellation:
		return wire.PathJobs + "/" + id + "/cancel"
	}
	return wire.PathJobs
}

// method returns the HTTP method of a request.
func (k requestKind) method() string {
	if k == statusQuery {
		return http.MethodGet
	}
	return http.MethodPost
}

// answerLog records when answers first told facts about a job. It serves the check that the answers
// of all controllers are linearizable: no answer may be older than one that the user got before
// sending the request. An answer to a request that was on its way when a newer answer arrived may
// be older, because the controller may have read the state before.
//
// Times are values of the counter Cluster.requestClock, because many events share a simulated
// instant; 0 means not yet.
type answerLog struct {
	acceptedAt   uint64 // the job is accepted
	finalAt      uint64 // the job is in a final state
	timesCreated int    // number of answers that the job was newly accepted
}

// userReply is the outcome of a user's request.
type userReply struct {
	sentAt uint64 // by Cluster.requestClock
	status int    // 0: no answer
	state  string // the job's state in an answer with status 200 or 201
}

// ask sends a user's request to a controller once, and checks the answer. A body of type wire.Raw
// is sent unchanged.
func (w *Cluster) ask(kind requestKind, id, addr string, body any, timeout time.Duration) (r userReply) {
	ctx, cancel := context.WithTimeout(w.ctx, timeout)
	defer cancel()
	req := newUserRequest(ctx, kind, id, addr, body)
	w.noteFaults()
	w.mu.Lock()
	w.requestClock++
	r.sentAt = w.requestClock
	w.mu.Unlock()
	if kind == statusQuery {
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

// newUserRequest returns an HTTP request with an encoded body, or without one if body is nil.
func newUserRequest(ctx context.Context, kind requestKind, id, addr string, body any) *http.Request {
	var in io.Reader
	if body != nil {
		b, err := wire.Marshal(body)
		if err != nil {
			panic(err) // the scenario passes a type without encoding
		}
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, kind.method(), "http://"+addr+kind.path(id), in)
	if err != nil {
		panic(err) // the scenario passes an invalid address or id
	}
	return req
}

// answered reports whether a status query got an answer. Status 404 is one.
func (r userReply) answered() bool {
	return r.status == http.StatusOK || r.status == http.StatusNotFound
}

// shed reports whether a controller refused a request temporarily.
func (r userReply) shed() bool {
	return r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable
}

// final reports whether an answer contains a final state.
func (r userReply) final() bool { return r.state == wire.JobDone || r.state == wire.JobCancelled }

// acceptedBefore reports whether the user knew that the job is accepted when the request of the
// given answer was sent. It reports false if j is nil.
func (j *job) acceptedBefore(r userReply) bool {
	return j != nil && j.accepted && j.answers.acceptedAt <= r.sentAt
}

// checkReply checks an answer against the protocol's rules and the earlier answers. The caller
// holds the lock.
func (w *Cluster) checkReply(kind requestKind, id string, r userReply) {
	w.requestClock++
	j := w.jobs[id]
	switch r.status {
	case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		// The answer tells nothing about the job.
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

// checkAccepted checks an answer that implies acceptance of the job: the job must be able to run,
// and may be newly accepted only once.
func (w *Cluster) checkAccepted(j *job, r userReply) {
	id, known := j.spec.ID, j.acceptedBefore(r)
	if !j.accepted {
		j.accepted, j.answers.acceptedAt = true, w.requestClock
		if reason := w.cannotRun(&j.spec); reason != "" {
			w.violations.add("accepted: %s, which %s", id, reason)
		}
	}
	if r.status != http.StatusCreated {
		return
	}
	j.answers.timesCreated++
	repeated := j.answers.timesCreated > 1 || known && j.answers.acceptedAt > 0
	if repeated && !w.Store.corrupted.Load() {
		w.violations.add("accepted twice: %s", id)
	}
}

// checkState checks the state in an answer against earlier answers: a final state never changes.
// The answer to a cancellation must contain a final state.
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

// checkFinal checks an answer with a final state: all tasks of a done job must have completed, and
// the cancellation of a cancelled job must have been requested.
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

// cannotRun returns the reason why a job can never run, or "" if it can. The caller holds the lock.
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

// SubmitTo submits a job to a controller once. It returns the status of the answer, 0 if there is
// none, and the job's state if the status is 200 or 201.
func (w *Cluster) SubmitTo(node int, j wire.Job) (status int, state string) {
	r := w.sendSubmission(w.nodes[node].addr, j)
	return r.status, r.state
}

// QueryStatus queries a job at a controller once, and returns the status of the answer, or 0 if
// there is none.
func (w *Cluster) QueryStatus(node int, id string) int {
	return w.ask(statusQuery, id, w.nodes[node].addr, nil, pollTimeout).status
}

// QueryConcurrently queries a job and repeats its submission at each controller, the given number
// of times each and milliseconds apart. It returns the number of answers with a state by
// controller.
func (w *Cluster) QueryConcurrently(id string, times int) []int {
	w.mu.Lock()
	spec := w.jobs[id].spec
	delays := make([]time.Duration, 2*times*len(w.nodes))
	for i := range delays {
		delays[i] = time.Duration(w.pick(6000)) * time.Microsecond
	}
	w.mu.Unlock()
	answers := make([]int, len(w.nodes))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range delays {
		n, kind, body := i/2%len(w.nodes), statusQuery, any(nil)
		if i%2 == 1 {
			kind, body = submission, spec
		}
		wg.Go(func() {
			time.Sleep(time.Duration(i/(2*len(w.nodes)))*6*time.Millisecond + delays[i])
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
