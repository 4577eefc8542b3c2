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

func (f *Frontend) getNewApplication(ctx context.Context, _ *wire.Caller, _ *pb.GetNewApplicationRequestProto) (*pb.GetNewApplicationResponseProto, error) {
	stamp, num, err := f.newID(ctx)
	if err != nil {
		return nil, err
	}
	return &pb.GetNewApplicationResponseProto{ApplicationId: &pb.ApplicationIdProto{Id: proto.Int32(num), ClusterTimestamp: proto.Int64(stamp)},
		MaximumCapability: f.maximum()}, nil
}

// submitApplication accepts an application: what is answered is committed, and
// a repeated submission of the same id is answered alike.
func (f *Frontend) submitApplication(ctx context.Context, c *wire.Caller, in *pb.SubmitApplicationRequestProto) (*pb.SubmitApplicationResponseProto, error) {
	sc := in.GetApplicationSubmissionContext()
	id := sc.GetApplicationId()
	k, _, err := f.keys(ctx)
	if err != nil {
		return nil, err
	}
	if id.GetClusterTimestamp() != k.Stamp || id.GetId() < 1 || id.GetId() >= k.Next {
		return nil, wire.Errorf(wire.ClassYarn, "application id %s was not given out here", appName(id.GetClusterTimestamp(), id.GetId()))
	}
	out := &pb.SubmitApplicationResponseProto{}
	if _, _, _, _, err := f.read(ctx, id); err == nil {
		return out, nil // known: whoever asks again is told the same
	} else if !wire.IsClass(err, wire.ClassNoApp) {
		return nil, err
	}
	q, ok := f.s.queue(sc.GetQueue())
	if !ok {
		return nil, wire.Errorf(wire.ClassYarn, "Failed to submit %s : there is no queue %q", appName(k.Stamp, id.GetId()), sc.GetQueue())
	}
	apps, err := f.led.ListApps(ctx)
	if err != nil {
		return nil, err
	}
	if len(apps) > f.s.MaxApps {
		return nil, wire.Errorf(wire.ClassYarn, "Failed to submit %s : %d applications are unfinished already", appName(k.Stamp, id.GetId()), f.s.MaxApps)
	}
	a := &app{Num: id.GetId(), Stamp: k.Stamp, Name: sc.GetApplicationName(), User: c.User, Queue: q.Path, Type: sc.GetApplicationType(),
		Tags: sc.GetApplicationTags(), Priority: sc.GetPriority().GetPriority(), Unmanaged: sc.GetUnmanagedAm(), State: stateAccepted,
		Attempt: 1, Attempts: max(1, sc.GetMaxAppAttempts()), Started: time.Now().UnixMilli()}
	if err := f.judgeMaster(a, sc); err != nil {
		return nil, err
	}
	ops := []nwire.Op{{Put: a.key(), Value: a}}
	guards := []nwire.Guard{{Key: a.key()}, {Key: finalKey + a.name()}}
	if !a.Unmanaged {
		a.Context = ctxKey + a.name() + "/master"
		op, err := f.contextOp(a.Context, sc.GetAmContainerSpec())
		if err != nil {
			return nil, err
		}
		ops = append(ops, op)
	}
	if err := retry(ctx, func() error {
		if _, err := f.store.CompareAndSwap(ctx, guards, ops); err != nil {
			if _, _, _, _, rerr := f.read(ctx, id); rerr == nil {
				return nil // another submission of the same, or this one's lost answer
			}
			return err
		}
		f.log.Info("yarn: application", "app", a.name(), "queue", a.Queue, "user", a.User, "unmanaged", a.Unmanaged)
		return nil
	}); err != nil {
		return nil, err
	}
	if !a.Unmanaged {
		if err := f.launchMaster(ctx, id); err != nil {
			f.log.Debug("yarn: master not launched yet", "app", a.name(), "err", err)
		}
	}
	return out, nil
}

// judgeMaster refuses a managed application whose master can never run, in the
// words of a native job's refusal.
func (f *Frontend) judgeMaster(a *app, sc *pb.ApplicationSubmissionContextProto) error {
	if a.Unmanaged {
		return nil
	}
	res := sc.GetResource()
	if rs := sc.GetAmContainerResourceRequest(); res == nil && len(rs) > 0 {
		res = rs[0].GetCapability()
	}
	var err error
	k := ask{Name: "*", Label: sc.GetNodeLabelExpression()}
	if k.MemoryMB, k.VCores, k.GPUs, k.GPUName, err = f.need(res); err != nil {
		return err
	}
	j, _, err := f.native(a, k, 1)
	if err != nil {
		return err
	}
	if status, err := f.core.Judge(&j); err != nil {
		return refuse(status, err)
	}
	a.Master = k
	return nil
}

func (f *Frontend) killApplication(ctx context.Context, _ *wire.Caller, in *pb.KillApplicationRequestProto) (*pb.KillApplicationResponseProto, error) {
	why := in.GetDiagnostics()
	if why == "" {
		why = "killed by its user"
	}
	err := f.end(ctx, in.GetApplicationId(), stateKilled, func(a *app) {
		a.Diag, a.Final = why, int32(pb.FinalApplicationStatusProto_APP_KILLED)
	})
	if err != nil {
		return nil, err
	}
	return &pb.KillApplicationResponseProto{IsKillCompleted: proto.Bool(true)}, nil
}

