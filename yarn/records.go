package yarn

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// States of an application in its record.
const (
	stateAccepted = "accepted" // no master has registered yet
	stateRunning  = "running"
	stateFinished = "finished"
	stateFailed   = "failed"
	stateKilled   = "killed"
)

// app is an application's record. Once Ending is set its jobs are cancelled, and
// then it moves to the final records.
type app struct {
	Num       int32    `msgpack:"n"`
	Stamp     int64    `msgpack:"ts"`
	Name      string   `msgpack:"name"`
	User      string   `msgpack:"u"`
	Queue     string   `msgpack:"q"`
	Type      string   `msgpack:"type"`
	Tags      []string `msgpack:"tags,omitempty"`
	Priority  int32    `msgpack:"p"`
	Unmanaged bool     `msgpack:"um"`
	State     string   `msgpack:"st"`
	Ending    string   `msgpack:"end,omitempty"` // the state that it ends in
	Final     int32    `msgpack:"fin"`
	Diag      string   `msgpack:"diag,omitempty"`
	Attempt   int32    `msgpack:"a"`
	Attempts  int32    `msgpack:"max"`
	Host      string   `msgpack:"h,omitempty"`
	Port      int32    `msgpack:"port,omitempty"`
	URL       string   `msgpack:"url,omitempty"`
	Started   int64    `msgpack:"ms"`
	Finished  int64    `msgpack:"fms,omitempty"`
	Seq       int      `msgpack:"s"`               // the next job's number
	MasterJob string   `msgpack:"am,omitempty"`    // of the current attempt, if it is managed
	Context   string   `msgpack:"ctx,omitempty"`   // key of the master's launch context
	Master    ask      `msgpack:"amask,omitempty"` // what the master needs
	Beat      int      `msgpack:"b"`               // counts signs of life that were written down
}

// ask is what one kind of container needs, and where.
type ask struct {
	Priority int32    `msgpack:"p"`
	ReqID    int64    `msgpack:"r"`
	Name     string   `msgpack:"n"` // node, rack or *
	Relax    bool     `msgpack:"x"`
	Label    string   `msgpack:"l,omitempty"`
	MemoryMB int64    `msgpack:"m"`
	VCores   int32    `msgpack:"c"`
	GPUs     int64    `msgpack:"g,omitempty"`
	GPUName  string   `msgpack:"gn,omitempty"`
	Only     []string `msgpack:"-"`
}

// keyring is the record of what signs tokens, and of which ids were given out.
type keyring struct {
	Stamp int64    `msgpack:"ts"` // of the cluster; part of every id
	Next  int32    `msgpack:"next"`
	Keys  []secret `msgpack:"keys"`
}

type secret struct {
	ID  int    `msgpack:"id"`
	Hex string `msgpack:"k"`
}

const (
	keysKept = 8 // older ones sign nothing any more and are refused
	keysKey  = jobstore.AppPrefix + "keys"
	finalKey = "yf/"
	ctxKey   = "yx/"
	idBlock  = 50 // ids that a node takes at once
	// jobTasks is the most containers in one job, and the room in a container's
	// id for its number within the job.
	jobTasks = 512
	idTasks  = 1024
)

func newSecret(id int) (secret, error) {
	b := make([]byte, 32)
	if _, err := rand.Read(b); err != nil {
		return secret{}, fmt.Errorf("yarn: %w", err)
	}
	return secret{ID: id, Hex: hex.EncodeToString(b)}, nil
}

func (k *keyring) newest() int {
	if len(k.Keys) == 0 {
		return 0
	}
	return k.Keys[len(k.Keys)-1].ID
}

func (k *keyring) sign(id int, what string) ([]byte, error) {
	for _, s := range k.Keys {
		if s.ID != id {
			continue
		}
		raw, err := hex.DecodeString(s.Hex)
		if err != nil {
			return nil, fmt.Errorf("yarn: key %d: %w", id, err)
		}
		h := hmac.New(sha256.New, raw)
		h.Write([]byte(what))
		return h.Sum(nil), nil
	}
	return nil, errors.New("signed with a key that is no longer kept")
}

func appKey(stamp int64, num int32) string { return jobstore.AppPrefix + appName(stamp, num) }

func appName(stamp int64, num int32) string { return fmt.Sprintf("application_%d_%04d", stamp, num) }

func (a *app) name() string { return appName(a.Stamp, a.Num) }
func (a *app) key() string  { return appKey(a.Stamp, a.Num) }
func (a *app) id() *pb.ApplicationIdProto {
	return &pb.ApplicationIdProto{Id: proto.Int32(a.Num), ClusterTimestamp: proto.Int64(a.Stamp)}
}
func (a *app) attemptID() *pb.ApplicationAttemptIdProto {
	return &pb.ApplicationAttemptIdProto{ApplicationId: a.id(), AttemptId: proto.Int32(a.Attempt)}
}

