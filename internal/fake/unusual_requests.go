// Requests that users rarely send: repeated, damaged, invalid and unknown ones.

package fake

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// UnusualRequests counts requests of SendUnusualRequests that got the expected answer.
type UnusualRequests struct {
	Known   int // repeated submissions, intact or damaged, and cancellations of done jobs
	Refused int // submissions that must be refused
	Unknown int // status queries and cancellations of jobs that nobody submitted
}

// unusualKind is a kind of unusual request.
type unusualKind int

const (
	repeatedSubmission unusualKind = iota
	repeatedDamagedSubmission
	cancellationOfDone
	submissionTooLarge
	damagedSubmission
	unknownStatusQuery
	unknownCancellation
	submissionOfUnknownTeam
	submissionBeyondQuota
	malformedSubmission
	unusualKinds // number of kinds
)

// unusualRequest holds all random choices for a request, including those that its kind ignores.
type unusualRequest struct {
	kind         unusualKind
	job          wire.Job // an accepted one if the kind repeats a submission
	done         string   // id of a job that is done; "": there is none
	known        bool     // there are accepted jobs
	invalid      int      // selects how the body is malformed; see malformed
	missingField string   // the field that a damaged submission lacks
	truncated    bool     // a damaged submission is truncated after the id instead
}

// SendUnusualRequests sends each controller the given number of requests that users rarely send:
// repeated submissions of accepted jobs, intact or damaged; cancellations of done jobs; invalid
// jobs; and status queries and cancellations with unused ids. A wrong answer is a violation.
func (w *Cluster) SendUnusualRequests(each int) (sent UnusualRequests) {
	known, done := w.acceptedJobs()
	for _, n := range w.nodes {
		for range each {
			w.sendUnusualRequest(n, w.drawUnusualRequest(known, done), &sent)
		}
	}
	return sent
}

// acceptedJobs returns the sorted ids of the users' accepted jobs, and of those among them that are
// done.
func (w *Cluster) acceptedJobs() (known, done []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		if wire.ValidUserID(id) && j.accepted {
			known = append(known, id)
			if j.finalState == wire.JobDone {
				done = append(done, id)
			}
		}
	}
	slices.Sort(known)
	slices.Sort(done)
	return known, done
}