func (f *Frontend) getApplicationReport(ctx context.Context, _ *wire.Caller, in *pb.GetApplicationReportRequestProto) (*pb.GetApplicationReportResponseProto, error) {
	a, _, jobs, over, err := f.read(ctx, in.GetApplicationId())
	if err != nil {
		return nil, err
	}
	r := f.report(a, jobs)
	if a.Unmanaged && !over && a.Ending == "" {
		// As published, the master of an unmanaged application takes its token
		// from the report.
		k, err := f.ring(ctx)
		if err != nil {
			return nil, err
		}
		if r.AmRmToken, err = k.issue(token{kind: tokMaster, stamp: a.Stamp, num: a.Num, attempt: a.Attempt}, kindMaster, f.s.Advertise); err != nil {
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

func (f *Frontend) report(a *app, jobs []jobstore.ReservedJob) *pb.ApplicationReportProto {
	final := pb.FinalApplicationStatusProto(a.Final)
	st := a.stateOf()
	r := &pb.ApplicationReportProto{ApplicationId: a.id(), User: &a.User, Queue: proto.String(leaf(a.Queue)), Name: &a.Name, Host: &a.Host, RpcPort: &a.Port,
		YarnApplicationState: &st, TrackingUrl: &a.URL, OriginalTrackingUrl: &a.URL, Diagnostics: &a.Diag, StartTime: &a.Started, FinishTime: &a.Finished,
		FinalApplicationStatus: &final, CurrentApplicationAttemptId: a.attemptID(), ApplicationType: &a.Type, ApplicationTags: a.Tags,
		UnmanagedApplication: &a.Unmanaged, Priority: &pb.PriorityProto{Priority: &a.Priority}}
	used, n := f.used(jobs)
	r.AppResource_Usage = &pb.ApplicationResourceUsageReportProto{NumUsedContainers: proto.Int32(int32(n)), NumReservedContainers: proto.Int32(0), UsedResources: used}
	return r
}

// used adds up what the placed containers of jobs take.
func (f *Frontend) used(jobs []jobstore.ReservedJob) (*pb.ResourceProto, int) {
	var mem, cpus, gpus float64
	n := 0
	for _, j := range jobs {
		s, k := &j.Record.Job, float64(len(j.Placements))
		mem, cpus, gpus, n = mem+k*s.MemoryGB, cpus+k*s.CPUs, gpus+k*s.GPUs, n+len(j.Placements)
	}
	return f.resource(int64(mem*1024), int32(cpus), int64(gpus), ""), n
}

// applicationFilter is what a list of applications is narrowed by; empty lists let all in.
type applicationFilter struct {
	types, users, queues, tags []string
	states                     []pb.YarnApplicationStateProto
	name                       string
	limit                      int
}

func (filter *applicationFilter) takes(a *app) bool {
	in := func(list []string, v string) bool { return len(list) == 0 || slices.Contains(list, v) }
	return in(filter.types, a.Type) && in(filter.users, a.User) && (in(filter.queues, a.Queue) || in(filter.queues, leaf(a.Queue))) &&
		(len(filter.states) == 0 || slices.Contains(filter.states, a.stateOf())) && (filter.name == "" || filter.name == a.Name) &&
		(len(filter.tags) == 0 || slices.ContainsFunc(filter.tags, func(t string) bool { return slices.Contains(a.Tags, t) }))
}

// listMost is how many applications a list holds at the most.
const listMost = 1000

// list reads the applications that a filter takes, the unfinished ones first.
func (f *Frontend) list(ctx context.Context, filter applicationFilter) ([]*pb.ApplicationReportProto, error) {
	if filter.limit <= 0 || filter.limit > listMost {
		filter.limit = listMost
	}
	entries, err := f.led.ListApps(ctx)
	if err != nil {
		return nil, err
	}
	var out []*pb.ApplicationReportProto
	for _, e := range entries {
		var a app
		if e.Key == keysKey || nwire.Unmarshal(e.Value, &a) != nil || !filter.takes(&a) || len(out) >= filter.limit {
			continue
		}
		_, jobs, err := f.led.OwnedJobs(ctx, e.Key)
		if err != nil {
			return nil, err
		}
		out = append(out, f.report(&a, jobs))
	}
	if len(out) >= filter.limit || len(filter.states) > 0 && !slices.ContainsFunc(filter.states, func(s pb.YarnApplicationStateProto) bool {
		return s >= pb.YarnApplicationStateProto_FINISHED
	}) {
		return out, nil
	}
	items, _, err := f.store.List(ctx, finalKey)
	if err != nil {
		return nil, err
	}
	for i := len(items) - 1; i >= 0 && len(out) < filter.limit; i-- {
		var a app
		if nwire.Unmarshal(items[i].Value, &a) == nil && filter.takes(&a) {
			out = append(out, f.report(&a, nil))
		}
	}
	return out, nil
}

func (f *Frontend) getApplications(ctx context.Context, _ *wire.Caller, in *pb.GetApplicationsRequestProto) (*pb.GetApplicationsResponseProto, error) {
	out, err := f.list(ctx, applicationFilter{types: in.GetApplicationTypes(), users: in.GetUsers(), queues: in.GetQueues(), tags: in.GetApplicationTags(),
		states: in.GetApplicationStates(), name: in.GetName(), limit: int(min(in.GetLimit(), listMost))})
	return &pb.GetApplicationsResponseProto{Applications: out}, err
}

func (f *Frontend) getClusterMetrics(ctx context.Context, _ *wire.Caller, _ *pb.GetClusterMetricsRequestProto) (*pb.GetClusterMetricsResponseProto, error) {
	ms, err := f.core.Machines(ctx)
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
// token for the node, which is this front end's.
const managerPort = 8041

func nodeID(machine string) *pb.NodeIdProto {
	return &pb.NodeIdProto{Host: proto.String(machine), Port: proto.Int32(managerPort)}
}

func (f *Frontend) nodeReport(m *Machine) *pb.NodeReportProto {
	st := pb.NodeStateProto_NS_RUNNING
	if !m.Up {
		st = pb.NodeStateProto_NS_LOST
	}
	r := &pb.NodeReportProto{NodeId: nodeID(m.Name), HttpAddress: proto.String(""), RackName: proto.String("/" + m.Zone), NodeState: &st,
		NumContainers: proto.Int32(int32(m.Tasks)), Used: f.resource(int64(m.MemGB*1024), int32(m.CPUs), int64(m.GPUs), ""), NodeLabels: []string{m.Type}}
	for _, t := range f.core.Types() {
		if t.Name == m.Type {
			r.Capability = f.resource(int64(t.MemoryGB*1024), int32(t.CPUs), int64(t.GPUs), "")
		}
	}
	return r
}

func (f *Frontend) getClusterNodes(ctx context.Context, _ *wire.Caller, in *pb.GetClusterNodesRequestProto) (*pb.GetClusterNodesResponseProto, error) {
	ms, err := f.core.Machines(ctx)
	if err != nil {
		return nil, wire.Errorf(wire.ClassRetriable, "%v", err)
	}
	out := &pb.GetClusterNodesResponseProto{}
	for i := range ms {
		if r := f.nodeReport(&ms[i]); len(in.GetNodeStates()) == 0 || slices.Contains(in.GetNodeStates(), r.GetNodeState()) {
			out.NodeReports = append(out.NodeReports, r)
		}
	}
	return out, nil
}

func (f *Frontend) queueInfo(ctx context.Context, q *Queue, apps bool) (*pb.QueueInfoProto, error) {
	running := pb.QueueStateProto_Q_RUNNING
	out := &pb.QueueInfoProto{QueueName: proto.String(leaf(q.Path)), State: &running, Capacity: proto.Float32(0), MaximumCapacity: proto.Float32(1), CurrentCapacity: proto.Float32(0)}
	if !apps {
		return out, nil
	}
	var err error
	out.Applications, err = f.list(ctx, applicationFilter{queues: []string{q.Path}, states: []pb.YarnApplicationStateProto{pb.YarnApplicationStateProto_ACCEPTED, pb.YarnApplicationStateProto_RUNNING}})
	return out, err
}

func (f *Frontend) getQueueInfo(ctx context.Context, _ *wire.Caller, in *pb.GetQueueInfoRequestProto) (*pb.GetQueueInfoResponseProto, error) {
	if in.GetQueueName() == "root" {
		running := pb.QueueStateProto_Q_RUNNING
		root := &pb.QueueInfoProto{QueueName: proto.String("root"), State: &running, Capacity: proto.Float32(1), MaximumCapacity: proto.Float32(1)}
		for i := range f.s.Queues {
			c, err := f.queueInfo(ctx, &f.s.Queues[i], in.GetIncludeApplications())
			if err != nil {
				return nil, err
			}
			if in.GetIncludeChildQueues() || in.GetRecursive() {
				root.ChildQueues = append(root.ChildQueues, c)
			}
		}
		return &pb.GetQueueInfoResponseProto{QueueInfo: root}, nil
	}
	q, ok := f.s.queue(in.GetQueueName())
	if !ok {
		return nil, wire.Errorf(wire.ClassYarn, "there is no queue %q", in.GetQueueName())
	}
	info, err := f.queueInfo(ctx, q, in.GetIncludeApplications())
	return &pb.GetQueueInfoResponseProto{QueueInfo: info}, err
}

// moveApplication refuses: the jobs of an application belong to its team, and a
// team's use counts what it was accepted for.
func (f *Frontend) moveApplication(context.Context, *wire.Caller, *pb.MoveApplicationAcrossQueuesRequestProto) (*pb.MoveApplicationAcrossQueuesResponseProto, error) {
	return nil, wire.Errorf(wire.ClassUnsupported, "applications stay in their queue: what runs counts for its team")
}
