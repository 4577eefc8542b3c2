// Launch contexts: what workers run for containers.

package yarn

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// LaunchContext is the command that a worker runs for a container, with its environment and tokens.
type LaunchContext struct {
	Env    map[string]string `msgpack:"env" json:"env"`
	Argv   []string          `msgpack:"cmd" json:"command"`
	Tokens string            `msgpack:"tok,omitempty" json:"tokens,omitempty"` // base64; empty: none
}

// Environment variables with the address and the token that a managed master registers with.
const (
	envMasterAddress       = "UMBERDEAL_AM_ADDRESS"
	envMasterTokenID       = "UMBERDEAL_AM_TOKEN_ID"
	envMasterTokenPassword = "UMBERDEAL_AM_TOKEN_PASSWORD"
)

// contextOp returns the change that stores a launch context, and an upper bound of its size in a
// transaction. It fails if the context is too large for one value of the store.
func (f *Frontend) contextOp(key string, in *pb.ContainerLaunchContextProto) (op nwire.Op, size int, err error) {
	c := LaunchContext{Env: map[string]string{}, Argv: in.GetCommand(), Tokens: base64.StdEncoding.EncodeToString(in.GetTokens())}
	for _, variable := range in.GetEnvironment() {
		c.Env[variable.GetKey()] = variable.GetValue()
	}
	raw, err := nwire.Marshal(c)
	if err != nil {
		return nwire.Op{}, 0, err
	}
	valueBytes := nwire.JSONSize(raw)
	if valueBytes > f.limits.ValueBytes {
		return nwire.Op{}, 0, wire.Errorf(wire.ClassYarn, "the launch context takes %d bytes, and %d are kept", valueBytes, f.limits.ValueBytes)
	}
	op = nwire.Op{Put: key, Value: c}
	return op, op.Size(valueBytes), nil
}

// contextKey returns the store key of a launch context that one container uses.
func (a *application) contextKey(job string, task int) string {
	return fmt.Sprintf("%s%s/%d/%d", contextPrefix, a.name(), jobSeq(job), task)
}

// sharedContextKey returns the store key of a launch context that several containers share.
func (a *application) sharedContextKey(fingerprint string) string {
	return contextPrefix + a.name() + "/s/" + fingerprint
}

// maxSharedKeys is the largest number of shared contexts in the record of a job. Further contexts
// are stored separately for each container.
const maxSharedKeys = 64

// shareContexts returns the changes that store the launch contexts of starts, and the updated
// references of the job to shared contexts. refs are its present references. A context that
// several containers of the job use is stored under one key. So starting a whole job takes two
// changes instead of one for each container.
func (a *application) shareContexts(starts []containerStart, refs []jobstore.SharedKey, tasks int) ([]nwire.Op, []jobstore.SharedKey) {
	var ops []nwire.Op
	for _, group := range groupByContext(starts) {
		key := a.sharedContextKey(group[0].fingerprint())
		at := slices.IndexFunc(refs, func(r jobstore.SharedKey) bool { return r.Key == key })
		if at < 0 && (len(group) == 1 || len(refs) >= maxSharedKeys) {
			for i := range group {
				ops = append(ops, group[i].contextOp)
			}
			continue
		}
		if at < 0 {
			refs = append(refs, jobstore.SharedKey{Key: key})
			at = len(refs) - 1
			ops = append(ops, nwire.Op{Put: key, Value: group[0].contextOp.Value})
		}
		set := refs[at].TaskRanges.BitSet(tasks)
		for i := range group {
			set.Set(uint(group[i].task))
		}
		refs[at].TaskRanges = jobstore.RangesOf(set)
	}
	return ops, refs
}

// groupByContext groups starts by context. The groups are in the order of their first starts.
func groupByContext(starts []containerStart) [][]containerStart {
	var groups [][]containerStart
	groupOf := map[string]int{}
	for i := range starts {
		fingerprint := starts[i].fingerprint()
		at, ok := groupOf[fingerprint]
		if !ok {
			at = len(groups)
			groupOf[fingerprint] = at
			groups = append(groups, nil)
		}
		groups[at] = append(groups[at], starts[i])
	}
	return groups
}

// haveSameContext reports whether all starts have the same context.
func haveSameContext(starts []containerStart) bool {
	first := starts[0].fingerprint()
	return !slices.ContainsFunc(starts, func(s containerStart) bool { return s.fingerprint() != first })
}

// fingerprint returns a hash of the launch context. The order of the environment does not matter.
func (s *containerStart) fingerprint() string {
	b, err := json.Marshal(s.contextOp.Value) // sorts keys
	if err != nil {
		return fmt.Sprint(s.job, "/", s.task) // unique, so the context is not shared
	}
	return fmt.Sprintf("%x", sha256.Sum256(b))
}

// LaunchContextOf returns what a worker runs for a task. For a managed master, the environment
// includes the token of the master. The error is a *wire.Error with ClassNoContainer if the task is
// not a container, has not been started, or belongs to an application that has ended.
func (f *Frontend) LaunchContextOf(ctx context.Context, taskName string) (*LaunchContext, error) {
	job, task, ok := nwire.ParseTaskName(taskName)
	if !ok || nwire.ValidUserID(job) {
		return nil, wire.Errorf(wire.ClassNoContainer, "%s is no container", taskName)
	}
	id, ok := jobApplication(job)
	if !ok {
		return nil, wire.Errorf(wire.ClassNoContainer, "%s is no container", taskName)
	}
	ring, _, err := f.readKeyring(ctx)
	if err != nil {
		return nil, err
	}
	snap, err := f.readApplication(ctx, &pb.ApplicationIdProto{Id: &id, ClusterTimestamp: proto.Int64(ring.ClusterTimestamp)})
	if err != nil {
		return nil, err
	}
	if snap.ended() {
		return nil, wire.Errorf(wire.ClassNoContainer, "%s is over", snap.app.name())
	}
	e, err := f.store.Get(ctx, snap.contextKeyOf(job, task))
	if err != nil {
		return nil, err
	}
	if e.Version == 0 {
		return nil, wire.Errorf(wire.ClassNoContainer, "%s has not been started", taskName)
	}
	var c LaunchContext
	if err := nwire.Unmarshal(e.Value, &c); err != nil {
		return nil, err
	}
	if job == snap.app.MasterJob {
		return &c, f.addMasterToken(&c, snap.app, &ring)
	}
	return &c, nil
}

// contextKeyOf returns the store key of a task's launch context.
func (s *snapshot) contextKeyOf(job string, task int) string {
	key := s.app.contextKey(job, task)
	if job == s.app.MasterJob {
		key = s.app.MasterContextKey
	}
	for i := range s.jobs {
		if shared, ok := s.jobs[i].Record.Reservation.SharedKeyOf(task); ok && s.jobs[i].ID == job {
			key = shared
		}
	}
	return key
}

// addMasterToken adds the address and the token for the registration to a master's environment.
func (f *Frontend) addMasterToken(c *LaunchContext, app *application, ring *keyring) error {
	t, err := ring.issue(app.token(masterToken), f.settings.Advertise)
	if err != nil {
		return err
	}
	c.Env[envMasterAddress] = f.settings.Advertise
	c.Env[envMasterTokenID] = string(t.Identifier)
	c.Env[envMasterTokenPassword] = base64.StdEncoding.EncodeToString(t.Password)
	return nil
}
