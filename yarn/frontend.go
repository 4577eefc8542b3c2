package yarn

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// Store is what the front end writes of its own.
type Store interface {
	Get(ctx context.Context, key string) (nwire.Entry, error)
	List(ctx context.Context, prefix string) ([]nwire.Entry, uint64, error)
	CompareAndSwap(ctx context.Context, guards []nwire.Guard, ops []nwire.Op) (uint64, error)
}

// JobStore is what it needs of the jobs' records.
type JobStore interface {
	OwnedJobs(ctx context.Context, owner string) (jobstore.AppRecord, []jobstore.ReservedJob, error)
	FinishedReservation(ctx context.Context, id string) (jobstore.ReservedJob, bool, error)
	ListApps(ctx context.Context) ([]jobstore.AppRecord, error)
	CachedApp(key string) jobstore.AppRecord
	Reserve(ctx context.Context, j nwire.Job, atMs int64, res jobstore.Reservation, owner jobstore.AppRecord, value any) (uint64, bool, error)
	UpdateReservation(ctx context.Context, v *jobstore.ReservedJob, change func(*jobstore.Reservation), more ...nwire.Op) error
	Cancel(ctx context.Context, id string) (string, bool, error)
}

// Core is the node that the front end belongs to.
type Core interface {
	// Judge says whether a job can ever run, as it does for native ones: 0, or
	// the status and the words of the refusal.
	Judge(j *nwire.Job) (int, error)
	Types() []nwire.MachineType
	Machines(ctx context.Context) ([]Machine, error)
	Leads() bool
}

// Machine is a machine as the leader sees it.
type Machine struct {
	Name  string  `json:"name"`
	Type  string  `json:"type"`
	Zone  string  `json:"zone"`
	Spot  bool    `json:"spot"`
	Up    bool    `json:"up"`
	Tasks int     `json:"tasks"`
	CPUs  float64 `json:"cpus"` // booked
	GPUs  float64 `json:"gpus"`
	MemGB float64 `json:"mem_gb"`
}

// Frontend serves YARN's protocols at one node.
type Frontend struct {
	s     *Settings
	store Store
	led   JobStore
	core  Core
	log   *slog.Logger
	ops   int // changes in one transaction
	value int // bytes of one value

	mu       sync.Mutex
	ids      []int32 // given to this node and not used yet
	stamp    int64
	sessions map[string]*session
	lastRing keyring // as last read, in the version ringAt
	ringAt   uint64
	badAt    uint64 // the version that could not be read
	badSince time.Time
}

// New makes a front end. ops and valueBytes are the state service's limits.
func New(s *Settings, store Store, led JobStore, core Core, log *slog.Logger, ops, valueBytes int) *Frontend {
	return &Frontend{s: s, store: store, led: led, core: core, log: log, ops: max(ops, 3), value: valueBytes, sessions: map[string]*session{}}
}

const (
	protoClient  = "org.apache.hadoop.yarn.api.ApplicationClientProtocolPB"
	protoMaster  = "org.apache.hadoop.yarn.api.ApplicationMasterProtocolPB"
	protoManager = "org.apache.hadoop.yarn.api.ContainerManagementProtocolPB"
)

