package yarn

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// This file is ApplicationClientProtocol.

func (d *Door) getNewApplication(ctx context.Context, _ *wire.Caller, _ *pb.GetNewApplicationRequestProto) (*pb.GetNewApplicationResponseProto, error) {
	stamp, num, err := d.newID(ctx)
	if err != nil {
		return nil, err
	}
	return &pb.GetNewApplicationResponseProto{ApplicationId: &pb.ApplicationIdProto{Id: proto.Int32(num), ClusterTimestamp: proto.Int64(stamp)},
		MaximumCapability: d.maximum()}, nil
}

// submitApplication accepts an application: what is answered is committed, and
// a repeated submission of the same id is answered alike.
func (d *Door) submitApplication(ctx context.Context, c *wire.Caller, in *pb.SubmitApplicationRequestProto) (*pb.SubmitApplicationResponseProto, error) {
	sc := in.GetApplicationSubmissionContext()
	id := sc.GetApplicationId()
	k, _, err := d.keys(ctx)
	if err != nil {
		return nil, err
	}
	if id.GetClusterTimestamp() != k.Stamp || id.GetId() < 1 || id.GetId() >= k.Next {
		return nil, wire.Errorf(wire.ClassYarn, "application id %s was not given out here", appName(id.GetClusterTimestamp(), id.GetId()))
	}
	out := &pb.SubmitApplicationResponseProto{}
	if _, _, _, _, err := d.read(ctx, id); err == nil {
		return out, nil // known: whoever asks again is told the same
	} else if !wire.IsClass(err, wire.ClassNoApp) {
		return nil, err
	}
	q, ok := d.s.queue(sc.GetQueue())
	if !ok {
		return nil, wire.Errorf(wire.ClassYarn, "Failed to submit %s : there is no queue %q", appName(k.Stamp, id.GetId()), sc.GetQueue())
	}
	apps, err := d.led.ListApps(ctx)
	if err != nil {
		return nil, err
	}
	if len(apps) > d.s.MaxApps {
		return nil, wire.Errorf(wire.ClassYarn, "Failed to submit %s : %d applications are unfinished already", appName(k.Stamp, id.GetId()), d.s.MaxApps)
	}
	a := &app{Num: id.GetId(), Stamp: k.Stamp, Name: sc.GetApplicationName(), User: c.User, Queue: q.Path, Type: sc.GetApplicationType(),
		Tags: sc.GetApplicationTags(), Priority: sc.GetPriority().GetPriority(), Unmanaged: sc.GetUnmanagedAm(), State: stateAccepted,
		Attempt: 1, Attempts: max(1, sc.GetMaxAppAttempts()), Started: time.Now().UnixMilli()}
	if err := d.judgeMaster(a, sc); err != nil {
		return nil, err
	}
	ops := []nwire.Op{{Put: a.key(), Value: a}}
	guards := []nwire.Guard{{Key: a.key()}, {Key: finalKey + a.name()}}
	if !a.Unmanaged {
		a.Context = ctxKey + a.name() + "/master"
		op, err := d.contextOp(a.Context, sc.GetAmContainerSpec())
		if err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	if err := retry(ctx, func() error {
		if _, err := d.store.CompareAndSwap(ctx, guards, ops); err != nil {
			if _, _, _, _, rerr := d.read(ctx, id); rerr == nil {
				return nil // another submission of the same, or this one's lost answer
			}
			return err
		}
		d.log.Info("yarn: application", "app", a.name(), "queue", a.Queue, "user", a.User, "unmanaged", a.Unmanaged)
		return nil
	}); err != nil {
		return nil, err
	}
	if !a.Unmanaged {
		if err := d.launchMaster(ctx, id); err != nil {
			d.log.Debug("yarn: master not launched yet", "app", a.name(), "err", err)
		}
	}
	return out, nil
}

// judgeMaster refuses a managed application whose master can never run, in the
// words of a native job's refusal.
func (d *Door) judgeMaster(a *app, sc *pb.ApplicationSubmissionContextProto) error {
	if a.Unmanaged {
		return nil
	}
	res := sc.GetResource()
	if rs := sc.GetAmContainerResourceRequest(); res == nil && len(rs) > 0 {
		res = rs[0].GetCapability()
	}
	var err error
	k := ask{Name: "*", Label: sc.GetNodeLabelExpression()}
	if k.MemoryMB, k.VCores, k.GPUs, k.GPUName, err = d.need(res); err != nil {
		return err
	}
	j, _, err := d.native(a, k, 1)
	if err != nil {
		return err
	}
	if status, err := d.core.Judge(&j); err != nil {
		return refuse(status, err)
	}
	a.Master = k
	return nil
}

func (d *Door) killApplication(ctx context.Context, _ *wire.Caller, in *pb.KillApplicationRequestProto) (*pb.KillApplicationResponseProto, error) {
	why := in.GetDiagnostics()
	if why == "" {
		why = "killed by its user"
	}
	err := d.end(ctx, in.GetApplicationId(), stateKilled, func(a *app) {
		a.Diag, a.Final = why, int32(pb.FinalApplicationStatusProto_APP_KILLED)
	})
	if err != nil {
		return nil, err
	}
	return &pb.KillApplicationResponseProto{IsKillCompleted: proto.Bool(true)}, nil
}

func (d *Door) getApplicationReport(ctx context.Context, _ *wire.Caller, in *pb.GetApplicationReportRequestProto) (*pb.GetApplicationReportResponseProto, error) {
	a, _, jobs, over, err := d.read(ctx, in.GetApplicationId())
	if err != nil {
		return nil, err
	}
	r := d.report(a, jobs)
	if a.Unmanaged && !over && a.Ending == "" {
		// As published, the master of an unmanaged application takes its token
		// from the report.
		k, err := d.ring(ctx)
		if err != nil {
			return nil, err
		}
		if r.AmRmToken, err = k.issue(token{kind: tokMaster, stamp: a.Stamp, num: a.Num, attempt: a.Attempt}, kindMaster, d.s.Advertise); err != nil {
			return nil, err
		}
	}
	return &pb.GetApplicationReportResponseProto{ApplicationReport: r}, nil
}

var yarnStates = map[string]pb.YarnApplicationStateProto{
	stateAccepted: pb.YarnApplicationStateProto_ACCEPTED, stateRunning: pb.YarnApplicationStateProto_RUNNING,
	stateFinished: pb.YarnApplicationStateProto_FINISHED, stateFailed: pb.YarnApplicationStateProto_FAILED, stateKilled: pb.YarnApplicationStateProto_KILLED,
}

// stateOf is what clients are told: one that is ending is over.
func (a *app) stateOf() pb.YarnApplicationStateProto {
	if a.Ending != "" {
		return yarnStates[a.Ending]
	}
	return yarnStates[a.State]
}

func (d *Door) report(a *app, jobs []jobstore.ReservedJob) *pb.ApplicationReportProto {
	final := pb.FinalApplicationStatusProto(a.Final)
	st := a.stateOf()
	r := &pb.ApplicationReportProto{ApplicationId: a.id(), User: &a.User, Queue: proto.String(leaf(a.Queue)), Name: &a.Name, Host: &a.Host, RpcPort: &a.Port,
		YarnApplicationState: &st, TrackingUrl: &a.URL, OriginalTrackingUrl: &a.URL, Diagnostics: &a.Diag, StartTime: &a.Started, FinishTime: &a.Finished,
		FinalApplicationStatus: &final, CurrentApplicationAttemptId: a.attemptID(), ApplicationType: &a.Type, ApplicationTags: a.Tags,
		UnmanagedApplication: &a.Unmanaged, Priority: &pb.PriorityProto{Priority: &a.Priority}}
	used, n := d.used(jobs)
	r.AppResource_Usage = &pb.ApplicationResourceUsageReportProto{NumUsedContainers: proto.Int32(int32(n)), NumReservedContainers: proto.Int32(0), UsedResources: used}
	return r
}

// used adds up what the placed containers of jobs take.
func (d *Door) used(jobs []jobstore.ReservedJob) (*pb.ResourceProto, int) {
	var mem, cpus, gpus float64
	n := 0
	for _, j := range jobs {
		s, k := &j.Record.Job, float64(len(j.Placements))
		mem, cpus, gpus, n = mem+k*s.MemoryGB, cpus+k*s.CPUs, gpus+k*s.GPUs, n+len(j.Placements)
	}
	return d.resource(int64(mem*1024), int32(cpus), int64(gpus), ""), n
}

// filter is what a list of applications is narrowed by; empty lists let all in.
type filter struct {
	types, users, queues, tags []string
	states                     []pb.YarnApplicationStateProto
	name                       string
	limit                      int
}

func (f *filter) takes(a *app) bool {
	in := func(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }
	return in(f.types, a.Type) && in(f.users, a.User) && (in(f.queues, a.Queue) || in(f.queues, leaf(a.Queue))) &&
		(len(f.states) == 0 || slices.Contains(f.states, a.stateOf())) && (f.name == "" || f.name == a.Name) &&
		(len(f.tags) == 0 || slices.ContainsFunc(f.tags, func(t string) bool { return slices.Contains(a.Tags, t) }))
}

// listMost is how many applications a list holds at the most.
const listMost = 1000

// list reads the applications that a filter takes, the unfinished ones first.
func (d *Door) list(ctx context.Context, f filter) ([]*pb.ApplicationReportProto, error) {
	if f.limit <= 0 || f.limit > listMost {
		f.limit = listMost
	}
	entries, err := d.led.ListApps(ctx)
	if err != nil {
		return nil, err
	}
	var out []*pb.ApplicationReportProto
	for _, e := range entries {
		var a app
		if e.Key == keysKey || nwire.Unmarshal(e.Value, &a) != nil || !f.takes(&a) || len(out) >= f.limit {
			continue
		}
		_, jobs, err := d.led.OwnedJobs(ctx, e.Key)
		if err != nil {
			return nil, err
		}
		out = append(out, d.report(&a, jobs))
	}
	if len(out) >= f.limit || len(f.states) > 0 && !slices.ContainsFunc(f.states, func(s pb.YarnApplicationStateProto) bool {
		return s >= pb.YarnApplicationStateProto_FINISHED
	}) {
		return out, nil
	}
	items, _, err := d.store.List(ctx, finalKey)
	if err != nil {
		return nil, err
	}
	for i := len(items) - 1; i >= 0 && len(out) < f.limit; i-- {
		var a app
		if nwire.Unmarshal(items[i].Value, &a) == nil && f.takes(&a) {
			out = append(out, d.report(&a, nil))
		}
	}
	return out, nil
}

func (d *Door) getApplications(ctx context.Context, _ *wire.Caller, in *pb.GetApplicationsRequestProto) (*pb.GetApplicationsResponseProto, error) {
	out, err := d.list(ctx, filter{types: in.GetApplicationTypes(), users: in.GetUsers(), queues: in.GetQueues(), tags: in.GetApplicationTags(),
		states: in.GetApplicationStates(), name: in.GetName(), limit: int(min(in.GetLimit(), listMost))})
	return &pb.GetApplicationsResponseProto{Applications: out}, err
}

func (d *Door) getClusterMetrics(ctx context.Context, _ *wire.Caller, _ *pb.GetClusterMetricsRequestProto) (*pb.GetClusterMetricsResponseProto, error) {
	ms, err := d.core.Machines(ctx)
	if err != nil {
		return nil, wire.Errorf(wire.ClassRetriable, "%v", err)
	}
	up := 0
	for _, m := range ms {
		if m.Up {
			up++
		}
	}
	return &pb.GetClusterMetricsResponseProto{ClusterMetrics: &pb.YarnClusterMetricsProto{NumNodeManagers: proto.Int32(int32(len(ms))),
		NumActiveNms: proto.Int32(int32(up)), NumLostNms: proto.Int32(int32(len(ms) - up)), NumDecommissionedNms: proto.Int32(0)}}, nil
}

// managerPort is the port in a node's id. Clients connect to the address in the
// token for the node, which is this door's.
const managerPort = 8041

func nodeID(machine string) *pb.NodeIdProto {
	return &pb.NodeIdProto{Host: proto.String(machine), Port: proto.Int32(managerPort)}
}

func (d *Door) nodeReport(m *Machine) *pb.NodeReportProto {
	st := pb.NodeStateProto_NS_RUNNING
	if !m.Up {
		st = pb.NodeStateProto_NS_LOST
	}
	r := &pb.NodeReportProto{NodeId: nodeID(m.Name), HttpAddress: proto.String(""), RackName: proto.String("/" + m.Zone), NodeState: &st,
		NumContainers: proto.Int32(int32(m.Tasks)), Used: d.resource(int64(m.MemGB*1024), int32(m.CPUs), int64(m.GPUs), ""), NodeLabels: []string{m.Type}}
	for _, t := range d.core.Types() {
		if t.Name == m.Type {
			r.Capability = d.resource(int64(t.MemoryGB*1024), int32(t.CPUs), int64(t.GPUs), "")
		}
	}
	return r
}

func (d *Door) getClusterNodes(ctx context.Context, _ *wire.Caller, in *pb.GetClusterNodesRequestProto) (*pb.GetClusterNodesResponseProto, error) {
	ms, err := d.core.Machines(ctx)
	if err != nil {
		return nil, wire.Errorf(wire.ClassRetriable, "%v", err)
	}
	out := &pb.GetClusterNodesResponseProto{}
	for i := range ms {
		if r := d.nodeReport(&ms[i]); len(in.GetNodeStates()) == 0 || slices.Contains(in.GetNodeStates(), r.GetNodeState()) {
			out.NodeReports = append(out.NodeReports, r)
		}
	}
	return out, nil
}

func (d *Door) queueInfo(ctx context.Context, q *Queue, apps bool) (*pb.QueueInfoProto, error) {
	running := pb.QueueStateProto_Q_RUNNING
	out := &pb.QueueInfoProto{QueueName: proto.String(leaf(q.Path)), State: &running, Capacity: proto.Float32(0), MaximumCapacity: proto.Float32(1), CurrentCapacity: proto.Float32(0)}
	if !apps {
		return out, nil
	}
	var err error
	out.Applications, err = d.list(ctx, filter{queues: []string{q.Path}, states: []pb.YarnApplicationStateProto{pb.YarnApplicationStateProto_ACCEPTED, pb.YarnApplicationStateProto_RUNNING}})
	return out, err
}

func (d *Door) getQueueInfo(ctx context.Context, _ *wire.Caller, in *pb.GetQueueInfoRequestProto) (*pb.GetQueueInfoResponseProto, error) {
	if in.GetQueueName() == "root" {
		running := pb.QueueStateProto_Q_RUNNING
		root := &pb.QueueInfoProto{QueueName: proto.String("root"), State: &running, Capacity: proto.Float32(1), MaximumCapacity: proto.Float32(1)}
		for i := range d.s.Queues {
			c, err := d.queueInfo(ctx, &d.s.Queues[i], in.GetIncludeApplications())
			if err != nil {
				return nil, err
			}
			if in.GetIncludeChildQueues() || in.GetRecursive() {
				root.ChildQueues = append(root.ChildQueues, c)
			}
		}
		return &pb.GetQueueInfoResponseProto{QueueInfo: root}, nil
	}
	q, ok := d.s.queue(in.GetQueueName())
	if !ok {
		return nil, wire.Errorf(wire.ClassYarn, "there is no queue %q", in.GetQueueName())
	}
	info, err := d.queueInfo(ctx, q, in.GetIncludeApplications())
	return &pb.GetQueueInfoResponseProto{QueueInfo: info}, err
}

// moveApplication refuses: the jobs of an application belong to its team, and a
// team's use counts what it was accepted for.
func (d *Door) moveApplication(context.Context, *wire.Caller, *pb.MoveApplicationAcrossQueuesRequestProto) (*pb.MoveApplicationAcrossQueuesResponseProto, error) {
	return nil, wire.Errorf(wire.ClassUnsupported, "applications stay in their queue: what runs counts for its team")
}
