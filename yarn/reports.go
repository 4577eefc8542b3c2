// The calls of ApplicationClientProtocol that inspect applications.

package yarn

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// getApplicationReport returns the report of an application. As in YARN, the report of an unmanaged
// application contains the token for its master.
func (f *Frontend) getApplicationReport(ctx context.Context, _ *wire.Caller, in *pb.GetApplicationReportRequestProto) (*pb.GetApplicationReportResponseProto, error) {
	snap, err := f.readApplication(ctx, in.GetApplicationId())
	if err != nil {
		return nil, err
	}
	report := f.report(snap.app, snap.jobs)
	if snap.app.Unmanaged && !snap.ended() {
		ring, err := f.cachedKeyring(ctx)
		if err != nil {
			return nil, err
		}
		if report.AmRmToken, err = ring.issue(snap.app.token(masterToken), f.settings.Advertise); err != nil {
			return nil, err
		}
	}
	return &pb.GetApplicationReportResponseProto{ApplicationReport: report}, nil
}

func (f *Frontend) report(app *application, jobs []jobstore.ReservedJob) *pb.ApplicationReportProto {
	return &pb.ApplicationReportProto{
		ApplicationId:               app.protoID(),
		User:                        &app.User,
		Queue:                       proto.String(leafName(app.Queue)),
		Name:                        &app.Name,
		Host:                        &app.Host,
		RpcPort:                     &app.RPCPort,
		YarnApplicationState:        app.protoState().Enum(),
		TrackingUrl:                 &app.TrackingURL,
		OriginalTrackingUrl:         &app.TrackingURL,
		Diagnostics:                 &app.Diagnostics,
		StartTime:                   &app.StartedMs,
		FinishTime:                  &app.FinishedMs,
		FinalApplicationStatus:      pb.FinalApplicationStatusProto(app.FinalStatus).Enum(),
		CurrentApplicationAttemptId: app.attemptID(),
		ApplicationType:             &app.Type,
		ApplicationTags:             app.Tags,
		UnmanagedApplication:        &app.Unmanaged,
		Priority:                    &pb.PriorityProto{Priority: &app.Priority},
		AppResource_Usage:           f.usageReport(jobs),
	}
}

// usageReport returns the sum of the resources of all placed tasks of jobs.
func (f *Frontend) usageReport(jobs []jobstore.ReservedJob) *pb.ApplicationResourceUsageReportProto {
	var memoryGB, cpus, gpus float64
	containers := 0
	for i := range jobs {
		job, placed := &jobs[i].Record.Job, len(jobs[i].Placements)
		memoryGB += float64(placed) * job.MemoryGB
		cpus += float64(placed) * job.CPUs
		gpus += float64(placed) * job.GPUs
		containers += placed
	}
	return &pb.ApplicationResourceUsageReportProto{
		NumUsedContainers:     proto.Int32(int32(containers)),
		NumReservedContainers: proto.Int32(0),
		UsedResources:         f.resourceProto(capabilityOf(cpus, gpus, memoryGB)),
	}
}

// applicationFilter selects applications for a list. An empty field matches all applications.
type applicationFilter struct {
	types, users, queues, tags []string
	states                     []pb.YarnApplicationStateProto
	name                       string
	limit                      int // 0 means maxListed
}

// maxListed is the largest number of applications in one answer.
const maxListed = 1000

// unfinishedStates are the states of unfinished applications.
var unfinishedStates = []pb.YarnApplicationStateProto{pb.YarnApplicationStateProto_ACCEPTED, pb.YarnApplicationStateProto_RUNNING}

func (filter *applicationFilter) matches(app *application) bool {
	return matchesAny(filter.types, app.Type) && matchesAny(filter.users, app.User) &&
		(matchesAny(filter.queues, app.Queue) || matchesAny(filter.queues, leafName(app.Queue))) &&
		matchesAny(filter.states, app.protoState()) && (filter.name == "" || filter.name == app.Name) &&
		(len(filter.tags) == 0 || slices.ContainsFunc(app.Tags, func(tag string) bool { return slices.Contains(filter.tags, tag) }))
}

func matchesAny[T comparable](allowed []T, value T) bool {
	return len(allowed) == 0 || slices.Contains(allowed, value)
}

// matchesFinal reports whether ended applications can match.
func (filter *applicationFilter) matchesFinal() bool {
	return len(filter.states) == 0 || slices.ContainsFunc(filter.states, func(state pb.YarnApplicationStateProto) bool {
		return state >= pb.YarnApplicationStateProto_FINISHED
	})
}

// listApplications returns the reports of the matching applications, the unfinished ones first. It
// skips unreadable records.
func (f *Frontend) listApplications(ctx context.Context, filter applicationFilter) ([]*pb.ApplicationReportProto, error) {
	if filter.limit <= 0 || filter.limit > maxListed {
		filter.limit = maxListed
	}
	entries, err := f.jobs.ListApps(ctx)
	if err != nil {
		return nil, err
	}
	var out []*pb.ApplicationReportProto
	for _, e := range entries {
		var a application
		if e.Key == keysKey || nwire.Unmarshal(e.Value, &a) != nil || !filter.matches(&a) || len(out) >= filter.limit {
			continue
		}
		_, jobs, err := f.jobs.OwnedJobs(ctx, e.Key)
		if err != nil {
			return nil, err
		}
		out = append(out, f.report(&a, jobs))
	}
	if len(out) >= filter.limit || !filter.matchesFinal() {
		return out, nil
	}
	final, _, err := f.store.List(ctx, finalPrefix)
	if err != nil {
		return nil, err
	}
	for i := len(final) - 1; i >= 0 && len(out) < filter.limit; i-- { // the newest first
		var a application
		if nwire.Unmarshal(final[i].Value, &a) == nil && filter.matches(&a) {
			out = append(out, f.report(&a, nil))
		}
	}
	return out, nil
}

func (f *Frontend) getApplications(ctx context.Context, _ *wire.Caller, in *pb.GetApplicationsRequestProto) (*pb.GetApplicationsResponseProto, error) {
	out, err := f.listApplications(ctx, applicationFilter{
		types:  in.GetApplicationTypes(),
		users:  in.GetUsers(),
		queues: in.GetQueues(),
		tags:   in.GetApplicationTags(),
		states: in.GetApplicationStates(),
		name:   in.GetName(),
		limit:  int(min(in.GetLimit(), maxListed)),
	})
	return &pb.GetApplicationsResponseProto{Applications: out}, err
}