// Server is the RPC server that serves the front end.
func (f *Frontend) Server() *wire.Server {
	return &wire.Server{
		Protocols: map[string]wire.Protocol{
			protoClient: {Methods: map[string]wire.Method{
				"getNewApplication":           wire.Handle(f.getNewApplication),
				"submitApplication":           wire.Handle(f.submitApplication),
				"forceKillApplication":        wire.Handle(f.killApplication),
				"getApplicationReport":        wire.Handle(f.getApplicationReport),
				"getApplications":             wire.Handle(f.getApplications),
				"getClusterMetrics":           wire.Handle(f.getClusterMetrics),
				"getClusterNodes":             wire.Handle(f.getClusterNodes),
				"getQueueInfo":                wire.Handle(f.getQueueInfo),
				"moveApplicationAcrossQueues": wire.Handle(f.moveApplication),
			}},
			protoMaster: {NeedToken: true, Methods: map[string]wire.Method{
				"registerApplicationMaster": wire.Handle(f.register),
				"allocate":                  wire.Handle(f.allocate),
				"finishApplicationMaster":   wire.Handle(f.finish),
			}},
			protoManager: {NeedToken: true, Methods: map[string]wire.Method{
				"startContainers":      wire.Handle(f.startContainers),
				"stopContainers":       wire.Handle(f.stopContainers),
				"getContainerStatuses": wire.Handle(f.containerStatuses),
			}},
		},
		Password: f.password, Allow: f.s.Allow, Log: f.log, MaxConns: f.s.MaxConns, MaxCalls: f.s.MaxCalls,
	}
}

var errAgain = wire.Errorf(wire.ClassRetriable, "the record has changed meanwhile, come again")

// retry repeats what lost a race against another change of the same record.
func retry(ctx context.Context, attempt func() error) error {
	var err error
	for try := range 6 {
		var c *kvstore.ConflictError
		if err = attempt(); !errors.As(err, &c) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return err
		}
		if !call.Pause(ctx, time.Duration(20+rand.IntN(40<<try))*time.Millisecond) {
			break
		}
	}
	return errors.Join(errAgain, err)
}

// keys reads the keyring; the first node that needs it makes it.
func (f *Frontend) keys(ctx context.Context) (keyring, uint64, error) {
	for range 3 {
		e, err := f.store.Get(ctx, keysKey)
		if err != nil {
			return keyring{}, 0, err
		}
		if k, ok := f.decodeRing(e.Value, e.Version); ok {
			return k, e.Version, nil
		}
		k := keyring{Stamp: time.Now().UnixMilli(), Next: 1}
		if e.Version != 0 {
			if k, err = f.mendedRing(ctx, e.Version); err != nil {
				return keyring{}, 0, err
			}
			f.log.Error("yarn: unreadable record of keys: written again", "key", keysKey, "version", e.Version, "remembered", len(k.Keys) > 0)
		}
		if len(k.Keys) == 0 {
			first, err := newSecret(1)
			if err != nil {
				return keyring{}, 0, err
			}
			k.Keys = []secret{first}
		}
		_, err = f.store.CompareAndSwap(ctx, []nwire.Guard{{Key: keysKey, Version: e.Version}}, []nwire.Op{{Put: keysKey, Value: k}})
		var c *kvstore.ConflictError
		if err != nil && !errors.As(err, &c) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return keyring{}, 0, err
		}
	}
	return keyring{}, 0, errAgain
}

