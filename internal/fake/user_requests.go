package fake

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// This file has what users are told checked for each of them across all nodes: no
// answer may be older than one that the user had before sending the request. Which
// came first is counted and not timed, since much happens in one simulated moment.
// An answer to a request that was under way when a newer one came is not blamed:
// the node may have read before.

// What users ask.
const (
	submission = iota
	question
	cancellation
)

// answerLog are when a user first had which answer, by the cluster's count; 0: not yet.
type answerLog struct {
	accepted uint64 // that the job is known
	final    uint64 // that it is over
	created  int    // how often it was newly accepted
}

// userReply is what came of a user's request.
type userReply struct {
	sent   uint64
	status int    // 0: no answer
	state  string // of a 200 or 201
}

// path is where users ask about a job.
func path(what int, id string) string {
	switch what {
	case question:
		return wire.PathJobs + "/" + id
	case cancellation:
		return wire.PathJobs + "/" + id + "/cancel"
	}
	return wire.PathJobs
}

// ask sends a user's request to a node once, and checks the answer. A body that is
// a wire.Raw is sent as it is.
func (w *Cluster) ask(what int, id, addr string, body any, limit time.Duration) (r userReply) {
	ctx, cancel := context.WithTimeout(w.ctx, limit)
	defer cancel()
	method := http.MethodPost
	if what == question {
		method = http.MethodGet
	}
	var in io.Reader
	if body != nil {
		b, err := wire.Marshal(body)
		if err != nil {
			panic(err) // a scenario is made wrong
		}
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path(what, id), in)
	if err != nil {
		panic(err) // a scenario is made wrong
	}
	w.noteFaults()
	w.mu.Lock()
	w.requestClock++
	r = userReply{sent: w.requestClock}
	w.mu.Unlock()
	if what == question {
		defer func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.checkAnswered(id, r.answered())
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
			w.breaks("%s answered %d with %.80q", id, r.status, out)
			return r
		}
		r.state = s.State
	}
	if shed := r.status == http.StatusTooManyRequests || r.status == http.StatusServiceUnavailable; shed && resp.Header.Get("Retry-After") == "" {
		w.breaks("%s answered %d without Retry-After", id, r.status)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hear(what, id, r)
	return r
}

// hear checks a node's answer against the rules and what the user was told before;
// the lock is held.
func (w *Cluster) hear(what int, id string, r userReply) {
	w.requestClock++
	j := w.jobs[id]
	known := j != nil && j.accepted && j.answers.accepted <= r.sent
	switch r.status {
	case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return // nothing is said
	case http.StatusNotFound:
		if known {
			w.breaksLocked("forgotten: %s answered 404", id)
		}
		return
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		if known || what != submission {
			w.breaksLocked("forgotten: %s answered %d", id, r.status)
		}
		return
	case http.StatusOK, http.StatusCreated:
	default:
		w.breaksLocked("%s answered %d", id, r.status)
		return
	}
	if j == nil {
		w.breaksLocked("invented: %s", id)
		return
	}
	if !j.accepted {
		j.accepted, j.answers.accepted = true, w.requestClock
		if why := w.misfit(&j.spec); why != "" {
			w.breaksLocked("accepted: %s, which %s", id, why)
		}
	}
	if r.status == http.StatusCreated {
		j.answers.created++
		again := j.answers.created > 1 || known && j.answers.accepted > 0
		if again && !w.Store.corrupted.Load() {
			w.breaksLocked("accepted twice: %s", id)
		}
	}
	over := r.state == wire.JobDone || r.state == wire.JobCancelled
	switch {
	case over && j.said != "" && r.state != j.said, !over && j.said != "" && j.answers.final <= r.sent:
		w.breaksLocked("went_back: %s called %s after %s", id, r.state, j.said)
	case what == cancellation && !over:
		w.breaksLocked("cancelling %s is answered %q", id, r.state)
	}
	if !over {
		return
	}
	if r.state == wire.JobDone && len(j.done) < j.spec.Tasks {
		w.breaksLocked("not_done: %s with %d of %d", id, len(j.done), j.spec.Tasks)
	}
	if r.state == wire.JobCancelled {
		if !j.asked {
			w.breaksLocked("went_back: %s called cancelled unasked", id)
		}
		if j.cancelled.IsZero() {
			j.cancelled = time.Now()
		}
	}
	if j.said == "" {
		j.answers.final = w.requestClock
	}
	j.said = r.state
}

