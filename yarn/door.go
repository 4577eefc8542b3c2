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

// Store is what the door writes of its own.
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

// Core is the node that the door belongs to.
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

// Door serves YARN's protocols at one node.
type Door struct {
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

// New makes a door. ops and valueBytes are the state service's limits.
func New(s *Settings, store Store, led JobStore, core Core, log *slog.Logger, ops, valueBytes int) *Door {
	return &Door{s: s, store: store, led: led, core: core, log: log, ops: max(ops, 3), value: valueBytes, sessions: map[string]*session{}}
}

const (
	protoClient  = "org.apache.hadoop.yarn.api.ApplicationClientProtocolPB"
	protoMaster  = "org.apache.hadoop.yarn.api.ApplicationMasterProtocolPB"
	protoManager = "org.apache.hadoop.yarn.api.ContainerManagementProtocolPB"
)

// Server is the RPC server that serves the door.
func (d *Door) Server() *wire.Server {
	return &wire.Server{
		Protocols: map[string]wire.Protocol{
			protoClient: {Methods: map[string]wire.Method{
				"getNewApplication":           wire.Handle(d.getNewApplication),
				"submitApplication":           wire.Handle(d.submitApplication),
				"forceKillApplication":        wire.Handle(d.killApplication),
				"getApplicationReport":        wire.Handle(d.getApplicationReport),
				"getApplications":             wire.Handle(d.getApplications),
				"getClusterMetrics":           wire.Handle(d.getClusterMetrics),
				"getClusterNodes":             wire.Handle(d.getClusterNodes),
				"getQueueInfo":                wire.Handle(d.getQueueInfo),
				"moveApplicationAcrossQueues": wire.Handle(d.moveApplication),
			}},
			protoMaster: {NeedToken: true, Methods: map[string]wire.Method{
				"registerApplicationMaster": wire.Handle(d.register),
				"allocate":                  wire.Handle(d.allocate),
				"finishApplicationMaster":   wire.Handle(d.finish),
			}},
			protoManager: {NeedToken: true, Methods: map[string]wire.Method{
				"startContainers":      wire.Handle(d.startContainers),
				"stopContainers":       wire.Handle(d.stopContainers),
				"getContainerStatuses": wire.Handle(d.containerStatuses),
			}},
		},
		Password: d.password, Allow: d.s.Allow, Log: d.log, MaxConns: d.s.MaxConns, MaxAll: d.s.MaxCalls,
	}
}

var errAgain = wire.Errorf(wire.ClassRetriable, "the record has changed meanwhile, come again")

// retry repeats what lost a race against another change of the same record.
func retry(ctx context.Context, f func() error) error {
	var err error
	for try := range 6 {
		var c *kvstore.ConflictError
		if err = f(); !errors.As(err, &c) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return err
		}
		if !call.Pause(ctx, time.Duration(20+rand.IntN(40<<try))*time.Millisecond) {
			break
		}
	}
	return errors.Join(errAgain, err)
}

// keys reads the keyring; the first node that needs it makes it.
func (d *Door) keys(ctx context.Context) (keyring, uint64, error) {
	for range 3 {
		e, err := d.store.Get(ctx, keysKey)
		if err != nil {
			return keyring{}, 0, err
		}
		if k, ok := d.decodeRing(e.Value, e.Version); ok {
			return k, e.Version, nil
		}
		k := keyring{Stamp: time.Now().UnixMilli(), Next: 1}
		if e.Version != 0 {
			if k, err = d.mendedRing(ctx, e.Version); err != nil {
				return keyring{}, 0, err
			}
			d.log.Error("yarn: unreadable record of keys: written again", "key", keysKey, "version", e.Version, "remembered", len(k.Keys) > 0)
		}
		if len(k.Keys) == 0 {
			first, err := newSecret(1)
			if err != nil {
				return keyring{}, 0, err
			}
			k.Keys = []secret{first}
		}
		_, err = d.store.CompareAndSwap(ctx, []nwire.Guard{{Key: keysKey, Version: e.Version}}, []nwire.Op{{Put: keysKey, Value: k}})
		var c *kvstore.ConflictError
		if err != nil && !errors.As(err, &c) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return keyring{}, 0, err
		}
	}
	return keyring{}, 0, errAgain
}

