package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/metrics"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// Operations of users.
const (
	opSubmit = "submit"
	opStatus = "show"
	opCancel = "cancel"
)

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
	mux.HandleFunc("POST "+wire.PathReport, n.serveHeartbeat)
	return mux
}

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

func newAnswer(status int, v any, retryAfter int) peerrpc.Answer {
	b, err := wire.Marshal(v)
	if err != nil {
		return peerrpc.Answer{Status: http.StatusInternalServerError}
	}
	return peerrpc.Answer{Status: status, Body: b, RetryAfter: retryAfter}
}

func writeError(w http.ResponseWriter, status int, text string, retryAfter int) {
	writeAnswer(w, newAnswer(status, wire.Error{Error: text}, retryAfter))
}

func (n *Node) handleUserWrite(w http.ResponseWriter, r *http.Request, op string) {
	n.markUserConnection(w, r)
	select {
	case n.userSlots <- struct{}{}:
		defer func() { <-n.userSlots }()
	default:
		n.metrics.Refused("too many users' requests")
		writeError(w, http.StatusTooManyRequests, "too many requests under way", 1)
		return
	}
	req := peerrpc.Request{Op: op, ID: r.PathValue("id")}
	if op == opSubmit {
		// One byte over the limit shows what is too large, and may have a known id.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody+1))
		var large *http.MaxBytesError
		if err != nil && !errors.As(err, &large) {
			return // the client is gone
		}
		req.Body = body
	}
	// Users give up after 5 s: an answer later than that is none.
	ctx, cancel := context.WithTimeout(r.Context(), 3500*time.Millisecond)
	defer cancel()
	at := time.Now()
	a := n.serveUserRequest(ctx, req)
	if op == opSubmit && a.Status == http.StatusCreated {
		n.metrics.Took(metrics.Accepted, time.Since(at).Seconds())
	}
	n.countRefusal(op, a)
	writeAnswer(w, a)
}

func (n *Node) countRefusal(op string, a peerrpc.Answer) {
	if a.Status >= http.StatusBadRequest && a.Status != http.StatusNotFound {
		n.metrics.Refused(op + " " + strconv.Itoa(a.Status))
	}
}

const (
	// pollTimeout is how long a poll may take: users wait 2 s.
	pollTimeout = 1700 * time.Millisecond
	// pollQueueTimeout is for how much of that it waits for those before it. One that
	// waits in vain is told to come again while there is time to ask elsewhere.
	pollQueueTimeout = 800 * time.Millisecond
)

// handlePoll answers a user's poll. Submissions don't take polls' places, and where
// there are too many polls, those whose turn is far are told at once to come
// again: no job is the one that is turned away every time.
func (n *Node) handlePoll(w http.ResponseWriter, r *http.Request) {
	n.markUserConnection(w, r)
	id := r.PathValue("id")
	if v, ok := n.jobs.CachedFinal(id); ok {
		writeAnswer(w, newAnswer(http.StatusOK, n.statusOf(v), 0))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), pollTimeout)
	defer cancel()
	now := time.Now()
	waits, done := context.WithTimeout(ctx, pollQueueTimeout)
	err := n.pollLimiter.Acquire(waits, n.pollTurns.Priority(id, now))
	done()
	if err != nil {
		n.metrics.Refused("too many users' polls")
		writeError(w, http.StatusTooManyRequests, "too many polls under way", n.pollTurns.RetryAfterS(id, now))
		return
	}
	defer n.pollLimiter.Release()
	a := n.serveUserRequest(ctx, peerrpc.Request{Op: opStatus, ID: id})
	if a.Status == http.StatusServiceUnavailable {
		a.RetryAfter = n.pollTurns.RetryAfterS(id, now)
	}
	n.countRefusal(opStatus, a)
	writeAnswer(w, a)
}

// serveUserRequest serves a user's request here, or asks another node where the state
// service does not serve this one.
func (n *Node) serveUserRequest(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	local := n.kvReachable()
	if local {
		a, err := n.serveLocally(ctx, r)
		if err == nil {
			return a
		}
		n.log.Debug("user request", "op", r.Op, "id", r.ID, "err", err)
		if errors.Is(err, kvstore.ErrRateLimited) {
			// The others are as busy, and asking them would make it worse.
			return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the state service is busy"}, busyRetryAfterS)
		}
	}
	if a, ok := n.forwardToPeers(ctx, r); ok {
		return a
	}
	if !local {
		if a, err := n.serveLocally(ctx, r); err == nil {
			return a
		}
	}
	return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the state service is not reached"}, 1)
}

