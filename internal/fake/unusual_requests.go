package fake

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// This file sends requests that users seldom send: repeated, damaged, invalid and unknown.

// UnusualRequests is how many requests of a kind that users seldom send were answered for good.
type UnusualRequests struct {
	Known   int // repeated submissions, with whatever body, and cancellations of done jobs
	Refused int // submissions that can't be accepted
	Unknown int // questions and cancellations of jobs that nobody submitted
}

// unusualKind is what an unusual request is like.
type unusualKind int

const (
	repeatedSubmission unusualKind = iota
	repeatedDamagedSubmission
	cancellationOfDone
	submissionTooLarge
	damagedSubmission
	unknownQuestion
	unknownCancellation
	submissionOfNoTeam
	submissionBeyondQuota
	malformedSubmission
	unusualKinds // how many there are
)

// unusualRequest is what was drawn for a request, whether its kind needs it or not.
type unusualRequest struct {
	kind    unusualKind
	job     wire.Job // a known one where the kind repeats a submission
	done    string   // a job that is done; "": there is none
	known   bool     // there are known jobs
	invalid int      // how the body is malformed
	lacking string   // the field that a damaged submission lacks
	cutOff  bool     // it is cut off after the id instead
}

// SendUnusualRequests sends each node a number of requests that users seldom send: submissions
// of known jobs again, as they were or damaged, cancellations of jobs that are
// done, jobs that can't be accepted, and ids that nobody has used.
func (w *Cluster) SendUnusualRequests(each int) (sent UnusualRequests) {
	known, done := w.acceptedJobs()
	for _, n := range w.nodes {
		for range each {
			w.sendUnusualRequest(n, w.drawUnusualRequest(known, done), &sent)
		}
	}
	return sent
}

// acceptedJobs lists the users' jobs that are known to be accepted, and those that are done.
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

// drawUnusualRequest draws the next request.
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
	r.lacking, r.cutOff = requiredFields[w.pick(len(requiredFields))], w.pick(2) == 0
	return r
}

// sendUnusualRequest sends a request to a node, checks its answer's status and counts it.
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
	case u.kind == unknownQuestion:
		count, want = &sent.Unknown, http.StatusNotFound
		r = w.ask(question, j.ID, n.addr, nil, pollTimeout)
	case u.kind == unknownCancellation:
		count, want = &sent.Unknown, http.StatusNotFound
		r = w.ask(cancellation, j.ID, n.addr, nil, requestTimeout)
	case u.kind == submissionOfNoTeam:
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

// beyondQuota is a gang that needs more than its team's quota, of a team that has one, and
// else one that no team has.
func beyondQuota(j wire.Job, teams []config.Team) wire.Job {
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

// requiredFields are fields without which a job is not accepted.
var requiredFields = []string{"pieces", "cpus", "facon", "gabarit", "oneZone"}

// damaged is a submission that lacks a field, or is cut off after its id.
func damaged(u unusualRequest) any {
	raw, fields := encoded(u.job)
	if at := bytes.Index(raw, []byte(u.job.ID)); u.cutOff && at >= 0 {
		return wire.Raw(raw[:at+len(u.job.ID)+3])
	}
	delete(fields, u.lacking)
	return fields
}