// decodeRing reads the keyring, and remembers it.
func (d *Door) decodeRing(raw nwire.Raw, version uint64) (k keyring, ok bool) {
	if version == 0 || nwire.Unmarshal(raw, &k) != nil || k.Stamp == 0 || len(k.Keys) == 0 {
		return keyring{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if version >= d.ringAt {
		d.lastRing, d.ringAt = k, version
	}
	return k, true
}

// mendedRing is what goes in the place of a keyring that can't be read: what this
// node has read of that same version, or one without keys whose ids are beyond all
// that were given out, as far as applications tell. Then masters' tokens are
// refused, and their applications have to be submitted anew.
func (d *Door) mendedRing(ctx context.Context, version uint64) (keyring, error) {
	d.mu.Lock()
	k, at := d.lastRing, d.ringAt
	d.mu.Unlock()
	if at == version {
		return k, nil
	}
	d.mu.Lock()
	if d.badAt != version {
		d.badAt, d.badSince = version, time.Now()
	}
	since := d.badSince
	d.mu.Unlock()
	if time.Since(since) < ringWait {
		return keyring{}, errAgain
	}
	k = keyring{Stamp: time.Now().UnixMilli()}
	apps, err := d.led.ListApps(ctx)
	if err != nil {
		return keyring{}, err
	}
	over, _, err := d.store.List(ctx, finalKey)
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
func (d *Door) ring(ctx context.Context) (keyring, error) {
	e := d.led.CachedApp(keysKey)
	if k, ok := d.decodeRing(e.Value, e.Version); ok {
		return k, nil
	}
	k, _, err := d.keys(ctx)
	return k, err
}

// newID takes an id that no node has given out or ever will.
func (d *Door) newID(ctx context.Context) (int64, int32, error) {
	d.mu.Lock()
	if n := len(d.ids); n > 0 {
		id, stamp := d.ids[0], d.stamp
		d.ids = d.ids[1:]
		d.mu.Unlock()
		return stamp, id, nil
	}
	d.mu.Unlock()
	var from int32
	var stamp int64
	err := retry(ctx, func() error {
		k, version, err := d.keys(ctx)
		if err != nil {
			return err
		}
		from, stamp = k.Next, k.Stamp
		k.Next += idBlock
		_, err = d.store.CompareAndSwap(ctx, []nwire.Guard{{Key: keysKey, Version: version}}, []nwire.Op{{Put: keysKey, Value: k}})
		return err
	})
	if err != nil {
		return 0, 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stamp = stamp
	for i := from + 1; i < from+idBlock; i++ {
		d.ids = append(d.ids, i)
	}
	return stamp, from, nil
}

// read reads an application's record and its jobs, as of a moment after the
// call; over is true for one whose record is final.
func (d *Door) read(ctx context.Context, id *pb.ApplicationIdProto) (a *app, e jobstore.AppRecord, jobs []jobstore.ReservedJob, over bool, err error) {
	key := appKey(id.GetClusterTimestamp(), id.GetId())
	e, jobs, err = d.led.OwnedJobs(ctx, key)
	if err != nil {
		return nil, e, nil, false, err
	}
	a = &app{}
	if e.Version != 0 {
		return a, e, jobs, false, nwire.Unmarshal(e.Value, a)
	}
	// It moves to the final records in one transaction and never back.
	f, err := d.store.Get(ctx, finalKey+appName(id.GetClusterTimestamp(), id.GetId()))
	if err != nil {
		return nil, e, nil, false, err
	}
	if f.Version == 0 {
		return nil, e, nil, false, wire.Errorf(wire.ClassNoApp, "Application with id '%s' doesn't exist", appName(id.GetClusterTimestamp(), id.GetId()))
	}
	return a, e, nil, true, nwire.Unmarshal(f.Value, a)
}

// write replaces an application's record, and fails with a Conflict if it has
// changed since it was read.
func (d *Door) write(ctx context.Context, a *app, e *jobstore.AppRecord) error {
	rev, err := d.store.CompareAndSwap(ctx, []nwire.Guard{{Key: e.Key, Version: e.Version}}, []nwire.Op{{Put: e.Key, Value: *a}})
	if err == nil {
		e.Version = rev
	}
	return err
}

// end marks an application as ending, and then ends it as far as can be done
// now; the leader's duty does the rest. It returns once the mark is committed.
func (d *Door) end(ctx context.Context, id *pb.ApplicationIdProto, how string, change func(a *app)) error {
	var a *app
	err := retry(ctx, func() error {
		var e jobstore.AppRecord
		var over bool
		var err error
		if a, e, _, over, err = d.read(ctx, id); err != nil || over || a.Ending != "" {
			return err
		}
		e.Key = a.key()
		a.Ending, a.Finished = how, time.Now().UnixMilli()
		if change != nil {
			change(a)
		}
		return d.write(ctx, a, &e)
	})
	if err != nil {
		return err
	}
	if err := d.settle(ctx, id); err != nil {
		d.log.Debug("yarn: application not settled yet", "app", a.name(), "err", err)
	}
	return nil
}

// settle cancels what is left of an ending application and makes its record
// final. It may be repeated, by any node.
func (d *Door) settle(ctx context.Context, id *pb.ApplicationIdProto) error {
	a, e, jobs, over, err := d.read(ctx, id)
	if err != nil || over || a.Ending == "" {
		return err
	}
	for _, j := range jobs {
		if _, _, err := d.led.Cancel(ctx, j.ID); err != nil {
			return err
		}
	}
	// A job that was reserved at the same moment was reserved under the record's
	// version before the mark, so it was among those that were read.
	a.State = a.Ending
	_, err = d.store.CompareAndSwap(ctx, []nwire.Guard{{Key: e.Key, Version: e.Version}},
		[]nwire.Op{{Delete: e.Key}, {Put: finalKey + a.name(), Value: *a}})
	if err != nil {
		return err
	}
	d.mu.Lock()
	delete(d.sessions, a.name())
	d.mu.Unlock()
	d.log.Info("yarn: application over", "app", a.name(), "state", a.State, "why", a.Diag)
	return d.dropContexts(ctx, a)
}

// dropContexts removes the launch contexts of an application that is over.
func (d *Door) dropContexts(ctx context.Context, a *app) error {
	items, _, err := d.store.List(ctx, ctxKey+a.name()+"/")
	if err != nil {
		return err
	}
	for len(items) > 0 {
		n := min(len(items), d.ops)
		var ops []nwire.Op
		for _, it := range items[:n] {
			ops = append(ops, nwire.Op{Delete: it.Key})
		}
		if _, err := d.store.CompareAndSwap(ctx, nil, ops); err != nil {
			return err
		}
		items = items[n:]
	}
	return nil
}

// native makes the native job of so many containers of a kind.
func (d *Door) native(a *app, k ask, tasks int) (nwire.Job, []string, error) {
	q, ok := d.s.queue(a.Queue)
	if !ok {
		return nwire.Job{}, nil, wire.Errorf(wire.ClassYarn, "there is no queue %q", a.Queue)
	}
	l, ok := d.s.label(k.Label)
	if !ok {
		return nwire.Job{}, nil, wire.Errorf(wire.ClassBadRequest, "Invalid resource request, node label %q is not known", k.Label)
	}
	class := q.Class
	if class == "" {
		class = "yarn"
	}
	j := nwire.Job{ID: jobID(a.Num, a.Seq), Class: class, Team: q.Team, Kind: nwire.KindArray, Priority: d.s.rank(int(a.Priority)), Tasks: tasks,
		CPUs: float64(k.VCores), GPUs: float64(k.GPUs), MemoryGB: float64(k.MemoryMB) / 1024, Image: d.s.Image, ImageGB: d.s.ImageGB,
		Types: l.Types, Zone: l.Zone, Spot: l.Spot, EstimateS: d.s.EstimateS}
	if d.s.GraceS > 0 {
		// A stop leaves the grace between the message and the end; nothing is
		// saved, since each container runs once.
		j.CheckpointS, j.SaveS = 1e6, d.s.GraceS
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
func (d *Door) reserve(ctx context.Context, a *app, e *jobstore.AppRecord, k ask, tasks int, res jobstore.Reservation) (string, error) {
	j, only, err := d.native(a, k, tasks)
	if err != nil {
		return "", err
	}
	if status, err := d.core.Judge(&j); err != nil {
		return "", refuse(status, err)
	}
	res.Owner, res.OnlyMachines = a.key(), append(res.OnlyMachines, only...)
	a.Seq++
	rev, known, err := d.led.Reserve(ctx, j, time.Now().UnixMilli(), res, *e, *a)
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
func (d *Door) maximum() *pb.ResourceProto {
	var mem, cpus, gpus float64
	for _, t := range d.core.Types() {
		mem, cpus, gpus = max(mem, t.MemoryGB), max(cpus, t.CPUs), max(gpus, t.GPUs)
	}
	return d.resource(int64(mem*1024), int32(cpus), int64(gpus), "")
}

func (d *Door) resource(memMB int64, vcores int32, gpus int64, gpuName string) *pb.ResourceProto {
	r := &pb.ResourceProto{Memory: proto.Int64(memMB), VirtualCores: proto.Int32(vcores), ResourceValueMap: []*pb.ResourceInformationProto{
		{Key: proto.String("memory-mb"), Value: proto.Int64(memMB), Units: proto.String("Mi")},
		{Key: proto.String("vcores"), Value: proto.Int64(int64(vcores)), Units: proto.String("")}}}
	if gpuName == "" && len(d.s.Resources) > 0 {
		gpuName = d.s.Resources[0].Name
	}
	if gpus > 0 {
		r.ResourceValueMap = append(r.ResourceValueMap, &pb.ResourceInformationProto{Key: proto.String(gpuName), Value: proto.Int64(gpus), Units: proto.String("")})
	}
	return r
}

// need reads what a container takes.
func (d *Door) need(r *pb.ResourceProto) (memMB int64, vcores int32, gpus int64, gpuName string, err error) {
	memMB, vcores = r.GetMemory(), r.GetVirtualCores()
	for _, v := range r.GetResourceValueMap() {
		switch v.GetKey() {
		case "memory-mb":
			memMB = v.GetValue()
		case "vcores":
			vcores = int32(min(max(v.GetValue(), 0), 1<<30))
		default:
			known := false
			for _, k := range d.s.Resources {
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
