package yarn

import (
	"context"
	"fmt"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// masterResourceName is the resource name in the tag of a managed master's job, so that the tag
// differs from those of containers.
const masterResourceName = "master"

// keepMasterRunning launches a managed application's master, and begins the next attempt when
// the master has ended without having finished the application. After the last attempt the
// application fails, unless the master was preempted or its machine was lost.
func (f *Frontend) keepMasterRunning(ctx context.Context, a *application, jobs []jobstore.ReservedJob) error {
	if a.MasterJob == "" {
		return f.launchMaster(ctx, a.protoID())
	}
	if findJob(jobs, a.MasterJob) != nil {
		return nil
	}
	finished, found, err := f.jobs.FinishedReservation(ctx, a.MasterJob)
	if err != nil || !found {
		return err
	}
	outcome := finished.Outcomes[0]
	status, reason := exitStatus(outcome)
	diagnostics := fmt.Sprintf("attempt %d: its master ended with status %d %s", a.Attempt, status, reason)
	ownFault := outcome != jobstore.OutcomePreempted && outcome != jobstore.OutcomeLost
	if a.Attempt >= a.MaxAttempts && ownFault {
		return f.endFailed(ctx, a, diagnostics)
	}
	return f.beginNextAttempt(ctx, a, diagnostics)
}

// beginNextAttempt begins an application's next attempt. The tokens of the previous one are refused from
// then on.
func (f *Frontend) beginNextAttempt(ctx context.Context, previous *application, diagnostics string) error {
	s, err := f.readApplication(ctx, previous.protoID())
	if err != nil || s.ended() || s.app.Attempt != previous.Attempt {
		return err
	}
	s.app.Attempt++
	s.app.MasterJob, s.app.State, s.app.Diagnostics = "", stateAccepted, diagnostics
	if err := f.writeApplication(ctx, s); err != nil {
		return err
	}
	return f.launchMaster(ctx, s.app.protoID())
}

// launchMaster reserves the job of a managed application's master, which is launched as soon
// as it is placed. Before that it cancels the jobs of the previous attempt: as long as there is no
// master, all jobs are of that, also if the controller that began this attempt has ended since.
func (f *Frontend) launchMaster(ctx context.Context, id *pb.ApplicationIdProto) error {
	return retry(ctx, func() error {
		s, err := f.readApplication(ctx, id)
		if err != nil || s.ended() || s.app.MasterJob != "" {
			return err
		}
		if err := f.cancelJobs(ctx, s.jobs); err != nil {
			return err
		}
		s.app.MasterJob = jobID(s.app.ID, s.app.NextJobSeq)
		request := s.app.MasterRequest
		request.ResourceName = masterResourceName
		_, err = f.reserve(ctx, s, &request, 1, jobstore.Reservation{Tag: request.tag(), LaunchRanges: []int{0, 0}})
		return err
	})
}
