package fake

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// An outdated answer is a violation only if its request was sent after the newer answer arrived.
// The controller may have read the state of an earlier request before.
func TestReplyIsComparedOnlyWithRepliesBeforeItsRequest(t *testing.T) {
	const id = "wk-000001"
	type step struct {
		kind   requestKind
		status int
		state  string
		early  bool // sent before the first answer
	}
	accepted := step{submission, http.StatusCreated, wire.JobPending, false}
	over := step{cancellation, http.StatusOK, wire.JobCancelled, false}
	for _, c := range []struct {
		name  string
		team  string
		steps []step
		want  string // prefix of the violations; "": none
	}{
		{"in order", "core", []step{accepted, {statusQuery, 200, wire.JobRunning, false}, over, {submission, 200, wire.JobCancelled, false}}, ""},
		{"not known, asked before", "core", []step{accepted, {statusQuery, 404, "", true}}, ""},
		{"not known, asked after", "core", []step{accepted, {statusQuery, 404, "", false}}, "forgotten"},
		{"cancel: not known", "core", []step{accepted, {cancellation, 404, "", false}}, "forgotten"},
		{"pending, asked before", "core", []step{accepted, over, {statusQuery, 200, wire.JobPending, true}}, ""},
		{"pending, asked after", "core", []step{accepted, over, {statusQuery, 200, wire.JobPending, false}}, "went_back"},
		{"repeat: pending, asked after", "core", []step{accepted, over, {submission, 200, wire.JobPending, false}}, "went_back"},
		{"two ends, asked before", "core", []step{accepted, over, {statusQuery, 200, wire.JobDone, true}}, "went_back"},
		{"created twice, asked before", "core", []step{accepted, {submission, 201, wire.JobPending, true}}, "accepted twice"},
		{"refused, asked before", "core", []step{accepted, {submission, 422, "", true}}, ""},
		{"refused, asked after", "core", []step{accepted, {submission, 422, "", false}}, "forgotten"},
		{"a cancellation says pending", "core", []step{accepted, {cancellation, 200, wire.JobPending, false}}, "cancelling"},
		{"no team", "nobody", []step{accepted}, "accepted"},
		{"a redirect", "core", []step{accepted, {statusQuery, 307, "", false}}, "wk-000001 answered 307"},
	} {
		w := &Cluster{Settings: &config.Settings{Cluster: config.Cluster{Teams: []config.Team{{Name: "core"}}}},
			Store: NewKVStore(12), Cloud: &Cloud{types: []wire.MachineType{DefaultType}},
			jobs: map[string]*job{id: {spec: wire.Job{ID: id, Team: c.team, Kind: wire.KindArray, Tasks: 1, CPUs: 1}, cancelRequested: true, done: map[int]bool{0: true}, cancelConfirmedAt: time.Time{}}}}
		for _, s := range c.steps {
			r := userReply{sentAt: w.requestClock, status: s.status, state: s.state}
			if s.early {
				r.sentAt = 0
			}
			w.checkReply(s.kind, id, r)
		}
		if got := strings.Join(w.Violations(), "; "); (got == "") != (c.want == "") || !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: violations %q, want prefix %q", c.name, got, c.want)
		}
	}
}
