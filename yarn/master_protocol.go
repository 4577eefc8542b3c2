// ApplicationMasterProtocol: registration, heartbeats and the end of a master.

package yarn

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// registerApplicationMaster begins a session of a master and replaces an earlier session. The
// response lists all placed containers. The next heartbeats report all completed containers, also
// those that an earlier session has reported.
func (f *Frontend) registerApplicationMaster(ctx context.Context, c *wire.Caller, in *pb.RegisterApplicationMasterRequestProto) (*pb.RegisterApplicationMasterResponseProto, error) {
	var snap *snapshot
	err := retry(ctx, func() (err error) {
		if snap, err = f.callerApplication(ctx, c, masterToken); err != nil {
			return err
		}
		app := snap.app
		app.State, app.Host, app.RPCPort, app.TrackingURL = stateRunning, in.GetHost(), in.GetRpcPort(), in.GetTrackingUrl()
		app.Heartbeats++
		return f.writeApplication(ctx, snap)
	})
	if err != nil {
		return nil, err
	}
	app := snap.app
	s := &session{attempt: app.Attempt, reported: newReportedContainers(), blacklist: map[string]bool{}, recordedAt: time.Now()}
	for seq := range app.NextJobSeq {
		if id := jobID(app.ID, seq); id != app.MasterJob {
			s.reported.openJobs[id] = true
		}
	}
	out := &pb.RegisterApplicationMasterResponseProto{MaximumCapability: f.maximumCapability(), Queue: proto.String(leafName(app.Queue))}
	if err := f.listRunning(ctx, snap, &s.reported, out); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.sessions[app.name()] = s
	f.mu.Unlock()
	f.log.Info("yarn: master registered", "app", app.name(), "attempt", app.Attempt, "containers", len(s.reported.allocated))
	return out, nil
}

// listRunning adds the placed containers and the tokens for their nodes to the response to a
// registration. It marks the containers as reported.
func (f *Frontend) listRunning(ctx context.Context, snap *snapshot, reported *reportedContainers, out *pb.RegisterApplicationMasterResponseProto) error {
	ring, err := f.cachedKeyring(ctx)
	if err != nil {
		return err
	}
	nodes := map[string]bool{}
	for i := range snap.jobs {
		j := &snap.jobs[i]
		if j.ID == snap.app.MasterJob {
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(j.Placements)) {
			container, err := f.container(snap.app, &ring, j, task)
			if err != nil {
				return err
			}
			reported.allocated[container.GetId().GetId()] = true
			out.ContainersFromPreviousAttempts = append(out.ContainersFromPreviousAttempts, container)
			nodes[j.Placements[task].Machine] = true
		}
	}
	out.NmTokensFromPreviousAttempts, err = f.nodeTokens(snap.app, &ring, nodes)
	return err
}

// nodeTokens returns one token for each node. A master calls ContainerManagementProtocol with it.
func (f *Frontend) nodeTokens(app *application, ring *keyring, nodes map[string]bool) ([]*pb.NMTokenProto, error) {
	var out []*pb.NMTokenProto
	for _, node := range slices.Sorted(maps.Keys(nodes)) {
		t, err := ring.issue(app.token(nodeToken), f.settings.Advertise)
		if err != nil {
			return nil, err
		}
		out = append(out, &pb.NMTokenProto{NodeId: nodeID(node), Token: t})
	}
	return out, nil
}

// container returns a placed task as a container, with the token that the master needs to start it.
func (f *Frontend) container(app *application, ring *keyring, j *jobstore.ReservedJob, task int) (*pb.ContainerProto, error) {
	id := app.containerID(jobSeq(j.ID), task)
	t := app.token(containerToken)
	t.container = id.GetId()
	signed, err := ring.issue(t, f.settings.Advertise)
	if err != nil {
		return nil, err
	}
	request := parseTag(j.Record.Reservation.Tag)
	return &pb.ContainerProto{
		Id:                  id,
		NodeId:              nodeID(j.Placements[task].Machine),
		NodeHttpAddress:     proto.String(""),
		Resource:            f.resourceProto(request.capability()),
		Priority:            &pb.PriorityProto{Priority: &request.Priority},
		ContainerToken:      signed,
		AllocationRequestId: &request.AllocationRequestID,
	}, nil
}

