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

// session is a master's session at the controller to which it is connected. It is in memory only:
// a master that connects to another controller, or to this one after a restart, has to register
// again, and all its containers are then reported to it again.
type session struct {
	mu           sync.Mutex
	attempt      int32
	responseID   int32
	lastResponse *pb.AllocateResponseProto
	reported     reportedContainers
	blacklist    map[string]bool // nodes
	recordedAt   time.Time       // when a heartbeat was last written to the record
}

// reportedContainers are the containers that were reported to a master, by their numbers, and
// the jobs that may have more to report.
type reportedContainers struct {
	allocated map[int64]bool
	completed map[int64]bool
	openJobs  map[string]bool // by id: jobs of which containers may still have to be reported
}

func newReportedContainers() reportedContainers {
	return reportedContainers{allocated: map[int64]bool{}, completed: map[int64]bool{}, openJobs: map[string]bool{}}
}

func (r *reportedContainers) clone() reportedContainers {
	return reportedContainers{allocated: maps.Clone(r.allocated), completed: maps.Clone(r.completed), openJobs: maps.Clone(r.openJobs)}
}

// blacklisted returns the nodes of the blacklist, sorted.
func (s *session) blacklisted() []string { return slices.Sorted(maps.Keys(s.blacklist)) }

func (s *session) updateBlacklist(b *pb.ResourceBlacklistRequestProto) {
	for _, node := range b.GetBlacklistAdditions() {
		s.blacklist[node] = true
	}
	for _, node := range b.GetBlacklistRemovals() {
		delete(s.blacklist, node)
	}
}

// unreported returns how many containers of a job are placed and not reported yet. The number that
// a master requests includes them: if they were not counted, a request that is repeated because
// its response was lost would be served twice.
func (r *reportedContainers) unreported(j *jobstore.ReservedJob) int {
	n := 0
	for task := range j.Placements {
		if !r.allocated[containerNumber(jobSeq(j.ID), task)] {
			n++
		}
	}
	return n
}

// session returns the session of an application's current attempt, or nil.
func (f *Frontend) session(a *application) *session {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessions[a.name()]
	if s != nil && s.attempt == a.Attempt {
		return s
	}
	return nil
}

// tokenPassword returns the password of a master's or node token whose application's attempt is
// the current one. Container tokens can't open a connection.
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
	k, err := f.cachedKeyring(ctx)
	if err != nil {
		return nil, err
	}
	password, err := k.sign(t.key, t.String())
	if err != nil {
		return nil, wire.Errorf(wire.ClassInvalidToken, "%v", err)
	}
	return password, nil
}

// tokenApplication reads the application of a token. It must not have ended, and the token must
// be of the current attempt.
func (f *Frontend) tokenApplication(ctx context.Context, t token) (*snapshot, error) {
	s, err := f.readApplication(ctx, t.applicationID())
	if err != nil {
		return nil, err
	}
	if s.ended() {
		return nil, wire.Errorf(wire.ClassNoAttempt, "application %s is over", s.app.name())
	}
	if s.app.Attempt != t.attempt {
		return nil, wire.Errorf(wire.ClassNoAttempt, "attempt %d of %s is over", t.attempt, s.app.name())
	}
	return s, nil
}

// callerToken returns the token with which a caller has authenticated itself. It must be of the
// kind that the protocol requires.
func callerToken(c *wire.Caller, kind tokenKind) (token, error) {
	t, err := parseToken(c.Identifier)
	if err != nil || t.kind != kind {
		return token{}, wire.Errorf(wire.ClassInvalidToken, "not a token for this protocol")
	}
	return t, nil
}

// callerApplication reads the application of a caller.
func (f *Frontend) callerApplication(ctx context.Context, c *wire.Caller, kind tokenKind) (*snapshot, error) {
	t, err := callerToken(c, kind)
	if err != nil {
		return nil, err
	}
	return f.tokenApplication(ctx, t)
}

// applicationID is the id of the application that the token belongs to.
func (t token) applicationID() *pb.ApplicationIdProto {
	return &pb.ApplicationIdProto{Id: proto.Int32(t.application), ClusterTimestamp: proto.Int64(t.clusterTimestamp)}
}