// misfit says why a job can never run; "" if it can. The lock is held.
func (w *Cluster) misfit(j *wire.Job) string {
	tasks := 1.0
	if j.Kind != wire.KindArray {
		tasks = float64(j.Tasks)
	}
	i := slices.IndexFunc(w.Settings.Cluster.Teams, func(t config.Team) bool { return t.Name == j.Team })
	if i < 0 {
		return "is of no team"
	}
	if t := w.Settings.Cluster.Teams[i]; t.CPUsMax > 0 && j.CPUs*tasks > t.CPUsMax+1e-6 || t.GPUsMax > 0 && j.GPUs*tasks > t.GPUsMax+1e-6 {
		return "needs more than its team's limit"
	}
	if !slices.ContainsFunc(w.Cloud.types, func(t wire.MachineType) bool {
		return (len(j.Types) == 0 || slices.Contains(j.Types, t.Name)) && (j.Zone == "" || slices.Contains(t.ZonesNamed, j.Zone)) &&
			j.CPUs <= t.CPUs && j.GPUs <= t.GPUs && j.MemoryGB <= t.MemoryGB
	}) {
		return "fits no machine"
	}
	return ""
}

// SubmitTo sends a job to a node once, and returns the status and the state it is told.
func (w *Cluster) SubmitTo(node int, j wire.Job) (status int, state string) {
	r := w.submit(w.nodes[node].bind, j)
	return r.status, r.state
}

// QueryStatus asks a node for a job once, and returns the status.
func (w *Cluster) QueryStatus(node int, id string) int {
	return w.ask(question, id, w.nodes[node].bind, nil, 2*time.Second).status
}