const (
	// busyRetryAfterS is after how many seconds a user is to come back to a service
	// that is asked for too much.
	busyRetryAfterS = 2
	// peerRequestTimeout is how long one other node is waited for: one that stands still
	// takes connections and answers nothing, and there are others to be asked
	// within the user's time.
	peerRequestTimeout = 700 * time.Millisecond
)

// forwardToPeers passes a user's request to the other nodes, those that answered last
// time first. A submission that is passed on twice is one all the same.
func (n *Node) forwardToPeers(ctx context.Context, r peerrpc.Request) (peerrpc.Answer, bool) {
	peers := slices.Clone(n.peers)
	slices.SortStableFunc(peers, func(a, b *peerrpc.Peer) int { return a.FailedAt().Compare(b.FailedAt()) })
	for _, p := range peers {
		if ctx.Err() != nil {
			break
		}
		pctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
		a, err := p.ForwardUserRequest(pctx, r)
		cancel()
		if err == nil && a.Status != http.StatusServiceUnavailable {
			return a, true
		}
	}
	return peerrpc.Answer{}, false
}

// HandleUserRequest implements mesh.Handler: it serves a request another node received.
func (n *Node) HandleUserRequest(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	if n.kvReachable() {
		if r.From != "" {
			return n.serveForwardedWrite(ctx, r)
		}
		if a, err := n.serveLocally(ctx, r); err == nil {
			return a
		}
	}
	return newAnswer(http.StatusServiceUnavailable, wire.Error{Error: "the state service is not reached"}, 1)
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

// retryRefused repeats what the state service refused, while there is time.
func retryRefused(ctx context.Context, f func() error) error {
	for try := 0; ; try++ {
		err := f()
		if !errors.Is(err, kvstore.ErrRefused) || try >= 3 || try >= 1 && errors.Is(err, kvstore.ErrRateLimited) || !call.Pause(ctx, time.Duration(80+60*try)*time.Millisecond) {
			return err
		}
	}
}

func (n *Node) statusOf(v jobstore.JobStatus) wire.JobStatus {
	s := wire.JobStatus{ID: v.Record.Job.ID, State: v.Record.State, Done: v.DoneTasks, Running: v.PlacedTasks}
	if v.Version == 0 {
		s.Running = 0
		if s.State == wire.JobDone {
			s.Done = v.Record.Job.Tasks
		}
		return s
	}
	s.State = wire.JobPending
	if v.PlacedTasks > 0 {
		s.State = wire.JobRunning
	}
	return s
}

func (n *Node) lookup(ctx context.Context, id string) (v jobstore.JobStatus, found bool, err error) {
	err = retryRefused(ctx, func() error {
		v, found, err = n.jobs.Lookup(ctx, id)
		return err
	})
	return v, found, err
}

func (n *Node) jobStatus(ctx context.Context, id string) (peerrpc.Answer, error) {
	if !wire.ValidUserID(id) {
		return newAnswer(http.StatusNotFound, wire.Error{Error: "no such job"}, 0), nil
	}
	v, found, err := n.lookup(ctx, id)
	if err != nil {
		return peerrpc.Answer{}, err
	}
	if !found {
		return newAnswer(http.StatusNotFound, wire.Error{Error: "no such job"}, 0), nil
	}
	return newAnswer(http.StatusOK, n.statusOf(v), 0), nil
}

// cancel takes a cancellation that users have sent here, or that another node, from,
// has passed on.
func (n *Node) cancel(ctx context.Context, id, from string) (peerrpc.Answer, error) {
	if !wire.ValidUserID(id) {
		return newAnswer(http.StatusNotFound, wire.Error{Error: "no such job"}, 0), nil
	}
	if _, over := n.jobs.CachedFinal(id); from == "" && !over {
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
		return newAnswer(http.StatusNotFound, wire.Error{Error: "no such job"}, 0), nil
	}
	n.log.Info("cancel answered", "id", id, "state", final)
	return newAnswer(http.StatusOK, wire.JobStatus{ID: id, State: final}, 0), nil
}

// submit takes a submission that users have sent here, or that another node, from,
// has passed on.
func (n *Node) submit(ctx context.Context, body []byte, from string) (peerrpc.Answer, error) {
	job, jerr := wire.DecodeJob(body)
	leave, ok := n.admitSubmission(job.Team, job.Class)
	if !ok {
		return newAnswer(http.StatusTooManyRequests, wire.Error{Error: "too many submissions under way"}, busyRetryAfterS), nil
	}
	defer leave()
	status := http.StatusBadRequest
	if jerr == nil {
		status, jerr = n.checkFeasible(&job)
	}
	if jerr != nil {
		// A known id is never refused, whatever a repeated submission says.
		if job.ID != "" {
			v, found, err := n.lookup(ctx, job.ID)
			if err != nil {
				return peerrpc.Answer{}, err
			}
			if found {
				return newAnswer(http.StatusOK, n.statusOf(v), 0), nil
			}
		}
		n.log.Info("submission refused", "status", status, "id", job.ID, "why", jerr)
		retry := 0
		if status == http.StatusServiceUnavailable {
			retry = 2
		}
		return newAnswer(status, wire.Error{Error: jerr.Error()}, retry), nil
	}
	if from == "" {
		if a, ok := n.forwardToBucketOwner(ctx, job.ID, peerrpc.Request{Op: opSubmit, Body: body}); ok {
			return a, nil
		}
	}
	var known bool
	at := time.Now()
	err := retryRefused(ctx, func() (err error) {
		known, err = n.jobs.Accept(ctx, job, at)
		if errors.Is(err, kvstore.ErrOutcomeUnknown) && ctx.Err() == nil {
			// It may have been committed: the guards tell.
			known, err = n.jobs.Accept(ctx, job, at)
		}
		return err
	})
	if err != nil {
		return peerrpc.Answer{}, err
	}
	if known {
		v, found, err := n.lookup(ctx, job.ID)
		if err != nil {
			return peerrpc.Answer{}, err
		}
		if found {
			return newAnswer(http.StatusOK, n.statusOf(v), 0), nil
		}
		return peerrpc.Answer{}, fmt.Errorf("job %s: known, but not found", job.ID)
	}
	return newAnswer(http.StatusCreated, wire.JobStatus{ID: job.ID, State: wire.JobPending}, 0), nil
}

// checkFeasible says whether a job can ever run: 422 if not, 503 if that is not known
// yet.
func (n *Node) checkFeasible(j *wire.Job) (int, error) {
	teamKnown := false
	for _, t := range n.cfg.Cluster.Teams {
		if t.Name != j.Team {
			continue
		}
		teamKnown = true
		times := 1.0
		if j.Kind != wire.KindArray {
			times = float64(j.Tasks)
		}
		if t.CPUsMax > 0 && j.CPUs*times > t.CPUsMax+1e-6 || t.GPUsMax > 0 && j.GPUs*times > t.GPUsMax+1e-6 {
			return http.StatusUnprocessableEntity, fmt.Errorf("needs more than the limit of team %s", j.Team)
		}
	}
	if !teamKnown {
		return http.StatusUnprocessableEntity, fmt.Errorf("unknown team %s", j.Team)
	}
	types := n.machineTypes()
	if types == nil {
		return http.StatusServiceUnavailable, errors.New("the machine types are not known yet")
	}
	zones := map[string]bool{}
	for i := range types {
		t := &types[i]
		allowed := len(j.Types) == 0
		for _, a := range j.Types {
			allowed = allowed || a == t.Name
		}
		if !allowed || j.CPUs > t.CPUs+1e-9 || j.GPUs > t.GPUs+1e-9 || j.MemoryGB > t.MemoryGB+1e-9 {
			continue
		}
		for _, z := range t.ZonesNamed {
			if j.Zone == "" || j.Zone == z {
				zones[z] = true
			}
		}
	}
	if len(zones) == 0 {
		return http.StatusUnprocessableEntity, errors.New("a task fits no allowed machine type")
	}
	if j.Spread && j.Kind != wire.KindArray && len(zones)*int(math.Ceil(float64(j.Tasks)/2)) < j.Tasks {
		return http.StatusUnprocessableEntity, errors.New("cannot be spread over the zones it may use")
	}
	return 0, nil
}