// drawUnusualRequest draws the next request. It always draws the same number of random values.
func (w *Cluster) drawUnusualRequest(known, done []string) (r unusualRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.kind, r.known = unusualKind(w.pick(int(unusualKinds))), len(known) > 0
	knownIndex, doneIndex := w.pick(max(1, len(known))), w.pick(max(1, len(done)))
	r.invalid = w.pick(4 * len(invalidFields))
	w.unusualIDs++
	r.job = wire.Job{ID: fmt.Sprintf("wk-8%07d", w.unusualIDs), Class: "odd", Team: w.Settings.Cluster.Teams[0].Name, Kind: wire.KindArray,
		Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img-odd", ImageGB: 1, EstimateS: 5}
	if r.kind <= cancellationOfDone && r.known {
		r.job = w.jobs[known[knownIndex]].spec
	}
	if len(done) > 0 {
		r.done = done[doneIndex]
	}
	r.missingField, r.truncated = requiredFields[w.pick(len(requiredFields))], w.pick(2) == 0
	return r
}

// sendUnusualRequest sends a request to a controller, checks the status of the answer and counts
// it. Requests without an answer, or refused because of overload, don't count.
func (w *Cluster) sendUnusualRequest(n *node, u unusualRequest, sent *UnusualRequests) {
	var r userReply
	var want int
	count, j, id := &sent.Refused, u.job, u.job.ID
	submit := func(body any) userReply { return w.ask(submission, j.ID, n.addr, body, requestTimeout) }
	switch {
	case u.kind == repeatedSubmission && u.known:
		count, want = &sent.Known, http.StatusOK
		r = submit(j)
	case u.kind == repeatedDamagedSubmission && u.known:
		count, want = &sent.Known, http.StatusOK
		r = submit(damaged(u))
	case u.kind == cancellationOfDone && u.done != "":
		count, want, id = &sent.Known, http.StatusOK, u.done
		r = w.ask(cancellation, id, n.addr, nil, requestTimeout)
	case u.kind == submissionTooLarge:
		want = http.StatusUnprocessableEntity
		j.CPUs = 1e6
		r = submit(j)
	case u.kind == damagedSubmission:
		want = http.StatusBadRequest
		r = submit(damaged(u))
	case u.kind == unknownStatusQuery:
		count, want = &sent.Unknown, http.StatusNotFound
		r = w.ask(statusQuery, j.ID, n.addr, nil, pollTimeout)
	case u.kind == unknownCancellation:
		count, want = &sent.Unknown, http.StatusNotFound
		r = w.ask(cancellation, j.ID, n.addr, nil, requestTimeout)
	case u.kind == submissionOfUnknownTeam:
		want = http.StatusUnprocessableEntity
		j.Team = "nobody"
		r = submit(j)
	case u.kind == submissionBeyondQuota:
		want = http.StatusUnprocessableEntity
		r = submit(beyondQuota(j, w.Settings.Cluster.Teams))
	case u.kind == malformedSubmission:
		want = http.StatusBadRequest
		r = submit(malformed(j, u.invalid))
	}
	switch r.status {
	case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable:
	case want:
		*count++
	default:
		w.violations.add("odd request %d of %s answered %d, not %d", u.kind, id, r.status, want)
	}
}

// beyondQuota returns a gang that needs more CPUs than the quota of its team. If no team has a CPU
// quota, it returns a job of a team that doesn't exist.
func beyondQuota(j wire.Job, teams []config.Team) wire.Job {
	i := slices.IndexFunc(teams, func(t config.Team) bool { return t.CPUsMax > 0 })
	if i < 0 {
		j.Team = "nobody"
		return j
	}
	j.Kind, j.Team, j.Tasks = wire.KindGang, teams[i].Name, int(teams[i].CPUsMax)+1
	return j
}

// invalidFields are invalid values of fields, by the fields' wire names.
var invalidFields = []struct {
	name  string
	value any
}{
	{"pieces", -1}, {"pieces", 0}, {"pieces", wire.MaxTasks + 1}, {"pieces", 1.5}, {"pieces", "two"}, {"cpus", -2.0}, {"cpus", "two"},
	{"cpus", nil}, {"facon", "swarm"}, {"rang", "low"}, {"gammes", []any{1}}, {"oneZone", 1}, {"dureeS", -1.0}, {"gabarit", 7},
}

// encoded returns a submission in its encoded form, and its fields by their wire names.
func encoded(j wire.Job) (raw []byte, fields map[string]any) {
	raw, err := wire.Marshal(j)
	if err == nil {
		err = wire.Unmarshal(raw, &fields)
	}
	if err != nil {
		panic(err) // every wire.Job can be encoded
	}
	return raw, fields
}

// malformed returns a body that is no MessagePack, no map, or a submission with an invalid field,
// as selected by draw.
func malformed(j wire.Job, draw int) any {
	switch draw % 4 {
	case 0:
		return wire.Raw{0xc1} // a byte that MessagePack never uses
	case 1:
		return []string{"not", "a", "map"}
	}
	_, fields := encoded(j)
	invalid := invalidFields[draw/4%len(invalidFields)]
	fields[invalid.name] = invalid.value
	return fields
}

// requiredFields are the wire names of fields that a submission must have.
var requiredFields = []string{"pieces", "cpus", "facon", "gabarit", "oneZone"}

// damaged returns a submission that lacks a field, or is truncated after its id.
func damaged(u unusualRequest) any {
	raw, fields := encoded(u.job)
	if at := bytes.Index(raw, []byte(u.job.ID)); u.truncated && at >= 0 {
		return wire.Raw(raw[:at+len(u.job.ID)+3])
	}
	delete(fields, u.missingField)
	return fields
}
