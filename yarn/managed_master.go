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
func (f *Frontend) keepMasterRunning(ctx context.Context, app *application, jobs []jobstore.ReservedJob) error {
	if app.MasterJob == "" {
		return f.launchMaster(ctx, app.protoID())
	}
	if findJob(jobs, app.MasterJob) != nil {
		return nil
	}
	finished, found, err := f.jobs.FinishedReservation(ctx, app.MasterJob)
	if err != nil || !found {
		return err
	}
	outcome := finished.Outcomes[0]
	status, reason := exitStatus(outcome)
	diagnostics := fmt.Sprintf("attempt %d: its master ended with status %d %s", app.Attempt, status, reason)
	ownFault := outcome != jobstore.OutcomePreempted && outcome != jobstore.OutcomeLost
	if app.Attempt >= app.MaxAttempts && ownFault {
		return f.endFailed(ctx, app, diagnostics)
	}
	return f.beginNextAttempt(ctx, app, diagnostics)
}

// beginNextAttempt commits the next attempt of an application and launches its master. Tokens of
// the previous attempt are refused from then on.
func (f *Frontend) beginNextAttempt(ctx context.Context, previous *application, diagnostics string) error {
	snap, err := f.readApplication(ctx, previous.protoID())
	if err != nil || snap.ended() || snap.app.Attempt != previous.Attempt {
		return err
	}
	snap.app.Attempt++
	snap.app.MasterJob, snap.app.State, snap.app.Diagnostics = "", stateAccepted, diagnostics
	if err := f.writeApplication(ctx, snap); err != nil {
		return err
	}
	return f.launchMaster(ctx, snap.app.protoID())
}

// launchMaster reserves the job of a managed application's master. The job is launched as soon as
// it is placed. Before the reservation, launchMaster cancels all unfinished jobs of the
// application. All of them belong to the previous attempt, because the current attempt has no jobs
// as long as MasterJob is empty. This holds even if the controller that began the current attempt
// has crashed.
func (f *Frontend) launchMaster(ctx context.Context, id *pb.ApplicationIdProto) error {
	return retry(ctx, func() error {
		snap, err := f.readApplication(ctx, id)
		if err != nil || snap.ended() || snap.app.MasterJob != "" {
			return err
		}
		if err := f.cancelJobs(ctx, snap.jobs); err != nil {
			return err
		}
		snap.app.MasterJob = jobID(snap.app.ID, snap.app.NextJobSeq)
		request := snap.app.MasterRequest
		request.ResourceName = masterResourceName
		_, err = f.reserve(ctx, snap, &request, 1, jobstore.Reservation{Tag: request.tag(), LaunchRanges: []int{0, 0}})
		return err
	})
}
