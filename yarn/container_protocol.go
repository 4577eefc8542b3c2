// ContainerManagementProtocol. In Hadoop, the NodeManager of each machine serves this protocol.
// Here a front end serves it for the containers on all machines.

package yarn

import (
	"bytes"
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// containerStart is a checked request to start a container.
type containerStart struct {
	id          *pb.ContainerIdProto
	job         string
	task        int
	contextOp   nwire.Op // stores the launch context under the container's own key
	contextSize int      // upper bound of the bytes of contextOp in a transaction
}

// containerFailure returns the error of a call for one container, as part of the answer.
func containerFailure(id *pb.ContainerIdProto, err error) *pb.ContainerExceptionMapProto {
	e := wire.AsError(err)
	return &pb.ContainerExceptionMapProto{
		ContainerId: id,
		Exception:   &pb.SerializedExceptionProto{Message: &e.Text, ClassName: proto.String(string(e.Class))},
	}
}

// startContainers stores the launch contexts of containers and marks the containers for launch in
// the records of their jobs. The leader sends the launch with its next answer to a heartbeat of
// the worker.
func (f *Frontend) startContainers(ctx context.Context, c *wire.Caller, in *pb.StartContainersRequestProto) (*pb.StartContainersResponseProto, error) {
	snap, err := f.callerApplication(ctx, c, nodeToken)
	if err != nil {
		return nil, err
	}
	ring, err := f.cachedKeyring(ctx)
	if err != nil {
		return nil, err
	}
	out := &pb.StartContainersResponseProto{}
	byJob := map[string][]containerStart{}
	var jobs []string
	for _, request := range in.GetStartContainerRequest() {
		start, err := f.checkStart(snap.app, &ring, request)
		if err != nil {
			out.FailedRequests = append(out.FailedRequests, containerFailure(start.id, err))
			continue
		}
		if byJob[start.job] == nil {
			jobs = append(jobs, start.job)
		}
		byJob[start.job] = append(byJob[start.job], start)
	}
	for _, job := range jobs {
		for _, starts := range f.splitByTransaction(byJob[job]) {
			f.startJobContainers(ctx, snap.app, job, starts, out)
		}
	}
	return out, nil
}

// splitByTransaction splits the starts of one job into parts that fit into one transaction each.
// One change of each transaction is for the record of the job. Each start needs one more change,
// but starts that all have the same context share one.
func (f *Frontend) splitByTransaction(starts []containerStart) [][]containerStart {
	var parts [][]containerStart
	for len(starts) > 0 {
		n := len(starts)
		if !haveSameContext(starts) {
			n = f.startsPerTransaction(starts)
		}
		parts = append(parts, starts[:n])
		starts = starts[n:]
	}
	return parts
}

// jobChangeBytes bounds the size of the rest of a transaction that starts containers, except for the
// value of the job's record.
const jobChangeBytes = 1 << 10

// startsPerTransaction returns how many of the first starts fit into a transaction, at least one. The
// job's record may take as much as a value can.
func (f *Frontend) startsPerTransaction(starts []containerStart) int {
	left := nwire.MaxBody - f.limits.ValueBytes - jobChangeBytes
	for n, start := range starts {
		if left -= start.contextSize; n > 0 && left < 0 || n == f.limits.TxnOps-1 {
			return n
		}
	}
	return len(starts)
}

// checkStart checks the token of a container and returns what to start. If the token names a
// container, the result has its id even with an error.
func (f *Frontend) checkStart(app *application, ring *keyring, request *pb.StartContainerRequestProto) (containerStart, error) {
	t, err := parseToken(request.GetContainerToken().GetIdentifier())
	if err != nil {
		return containerStart{}, wire.Errorf(wire.ClassInvalidToken, "%v", err)
	}
	seq, task := splitContainerNumber(t.container)
	start := containerStart{id: app.containerID(seq, task), job: jobID(app.ID, seq), task: task}
	password, err := ring.sign(t.key, t.String())
	if err != nil || t.kind != containerToken || t.application != app.ID || t.clusterTimestamp != app.ClusterTimestamp || t.attempt != app.Attempt ||
		!bytes.Equal(password, request.GetContainerToken().GetPassword()) {
		return start, wire.Errorf(wire.ClassInvalidToken, "the container's token is not valid")
	}
	start.contextOp, start.contextSize, err = f.contextOp(app.contextKey(start.job, task), request.GetContainerLaunchContext())
	return start, err
}

// startJobContainers starts containers of one job in one transaction. It adds the result for each
// container to the answer.
func (f *Frontend) startJobContainers(ctx context.Context, app *application, job string, starts []containerStart, out *pb.StartContainersResponseProto) {
	var started []containerStart
	err := retry(ctx, func() (err error) {
		started, err = f.markLaunched(ctx, app, job, starts)
		return err
	})
	for _, start := range starts {
		switch {
		case err != nil:
			out.FailedRequests = append(out.FailedRequests, containerFailure(start.id, err))
		case slices.ContainsFunc(started, func(s containerStart) bool { return s.task == start.task }):
			out.SucceededRequests = append(out.SucceededRequests, start.id)
		default:
			gone := wire.Errorf(wire.ClassNoContainer, "%s has no place any more", ContainerName(start.id))
			out.FailedRequests = append(out.FailedRequests, containerFailure(start.id, gone))
		}
	}
}

// markLaunched commits that tasks of a job may be launched, together with their launch contexts.
// It skips tasks that are not placed on a machine or were released. It returns the starts of the
// other tasks.
func (f *Frontend) markLaunched(ctx context.Context, app *application, job string, starts []containerStart) ([]containerStart, error) {
	_, jobs, err := f.jobs.OwnedJobs(ctx, app.key())
	if err != nil {
		return nil, err
	}
	j := findJob(jobs, job)
	if j == nil {
		return nil, nil
	}
	tasks := j.Record.Job.Tasks
	launched, released := j.Record.Reservation.LaunchRanges.BitSet(tasks), j.Record.Reservation.ReleaseRanges.BitSet(tasks)
	var placed, fresh []containerStart
	for _, start := range starts {
		if _, ok := j.Placements[start.task]; !ok || released.Test(uint(start.task)) {
			continue
		}
		placed = append(placed, start)
		if !launched.Test(uint(start.task)) { // a repeated start changes nothing
			launched.Set(uint(start.task))
			fresh = append(fresh, start)
		}
	}
	if len(fresh) == 0 {
		return placed, nil
	}
	ops, refs := app.shareContexts(fresh, slices.Clone(j.Record.Reservation.SharedKeys), tasks)
	return placed, f.jobs.UpdateReservation(ctx, j, func(r *jobstore.Reservation) {
		r.LaunchRanges, r.SharedKeys = jobstore.RangesOf(launched), refs
	}, ops...)
}

// findJob returns the job with the given id, or nil if there is none.
func findJob(jobs []jobstore.ReservedJob, id string) *jobstore.ReservedJob {
	i := slices.IndexFunc(jobs, func(j jobstore.ReservedJob) bool { return j.ID == id })
	if i < 0 {
		return nil
	}
	return &jobs[i]
}

func (f *Frontend) stopContainers(ctx context.Context, c *wire.Caller, in *pb.StopContainersRequestProto) (*pb.StopContainersResponseProto, error) {
	snap, err := f.callerApplication(ctx, c, nodeToken)
	if err != nil {
		return nil, err
	}
	out := &pb.StopContainersResponseProto{}
	for _, id := range in.GetContainerId() {
		if err := f.releaseContainers(ctx, snap, []*pb.ContainerIdProto{id}); err != nil {
			out.FailedRequests = append(out.FailedRequests, containerFailure(id, err))
			continue
		}
		out.SucceededRequests = append(out.SucceededRequests, id)
	}
	return out, nil
}

func (f *Frontend) getContainerStatuses(ctx context.Context, c *wire.Caller, in *pb.GetContainerStatusesRequestProto) (*pb.GetContainerStatusesResponseProto, error) {
	snap, err := f.callerApplication(ctx, c, nodeToken)
	if err != nil {
		return nil, err
	}
	out := &pb.GetContainerStatusesResponseProto{}
	for _, id := range in.GetContainerId() {
		seq, task := splitContainerNumber(id.GetId())
		status, err := f.containerStatus(ctx, snap, jobID(snap.app.ID, seq), task)
		if err != nil {
			out.FailedRequests = append(out.FailedRequests, containerFailure(id, err))
			continue
		}
		status.ContainerId = id
		out.Status = append(out.Status, status)
	}
	return out, nil
}

// errNoSuchContainer is returned for a container that was never allocated.
var errNoSuchContainer = wire.Errorf(wire.ClassNoContainer, "there is no such container")

// containerStatus returns the status of a task as a container, also if the task or the job has
// ended. It fails with errNoSuchContainer if the task was never placed.
func (f *Frontend) containerStatus(ctx context.Context, snap *snapshot, job string, task int) (*pb.ContainerStatusProto, error) {
	j := findJob(snap.jobs, job)
	if j == nil {
		finished, found, err := f.jobs.FinishedReservation(ctx, job)
		if err != nil {
			return nil, err
		}
		if !found {
			return nil, errNoSuchContainer
		}
		j = &finished
	}
	if outcome, ok := j.Outcomes[task]; ok {
		return completedStatus(outcome), nil
	}
	if _, ok := j.Placements[task]; !ok {
		return nil, errNoSuchContainer
	}
	state := pb.ContainerStateProto_C_NEW
	if j.Record.Reservation.LaunchRanges.BitSet(j.Record.Job.Tasks).Test(uint(task)) {
		state = pb.ContainerStateProto_C_RUNNING
	}
	return &pb.ContainerStatusProto{State: &state, Diagnostics: proto.String("")}, nil
}
