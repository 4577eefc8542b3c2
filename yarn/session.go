// Sessions of masters, and the authentication of callers by tokens.

package yarn

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// session is the session of a master at the controller to which the master is connected. It is in
// memory only. A master that connects to another controller, or to a restarted one, has to
// register again. The new session reports all containers again.
type session struct {
	mu           sync.Mutex
	attempt      int32                     // of the application
	responseID   int32                     // of lastResponse; 0 before the first heartbeat
	lastResponse *pb.AllocateResponseProto // nil before the first heartbeat
	reported     reportedContainers
	blacklist    map[string]bool // by node name
	recordedAt   time.Time       // when a heartbeat was last written to the application's record
}

// reportedContainers are the containers that were reported to a master, and the jobs that may have
// more to report.
type reportedContainers struct {
	allocated map[int64]bool  // by container number
	completed map[int64]bool  // by container number
	openJobs  map[string]bool // by id: jobs whose containers may not all be reported as completed
}

func newReportedContainers() reportedContainers {
	return reportedContainers{allocated: map[int64]bool{}, completed: map[int64]bool{}, openJobs: map[string]bool{}}
}

func (r *reportedContainers) clone() reportedContainers {
	return reportedContainers{allocated: maps.Clone(r.allocated), completed: maps.Clone(r.completed), openJobs: maps.Clone(r.openJobs)}
}

// blacklisted returns the sorted node names of the blacklist.
func (s *session) blacklisted() []string { return slices.Sorted(maps.Keys(s.blacklist)) }

func (s *session) updateBlacklist(b *pb.ResourceBlacklistRequestProto) {
	for _, node := range b.GetBlacklistAdditions() {
		s.blacklist[node] = true
	}
	for _, node := range b.GetBlacklistRemovals() {
		delete(s.blacklist, node)
	}
}

// unreported returns the number of containers of a job that are placed and not reported yet. The
// number that a master requests includes them. If they were not counted, a request that is
// repeated because its response was lost would be served twice.
func (r *reportedContainers) unreported(j *jobstore.ReservedJob) int {
	n := 0
	for task := range j.Placements {
		if !r.allocated[containerNumber(jobSeq(j.ID), task)] {
			n++
		}
	}
	return n
}

// session returns the session of the current attempt of an application, or nil if there is none.
func (f *Frontend) session(app *application) *session {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessions[app.name()]
	if s != nil && s.attempt == app.Attempt {
		return s
	}
	return nil
}

// tokenPassword returns the password of a master token or node token. The token must be of the
// current attempt of its application. Container tokens can't open a connection. If the token is
// not valid, the error is a *wire.Error.
func (f *Frontend) tokenPassword(ctx context.Context, identifier []byte) ([]byte, error) {
	t, err := parseToken(identifier)
	if err != nil {
		return nil, wire.Errorf(wire.ClassInvalidToken, "%v", err)
	}
	if t.kind != masterToken && t.kind != nodeToken {
		return nil, wire.Errorf(wire.ClassInvalidToken, "not a token for a connection")
	}
	if _, err := f.tokenApplication(ctx, t); err != nil {
		return nil, err
	}
	ring, err := f.cachedKeyring(ctx)
	if err != nil {
		return nil, err
	}
	password, err := ring.sign(t.key, t.String())
	if err != nil {
		return nil, wire.Errorf(wire.ClassInvalidToken, "%v", err)
	}
	return password, nil
}

// tokenApplication returns the application of a token. If the application has ended or the token is
// of an earlier attempt, the error has ClassNoAttempt.
func (f *Frontend) tokenApplication(ctx context.Context, t token) (*snapshot, error) {
	snap, err := f.readApplication(ctx, t.applicationID())
	if err != nil {
		return nil, err
	}
	if snap.ended() {
		return nil, wire.Errorf(wire.ClassNoAttempt, "application %s is over", snap.app.name())
	}
	if snap.app.Attempt != t.attempt {
		return nil, wire.Errorf(wire.ClassNoAttempt, "attempt %d of %s is over", t.attempt, snap.app.name())
	}
	return snap, nil
}

// callerToken returns the token with which a caller has authenticated itself. It fails if the token
// is not of the given kind.
func callerToken(c *wire.Caller, kind tokenKind) (token, error) {
	t, err := parseToken(c.Identifier)
	if err != nil || t.kind != kind {
		return token{}, wire.Errorf(wire.ClassInvalidToken, "not a token for this protocol")
	}
	return t, nil
}

// callerApplication returns the application of a caller that has authenticated itself with a token
// of the given kind.
func (f *Frontend) callerApplication(ctx context.Context, c *wire.Caller, kind tokenKind) (*snapshot, error) {
	t, err := callerToken(c, kind)
	if err != nil {
		return nil, err
	}
	return f.tokenApplication(ctx, t)
}

// applicationID returns the id of the application to which the token belongs.
func (t token) applicationID() *pb.ApplicationIdProto {
	return &pb.ApplicationIdProto{Id: proto.Int32(t.application), ClusterTimestamp: proto.Int64(t.clusterTimestamp)}
}