// decodeRing reads the keyring, and remembers it.
func (f *Frontend) decodeRing(raw nwire.Raw, version uint64) (k keyring, ok bool) {
	if version == 0 || nwire.Unmarshal(raw, &k) != nil || k.Stamp == 0 || len(k.Keys) == 0 {
		return keyring{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if version >= f.ringAt {
		f.lastRing, f.ringAt = k, version
	}
	return k, true
}

// mendedRing is what goes in the place of a keyring that can't be read: what this
// node has read of that same version, or one without keys whose ids are beyond all
// that were given out, as far as applications tell. Then masters' tokens are
// refused, and their applications have to be submitted anew.
func (f *Frontend) mendedRing(ctx context.Context, version uint64) (keyring, error) {
	f.mu.Lock()
	k, at := f.lastRing, f.ringAt
	f.mu.Unlock()
	if at == version {
		return k, nil
	}
	f.mu.Lock()
	if f.badAt != version {
		f.badAt, f.badSince = version, time.Now()
	}
	since := f.badSince
	f.mu.Unlock()
	if time.Since(since) < ringWait {
		return keyring{}, errAgain
	}
	k = keyring{Stamp: time.Now().UnixMilli()}
	apps, err := f.led.ListApps(ctx)
	if err != nil {
		return keyring{}, err
	}
	over, _, err := f.store.List(ctx, finalKey)
	if err != nil {
		return keyring{}, err
	}
	values := make([]nwire.Raw, 0, len(apps)+len(over))
	for _, e := range apps {
		values = append(values, e.Value)
	}
	for _, e := range over {
		values = append(values, e.Value)
	}
	for _, v := range values {
		var a app
		if nwire.Unmarshal(v, &a) == nil && a.Stamp != 0 && a.Num > 0 {
			k.Stamp, k.Next = a.Stamp, max(k.Next, a.Num)
		}
	}
	k.Next += idsBeyond
	return k, nil
}

// ringWait is for how long a keyring that can't be read is left to those who
// remember it: another node, or a leader that takes over and asks all nodes.
const ringWait = 20 * time.Second

// idsBeyond is more than the ids that were given out and not used.
const idsBeyond = 1 << 20

// ring is the keyring as of the barrier that the caller has behind it. Masters'
// heartbeats share barriers; a request of its own for each of them took the state
// service's requests from native users.
func (f *Frontend) ring(ctx context.Context) (keyring, error) {
	e := f.led.CachedApp(keysKey)
	if k, ok := f.decodeRing(e.Value, e.Version); ok {
		return k, nil
	}
	k, _, err := f.keys(ctx)
	return k, err
}

// newID takes an id that no node has given out or ever will.
func (f *Frontend) newID(ctx context.Context) (int64, int32, error) {
	f.mu.Lock()
	if n := len(f.ids); n > 0 {
		id, stamp := f.ids[0], f.stamp
		f.ids = f.ids[1:]
		f.mu.Unlock()
		return stamp, id, nil
	}
	f.mu.Unlock()
	var from int32
	var stamp int64
	err := retry(ctx, func() error {
		k, version, err := f.keys(ctx)
		if err != nil {
			return err
		}
		from, stamp = k.Next, k.Stamp
		k.Next += idBlock
		_, err = f.store.CompareAndSwap(ctx, []nwire.Guard{{Key: keysKey, Version: version}}, []nwire.Op{{Put: keysKey, Value: k}})
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stamp = stamp
	for i := from + 1; i < from+idBlock; i++ {
		f.ids = append(f.ids, i)
	}
	return stamp, from, nil
}

// read reads an application's record and its jobs, as of a moment after the
// call; over is true for one whose record is final.
func (f *Frontend) read(ctx context.Context, id *pb.ApplicationIdProto) (a *app, e jobstore.AppRecord, jobs []jobstore.ReservedJob, over bool, err error) {
	key := appKey(id.GetClusterTimestamp(), id.GetId())
	e, jobs, err = f.led.OwnedJobs(ctx, key)
	if err != nil {
		return nil, e, nil, false, err
	}
	a = &app{}
	if e.Version != 0 {
		return a, e, jobs, false, nwire.Unmarshal(e.Value, a)
	}
	// It moves to the final records in one transaction and never back.
	final, err := f.store.Get(ctx, finalKey+appName(id.GetClusterTimestamp(), id.GetId()))
	if err != nil {
		return nil, e, nil, false, err
	}
	if final.Version == 0 {
		return nil, e, nil, false, wire.Errorf(wire.ClassNoApp, "Application with id '%s' doesn't exist", appName(id.GetClusterTimestamp(), id.GetId()))
	}
	return a, e, nil, true, nwire.Unmarshal(final.Value, a)
}

// write replaces an application's record, and fails with a Conflict if it has
// changed since it was read.
func (f *Frontend) write(ctx context.Context, a *app, e *jobstore.AppRecord) error {
	rev, err := f.store.CompareAndSwap(ctx, []nwire.Guard{{Key: e.Key, Version: e.Version}}, []nwire.Op{{Put: e.Key, Value: *a}})
	if err == nil {
		e.Version = rev
	}
	return err
}

// end marks an application as ending, and then ends it as far as can be done
// now; the leader's duty does the rest. It returns once the mark is committed.
func (f *Frontend) end(ctx context.Context, id *pb.ApplicationIdProto, how string, change func(a *app)) error {
	var a *app
	err := retry(ctx, func() error {
		var e jobstore.AppRecord
		var over bool
		var err error
		if a, e, _, over, err = f.read(ctx, id); err != nil || over || a.Ending != "" {
			return err
		}
		e.Key = a.key()
		a.Ending, a.Finished = how, time.Now().UnixMilli()
		if change != nil {
			change(a)
		}
		return f.write(ctx, a, &e)
	})
	if err != nil {
		return err
	}
	if err := f.settle(ctx, id); err != nil {
		f.log.Debug("yarn: application not settled yet", "app", a.name(), "err", err)
	}
	return nil
}

// settle cancels what is left of an ending application and makes its record
// final. It may be repeated, by any node.
func (f *Frontend) settle(ctx context.Context, id *pb.ApplicationIdProto) error {
	a, e, jobs, over, err := f.read(ctx, id)
	if err != nil || over || a.Ending == "" {
		return err
	}
	for _, j := range jobs {
		if _, _, err := f.led.Cancel(ctx, j.ID); err != nil {
			return err
		}
	}
	// A job that was reserved at the same moment was reserved under the record's
	// version before the mark, so it was among those that were read.
	a.State = a.Ending
	_, err = f.store.CompareAndSwap(ctx, []nwire.Guard{{Key: e.Key, Version: e.Version}},
		[]nwire.Op{{Delete: e.Key}, {Put: finalKey + a.name(), Value: *a}})
	if err != nil {
		return err
	}
	f.mu.Lock()
	delete(f.sessions, a.name())
	f.mu.Unlock()
	f.log.Info("yarn: application over", "app", a.name(), "state", a.State, "why", a.Diag)
	return f.dropContexts(ctx, a)
}

// dropContexts removes the launch contexts of an application that is over.
func (f *Frontend) dropContexts(ctx context.Context, a *app) error {
	items, _, err := f.store.List(ctx, ctxKey+a.name()+"/")
	if err != nil {
		return err
	}
	for len(items) > 0 {
		n := min(len(items), f.ops)
		var ops []nwire.Op
		for _, it := range items[:n] {
			ops = append(ops, nwire.Op{Delete: it.Key})
		}
		if _, err := f.store.CompareAndSwap(ctx, nil, ops); err != nil {
			return err
		}
		items = items[n:]
	}
	return nil
}

// native makes the native job of so many containers of a kind.
func (f *Frontend) native(a *app, k ask, tasks int) (nwire.Job, []string, error) {
	q, ok := f.s.queue(a.Queue)
	if !ok {
		return nwire.Job{}, nil, wire.Errorf(wire.ClassYarn, "there is no queue %q", a.Queue)
	}
	l, ok := f.s.label(k.Label)
	if !ok {
		return nwire.Job{}, nil, wire.Errorf(wire.ClassBadRequest, "Invalid resource request, node label %q is not known", k.Label)
	}
	class := q.Class
	if class == "" {
		class = "yarn"
	}
	j := nwire.Job{ID: jobID(a.Num, a.Seq), Class: class, Team: q.Team, Kind: nwire.KindArray, Priority: f.s.rank(int(a.Priority)), Tasks: tasks,
		CPUs: float64(k.VCores), GPUs: float64(k.GPUs), MemoryGB: float64(k.MemoryMB) / 1024, Image: f.s.Image, ImageGB: f.s.ImageGB,
		Types: l.Types, Zone: l.Zone, Spot: l.Spot, EstimateS: f.s.EstimateS}
	if f.s.GraceS > 0 {
		// A stop leaves the grace between the message and the end; nothing is
		// saved, since each container runs once.
		j.CheckpointS, j.SaveS = 1e6, f.s.GraceS
	}
	return j, k.Only, nil
}

// refuse turns a native refusal into the protocol's, with the same words.
func refuse(status int, err error) error {
	if status == 503 {
		return wire.Errorf(wire.ClassRetriable, "%v", err)
	}
	return wire.Errorf(wire.ClassBadRequest, "%v", err)
}

// reserve commits one more job of an application, together with the record that
// counts it.
func (f *Frontend) reserve(ctx context.Context, a *app, e *jobstore.AppRecord, k ask, tasks int, res jobstore.Reservation) (string, error) {
	j, only, err := f.native(a, k, tasks)
	if err != nil {
		return "", err
	}
	if status, err := f.core.Judge(&j); err != nil {
		return "", refuse(status, err)
	}
	res.Owner, res.OnlyMachines = a.key(), append(res.OnlyMachines, only...)
	a.Seq++
	rev, known, err := f.led.Reserve(ctx, j, time.Now().UnixMilli(), res, *e, *a)
	if err != nil {
		return "", err
	}
	if known {
		return "", fmt.Errorf("yarn: job %s is known already", j.ID)
	}
	e.Version = rev
	return j.ID, nil
}

// maximum is the largest container that fits any machine.
func (f *Frontend) maximum() *pb.ResourceProto {
	var mem, cpus, gpus float64
	for _, t := range f.core.Types() {
		mem, cpus, gpus = max(mem, t.MemoryGB), max(cpus, t.CPUs), max(gpus, t.GPUs)
	}
	return f.resource(int64(mem*1024), int32(cpus), int64(gpus), "")
}

func (f *Frontend) resource(memMB int64, vcores int32, gpus int64, gpuName string) *pb.ResourceProto {
	r := &pb.ResourceProto{Memory: proto.Int64(memMB), VirtualCores: proto.Int32(vcores), ResourceValueMap: []*pb.ResourceInformationProto{
		{Key: proto.String("memory-mb"), Value: proto.Int64(memMB), Units: proto.String("Mi")},
		{Key: proto.String("vcores"), Value: proto.Int64(int64(vcores)), Units: proto.String("")}}}
	if gpuName == "" && len(f.s.Resources) > 0 {
		gpuName = f.s.Resources[0].Name
	}
	if gpus > 0 {
		r.ResourceValueMap = append(r.ResourceValueMap, &pb.ResourceInformationProto{Key: proto.String(gpuName), Value: proto.Int64(gpus), Units: proto.String("")})
	}
	return r
}

// need reads what a container takes.
func (f *Frontend) need(r *pb.ResourceProto) (memMB int64, vcores int32, gpus int64, gpuName string, err error) {
	memMB, vcores = r.GetMemory(), r.GetVirtualCores()
	for _, v := range r.GetResourceValueMap() {
		switch v.GetKey() {
		case "memory-mb":
			memMB = v.GetValue()
		case "vcores":
			vcores = int32(min(max(v.GetValue(), 0), 1<<30))
		default:
			known := false
			for _, k := range f.s.Resources {
				if k.Name == v.GetKey() {
					gpus, gpuName, known = gpus+v.GetValue()*int64(k.GPUs), k.Name, true
				}
			}
			if !known && v.GetValue() > 0 {
				return 0, 0, 0, "", wire.Errorf(wire.ClassBadRequest, "Invalid resource request, unknown resource %q", v.GetKey())
			}
		}
	}
	if memMB < 0 || vcores < 0 || gpus < 0 || memMB+int64(vcores)+gpus == 0 {
		return 0, 0, 0, "", wire.Errorf(wire.ClassBadRequest, "Invalid resource request, requested memory %d, vcores %d", memMB, vcores)
	}
	return memMB, vcores, gpus, gpuName, nil
}