func parseApp(name string) (*pb.ApplicationIdProto, bool) {
	rest, ok := strings.CutPrefix(name, "application_")
	if !ok {
		return nil, false
	}
	ts, num, ok := strings.Cut(rest, "_")
	stamp, err1 := strconv.ParseInt(ts, 10, 64)
	n, err2 := strconv.ParseInt(num, 10, 32)
	if !ok || err1 != nil || err2 != nil {
		return nil, false
	}
	return &pb.ApplicationIdProto{Id: proto.Int32(int32(n)), ClusterTimestamp: proto.Int64(stamp)}, true
}

// jobID is the native id of an application's job. It has more digits than users'
// ids may have, so that neither can be taken for the other.
func jobID(num int32, seq int) string { return fmt.Sprintf("wk-8%010d%09d", num, seq) }

// jobSeq is the job's number within its application.
func jobSeq(id string) int {
	if len(id) < 9 {
		return -1
	}
	n, err := strconv.Atoi(id[len(id)-9:])
	if err != nil {
		return -1
	}
	return n
}

// containerNum is a container's number; it never repeats within its application.
func containerNum(seq, task int) int64 { return int64(seq)*idTasks + int64(task) + 1 }

func splitContainer(n int64) (seq, task int) {
	return int((n - 1) / idTasks), int((n - 1) % idTasks)
}

func (a *app) container(seq, task int) *pb.ContainerIdProto {
	return &pb.ContainerIdProto{AppId: a.id(), AppAttemptId: a.attemptID(), Id: proto.Int64(containerNum(seq, task))}
}

// ContainerName is how a container is called, as published.
func ContainerName(id *pb.ContainerIdProto) string {
	at := id.GetAppAttemptId()
	return fmt.Sprintf("container_%d_%04d_%02d_%06d", at.GetApplicationId().GetClusterTimestamp(), at.GetApplicationId().GetId(), at.GetAttemptId(), id.GetId())
}

// Exit statuses of containers, as published (ContainerExitStatus).
const (
	ExitSuccess   = 0
	ExitError     = 1
	ExitAborted   = -100
	ExitPreempted = -102
	ExitByMaster  = -105
	ExitAppOver   = -107
)

// exitStatus is what a master is told of how a container ended.
func exitStatus(how jobstore.TaskOutcome) (int32, string) {
	switch how {
	case jobstore.OutcomeDone:
		return ExitSuccess, ""
	case jobstore.OutcomeFailed:
		return ExitError, "the container failed"
	case jobstore.OutcomePreempted:
		return ExitPreempted, "stopped for other work, a notice or a drain"
	case jobstore.OutcomeReleased:
		return ExitByMaster, "given back"
	case jobstore.OutcomeRefused:
		return ExitAborted, "its machine did not take it"
	}
	return ExitAborted, "its machine is lost"
}

// Token kinds, as published, and the first part of their identifiers.
const (
	kindMaster    = "YARN_AM_RM_TOKEN"
	kindNode      = "NMToken"
	kindContainer = "ContainerToken"

	tokMaster    = "am"
	tokNode      = "nm"
	tokContainer = "ct"
)

// token is what an identifier says: whose it is, for which attempt, signed with
// which key, and for a container's which one.
type token struct {
	kind    string
	stamp   int64
	num     int32
	attempt int32
	key     int
	c       int64
}

func (t token) String() string {
	return fmt.Sprintf("%s/%d/%d/%d/%d/%d", t.kind, t.stamp, t.num, t.attempt, t.key, t.c)
}

func parseToken(b []byte) (t token, err error) {
	p := strings.Split(string(b), "/")
	if len(p) != 6 {
		return t, errors.New("not a token of this service")
	}
	var n [5]int64
	for i := range n {
		if n[i], err = strconv.ParseInt(p[i+1], 10, 64); err != nil {
			return t, errors.New("not a token of this service")
		}
	}
	t = token{kind: p[0], stamp: n[0], num: int32(n[1]), attempt: int32(n[2]), key: int(n[3]), c: n[4]}
	if t.String() != string(b) {
		return t, errors.New("not a token of this service")
	}
	return t, nil
}

func (k *keyring) issue(t token, kind, service string) (*pb.TokenProto, error) {
	t.key = k.newest()
	pw, err := k.sign(t.key, t.String())
	if err != nil {
		return nil, err
	}
	return &pb.TokenProto{Identifier: []byte(t.String()), Password: pw, Kind: &kind, Service: &service}, nil
}
