// Managed masters: application masters that run as tasks in the cluster.

package yarn

import (
	"context"
	"fmt"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// masterResourceName is the resource name in the tag of a managed master's job. It makes the tag
// differ from the tags of containers.
const masterResourceName = "master"

// keepMasterRunning launches the master of a managed application if there is none. If the master
// ended before it finished the application, keepMasterRunning begins the next attempt. After
// MaxAttempts attempts it ends the application as failed instead, unless the master was preempted
// or its machine was lost.
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

// beginNextAttempt commits the next attempt of an application and launches its master. Tokens of
// the previous attempt are refused from then on.
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

// launchMaster reserves the job of a managed application's master. The job is launched as soon as it
// is placed. Before the reservation, launchMaster cancels all unfinished jobs of the application.
// While MasterJob is empty, they belong to the previous attempt, also if the controller that began
// the current attempt has crashed.
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
