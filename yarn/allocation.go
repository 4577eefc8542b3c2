// Building of the response to a master's heartbeat.

package yarn

import (
	"context"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// allocateResponse returns the containers that were allocated or completed since the last report
// to the master. It marks them as reported only when the response is complete. If it marked them
// earlier, an error would leave them unreported forever.
func (f *Frontend) allocateResponse(ctx context.Context, snap *snapshot, s *session) (*pb.AllocateResponseProto, error) {
	ring, err := f.cachedKeyring(ctx)
	if err != nil {
		return nil, err
	}
	a := allocation{
		frontend: f,
		app:      snap.app,
		keyring:  &ring,
		reported: s.reported.clone(),
		nodes:    map[string]bool{},
		out:      &pb.AllocateResponseProto{Limit: f.maximumCapability(), NumClusterNodes: proto.Int32(0)},
	}
	if err := a.addUnfinished(snap.jobs); err != nil {
		return nil, err
	}
	if err := a.addFinished(ctx, snap.jobs); err != nil {
		return nil, err
	}
	if err := a.addTokens(s.responseID); err != nil {
		return nil, err
	}
	s.reported = a.reported
	return a.out, nil
}

// allocation builds the response to a heartbeat.
type allocation struct {
	frontend *Frontend
	app      *application
	keyring  *keyring
	reported reportedContainers // the session's value after this response
	nodes    map[string]bool    // nodes of the containers that this response reports as allocated
	out      *pb.AllocateResponseProto
}

// addUnfinished adds the containers of unfinished jobs: newly allocated ones, ones about to be
// preempted, and newly completed ones.
func (a *allocation) addUnfinished(jobs []jobstore.ReservedJob) error {
	var preempted []*pb.PreemptionContainerProto
	for i := range jobs {
		j := &jobs[i]
		if j.ID == a.app.MasterJob {
			continue
		}
		a.reported.openJobs[j.ID] = true
		released := j.Record.Reservation.ReleaseRanges.BitSet(j.Record.Job.Tasks)
		for _, task := range slices.Sorted(maps.Keys(j.Placements)) {
			if released.Test(uint(task)) {
				continue
			}
			if err := a.addAllocated(j, task); err != nil {
				return err
			}
			if j.Stopping[task] {
				preempted = append(preempted, &pb.PreemptionContainerProto{Id: a.app.containerID(jobSeq(j.ID), task)})
			}
		}
		a.addCompleted(j)
	}
	if len(preempted) > 0 {
		a.out.Preempt = &pb.PreemptionMessageProto{StrictContract: &pb.StrictPreemptionContractProto{Container: preempted}}
	}
	return nil
}

// addAllocated adds a placed task as an allocated container, unless it was reported before.
func (a *allocation) addAllocated(j *jobstore.ReservedJob, task int) error {
	number := containerNumber(jobSeq(j.ID), task)
	if a.reported.allocated[number] {
		return nil
	}
	container, err := a.frontend.container(a.app, a.keyring, j, task)
	if err != nil {
		return err
	}
	a.reported.allocated[number] = true
	a.out.AllocatedContainers = append(a.out.AllocatedContainers, container)
	a.nodes[j.Placements[task].Machine] = true
	return nil
}

// addCompleted adds the ended tasks of a job that were not reported as completed yet. It skips
// tasks that were released before they were reported as allocated: the master does not know them.
func (a *allocation) addCompleted(j *jobstore.ReservedJob) {
	for _, task := range slices.Sorted(maps.Keys(j.Outcomes)) {
		number, outcome := containerNumber(jobSeq(j.ID), task), j.Outcomes[task]
		if a.reported.completed[number] || outcome == jobstore.OutcomeReleased && !a.reported.allocated[number] {
			continue
		}
		a.reported.completed[number] = true
		status := completedStatus(outcome)
		status.ContainerId = a.app.containerID(jobSeq(j.ID), task)
		a.out.CompletedContainerStatuses = append(a.out.CompletedContainerStatuses, status)
	}
}

// addFinished adds the completed containers of the jobs in openJobs that have finished. It removes
// these jobs from openJobs.
func (a *allocation) addFinished(ctx context.Context, unfinished []jobstore.ReservedJob) error {
	isUnfinished := map[string]bool{}
	for i := range unfinished {
		isUnfinished[unfinished[i].ID] = true
	}
	for id := range a.reported.openJobs {
		if isUnfinished[id] {
			continue
		}
		j, found, err := a.frontend.jobs.FinishedReservation(ctx, id)
		if err != nil {
			return err
		}
		if found {
			a.addCompleted(&j)
		}
		delete(a.reported.openJobs, id)
	}
	return nil
}

// heartbeatsPerMasterToken is the number of heartbeats between new tokens for a master. It is small
// enough that a master gets a token signed by a newer key long before the key of its current
// token is dropped.
const heartbeatsPerMasterToken = 64

// addTokens adds the tokens for the nodes of new containers. Every heartbeatsPerMasterToken
// heartbeats it also adds a new token for the master.
func (a *allocation) addTokens(responseID int32) (err error) {
	if a.out.NmTokens, err = a.frontend.nodeTokens(a.app, a.keyring, a.nodes); err != nil {
		return err
	}
	if responseID%heartbeatsPerMasterToken == 0 {
		a.out.AmRmToken, err = a.keyring.issue(a.app.token(masterToken), a.frontend.settings.Advertise)
	}
	return err
}