// allocate handles a heartbeat of a master. It applies releases, blacklist changes and container
// requests, and returns the newly allocated and completed containers. A heartbeat that repeats the
// previous response id gets the previous response again.
func (f *Frontend) allocate(ctx context.Context, c *wire.Caller, in *pb.AllocateRequestProto) (*pb.AllocateResponseProto, error) {
	snap, err := f.callerApplication(ctx, c, masterToken)
	if wire.IsClass(err, wire.ClassNoAttempt) {
		return &pb.AllocateResponseProto{AMCommand: pb.AMCommandProto_AM_SHUTDOWN.Enum(), ResponseId: in.ResponseId}, nil
	}
	if err != nil {
		return nil, err
	}
	s := f.session(snap.app)
	if s == nil {
		return nil, wire.Errorf(wire.ClassNotReg, "AM is not registered for known application attempt: %s_%d", snap.app.name(), snap.app.Attempt)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch id := in.GetResponseId(); {
	case id == s.responseID-1 && s.lastResponse != nil:
		return s.lastResponse, nil // the master did not receive the last response
	case id != s.responseID:
		return &pb.AllocateResponseProto{AMCommand: pb.AMCommandProto_AM_RESYNC.Enum(), ResponseId: proto.Int32(s.responseID)}, nil
	}
	changed, err := f.applyHeartbeat(ctx, c, s, snap, in)
	if err != nil {
		return nil, err
	}
	if changed {
		if snap, err = f.callerApplication(ctx, c, masterToken); err != nil {
			return nil, err
		}
	}
	out, err := f.allocateResponse(ctx, snap, s)
	if err != nil {
		return nil, err
	}
	s.responseID++
	out.ResponseId = proto.Int32(s.responseID)
	s.lastResponse = out
	f.recordHeartbeat(ctx, snap, s)
	return out, nil
}

// applyHeartbeat commits the changes that a heartbeat requests. It reports whether there were any.
func (f *Frontend) applyHeartbeat(ctx context.Context, c *wire.Caller, s *session, snap *snapshot, in *pb.AllocateRequestProto) (changed bool, err error) {
	if len(in.GetRelease()) > 0 {
		if err := f.releaseContainers(ctx, snap, in.GetRelease()); err != nil {
			return false, err
		}
		changed = true
	}
	if b := in.GetBlacklistRequest(); b != nil {
		s.updateBlacklist(b)
		if err := f.applyBlacklist(ctx, snap.app, s.blacklisted()); err != nil {
			return false, err
		}
		changed = true
	}
	if len(in.GetAsk()) > 0 {
		if err := f.applyRequests(ctx, c, s, in.GetAsk()); err != nil {
			return false, err
		}
		changed = true
	}
	return changed, nil
}

// recordedHeartbeatsPerTimeout is the number of recorded heartbeats within the timeout of a master.
const recordedHeartbeatsPerTimeout = 3

// recordHeartbeat writes the record of the application to show that the master is alive. The leader
// measures the timeout of the master from when it first saw the current version of the record.
// Not every heartbeat is recorded (recordedHeartbeatsPerTimeout).
func (f *Frontend) recordHeartbeat(ctx context.Context, snap *snapshot, s *session) {
	if time.Since(s.recordedAt) < seconds(f.settings.MasterTimeoutS/recordedHeartbeatsPerTimeout) {
		return
	}
	snap.app.Heartbeats++
	if err := f.writeApplication(ctx, snap); err != nil {
		f.log.Debug("yarn: heartbeat not recorded", "app", snap.app.name(), "err", err) // the next heartbeat tries again
		return
	}
	s.recordedAt = time.Now()
}

// releaseContainers marks containers as released. It fails if one belongs to another application.
func (f *Frontend) releaseContainers(ctx context.Context, snap *snapshot, ids []*pb.ContainerIdProto) error {
	tasksByJob := map[string][]int{}
	for _, id := range ids {
		if id.GetAppAttemptId().GetApplicationId().GetId() != snap.app.ID && id.GetAppId().GetId() != snap.app.ID {
			return wire.Errorf(wire.ClassBadRelease, "%s is not a container of %s", ContainerName(id), snap.app.name())
		}
		seq, task := splitContainerNumber(id.GetId())
		job := jobID(snap.app.ID, seq)
		tasksByJob[job] = append(tasksByJob[job], task)
	}
	for job, tasks := range tasksByJob {
		if err := f.releaseTasks(ctx, snap, job, tasks); err != nil {
			return err
		}
	}
	return nil
}

// releaseTasks marks tasks of a job as released. It does nothing if the job has finished.
func (f *Frontend) releaseTasks(ctx context.Context, snap *snapshot, job string, tasks []int) error {
	jobs, stale := snap.jobs, false
	return retry(ctx, func() error {
		if stale {
			var err error
			if _, jobs, err = f.jobs.OwnedJobs(ctx, snap.app.key()); err != nil {
				return err
			}
		}
		stale = true
		j := findJob(jobs, job)
		if j == nil {
			return nil
		}
		return f.jobs.UpdateReservation(ctx, j, func(r *jobstore.Reservation) {
			r.ReleaseRanges = addTasks(r.ReleaseRanges, tasks, j.Record.Job.Tasks)
		})
	})
}

// addTasks adds tasks to a set. It ignores numbers outside of 0 to jobTasks-1.
func addTasks(ranges jobstore.TaskRanges, tasks []int, jobTasks int) jobstore.TaskRanges {
	set := ranges.BitSet(jobTasks)
	for _, task := range tasks {
		if task >= 0 && task < jobTasks {
			set.Set(uint(task))
		}
	}
	return jobstore.RangesOf(set)
}

// applyBlacklist writes the blacklist to the jobs with tasks that wait to be placed.
func (f *Frontend) applyBlacklist(ctx context.Context, app *application, nodes []string) error {
	return retry(ctx, func() error {
		_, jobs, err := f.jobs.OwnedJobs(ctx, app.key())
		if err != nil {
			return err
		}
		for i := range jobs {
			j := &jobs[i]
			if j.ID == app.MasterJob || slices.Equal(j.Record.Reservation.AvoidMachines, nodes) || len(pendingTasks(j)) == 0 {
				continue
			}
			if err := f.jobs.UpdateReservation(ctx, j, func(r *jobstore.Reservation) { r.AvoidMachines = nodes }); err != nil {
				return err
			}
		}
		return nil
	})
}

// finishApplicationMaster ends the application with the final status from its master. A repeated
// call on the same connection gets the same answer. The token is refused on new connections.
func (f *Frontend) finishApplicationMaster(ctx context.Context, c *wire.Caller, in *pb.FinishApplicationMasterRequestProto) (*pb.FinishApplicationMasterResponseProto, error) {
	t, err := callerToken(c, masterToken)
	if err != nil {
		return nil, err
	}
	out := &pb.FinishApplicationMasterResponseProto{IsUnregistered: proto.Bool(true)}
	if _, err := f.tokenApplication(ctx, t); err != nil {
		if wire.IsClass(err, wire.ClassNoAttempt) {
			return out, nil
		}
		return nil, err
	}
	state := stateFinished
	if in.GetFinalApplicationStatus() == pb.FinalApplicationStatusProto_APP_FAILED {
		state = stateFailed
	}
	return out, f.endApplication(ctx, t.applicationID(), state, func(app *application) {
		app.Diagnostics, app.FinalStatus, app.TrackingURL = in.GetDiagnostics(), int32(in.GetFinalApplicationStatus()), in.GetTrackingUrl()
	})
}