// QueryConcurrently asks for a job at all nodes within milliseconds, that often, and
// repeats its submission. It returns how many answers came by way of each node.
func (w *Cluster) QueryConcurrently(id string, often int) []int {
	w.mu.Lock()
	spec := w.jobs[id].spec
	waits := make([]time.Duration, 2*often*len(w.nodes))
	for i := range waits {
		waits[i] = time.Duration(w.pick(6000)) * time.Microsecond
	}
	w.mu.Unlock()
	told := make([]int, len(w.nodes))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range waits {
		n, what, body := i/2%len(w.nodes), question, any(nil)
		if i%2 == 1 {
			what, body = submission, spec
		}
		wg.Go(func() {
			time.Sleep(time.Duration(i/(2*len(w.nodes)))*6*time.Millisecond + waits[i])
			if a := w.ask(what, id, w.nodes[n].bind, body, 5*time.Second); a.state != "" {
				mu.Lock()
				told[n]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return told
}

// UnusualRequests is how many requests of a kind that users seldom send were answered for good.
type UnusualRequests struct {
	Known   int // repeated submissions, with whatever body, and cancellations of done jobs
	Refused int // submissions that can't be accepted
	Unknown int // questions and cancellations of jobs that nobody submitted
}

// oddKinds are what OddRequests draws from.
const oddKinds = 10

// SendUnusualRequests sends each node so many requests that users seldom send: submissions
// of known jobs again, as they were or damaged, cancellations of jobs that are
// done, jobs that can't be accepted, and ids that nobody has used.
func (w *Cluster) SendUnusualRequests(each int) (odd UnusualRequests) {
	var known, over []string
	w.mu.Lock()
	for id, j := range w.jobs {
		if wire.ValidUserID(id) && j.accepted {
			known = append(known, id)
			if j.said == wire.JobDone {
				over = append(over, id)
			}
		}
	}
	slices.Sort(known)
	slices.Sort(over)
	w.mu.Unlock()
	for _, n := range w.nodes {
		for range each {
			w.mu.Lock()
			kind, a, b := w.pick(oddKinds), w.pick(max(1, len(known))), w.pick(max(1, len(over)))
			invalid := w.pick(4 * len(invalidFields))
			w.unusualIDs++
			spec := wire.Job{ID: fmt.Sprintf("wk-8%07d", w.unusualIDs), Class: "odd", Team: w.Settings.Cluster.Teams[0].Name, Kind: wire.KindArray,
				Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img-odd", ImageGB: 1, EstimateS: 5}
			if kind < 3 && len(known) > 0 {
				spec = w.jobs[known[a]].spec
			}
			lacking, short := lackings[w.pick(len(lackings))], w.pick(2) == 0
			w.mu.Unlock()
			id, count := spec.ID, &odd.Refused
			var r userReply
			want := 0
			switch {
			case kind < 2 && len(known) > 0:
				count, want = &odd.Known, http.StatusOK
				r = w.ask(submission, id, n.bind, damaged(spec, lacking, kind == 1, short), 5*time.Second)
			case kind == 2 && len(over) > 0:
				count, want, id = &odd.Known, http.StatusOK, over[b]
				r = w.ask(cancellation, id, n.bind, nil, 5*time.Second)
			case kind == 3:
				spec.CPUs, want = 1e6, http.StatusUnprocessableEntity
				r = w.ask(submission, id, n.bind, spec, 5*time.Second)
			case kind == 4:
				want = http.StatusBadRequest
				r = w.ask(submission, id, n.bind, damaged(spec, lacking, true, short), 5*time.Second)
			case kind == 5:
				count, want = &odd.Unknown, http.StatusNotFound
				r = w.ask(question, id, n.bind, nil, 2*time.Second)
			case kind == 6:
				count, want = &odd.Unknown, http.StatusNotFound
				r = w.ask(cancellation, id, n.bind, nil, 5*time.Second)
			case kind == 7:
				spec.Team, want = "nobody", http.StatusUnprocessableEntity
				r = w.ask(submission, id, n.bind, spec, 5*time.Second)
			case kind == 8:
				spec, want = beyondLimit(spec, w.Settings.Cluster.Teams), http.StatusUnprocessableEntity
				r = w.ask(submission, id, n.bind, spec, 5*time.Second)
			case kind == 9:
				want = http.StatusBadRequest
				r = w.ask(submission, id, n.bind, malformed(spec, invalid), 5*time.Second)
			}
			switch r.status {
			case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			case want:
				*count++
			default:
				w.breaks("odd request %d of %s answered %d, not %d", kind, id, r.status, want)
			}
		}
	}
	return odd
}

// beyondLimit is a gang that needs more than its team's limit, of a team that has one, and
// else one that no team has.
func beyondLimit(j wire.Job, teams []config.Team) wire.Job {
	i := slices.IndexFunc(teams, func(t config.Team) bool { return t.CPUsMax > 0 })
	if i < 0 {
		j.Team = "nobody"
		return j
	}
	j.Kind, j.Team, j.Tasks = wire.KindGang, teams[i].Name, int(teams[i].CPUsMax)+1
	return j
}

// invalidFields are values that a field must not have.
var invalidFields = []struct {
	name  string
	value any
}{
	{"pieces", -1}, {"pieces", 0}, {"pieces", wire.MaxTasks + 1}, {"pieces", 1.5}, {"pieces", "two"}, {"cpus", -2.0}, {"cpus", "two"},
	{"cpus", nil}, {"facon", "swarm"}, {"rang", "low"}, {"gammes", []any{1}}, {"oneZone", 1}, {"dureeS", -1.0}, {"gabarit", 7},
}

// encoded is a submission as it is sent, and its fields by their wire names.
func encoded(j wire.Job) (raw []byte, fields map[string]any) {
	raw, err := wire.Marshal(j)
	if err == nil {
		err = wire.Unmarshal(raw, &fields)
	}
	if err != nil {
		panic(err) // a scenario is made wrong
	}
	return raw, fields
}

// malformed is a submission with an invalid field, or none at all.
func malformed(j wire.Job, draw int) any {
	switch draw % 4 {
	case 0:
		return wire.Raw{0xc1} // no MessagePack begins so
	case 1:
		return []string{"not", "a", "map"}
	}
	_, fields := encoded(j)
	invalid := invalidFields[draw/4%len(invalidFields)]
	fields[invalid.name] = invalid.value
	return fields
}

// lackings are fields without which a job is not accepted.
var lackings = []string{"pieces", "cpus", "facon", "gabarit", "oneZone"}

// damaged is a submission that lacks a field, or is cut off after its id, if it is to be.
func damaged(j wire.Job, lacking string, bad, short bool) any {
	if !bad {
		return j
	}
	raw, m := encoded(j)
	if at := strings.Index(string(raw), j.ID); short && at >= 0 {
		return wire.Raw(raw[:at+len(j.ID)+3])
	}
	delete(m, lacking)
	return m
}
