// The calls of ApplicationClientProtocol that change applications.

package yarn

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

func (f *Frontend) getNewApplication(ctx context.Context, _ *wire.Caller, _ *pb.GetNewApplicationRequestProto) (*pb.GetNewApplicationResponseProto, error) {
	clusterTimestamp, id, err := f.newApplicationID(ctx)
	if err != nil {
		return nil, err
	}
	return &pb.GetNewApplicationResponseProto{
		ApplicationId:     &pb.ApplicationIdProto{Id: proto.Int32(id), ClusterTimestamp: proto.Int64(clusterTimestamp)},
		MaximumCapability: f.maximumCapability(),
	}, nil
}

// submitApplication commits a new application and tries to launch its master. If the launch fails,
// the leader repeats it. A repeated submission with the same id changes nothing and gets the same
// answer.
func (f *Frontend) submitApplication(ctx context.Context, c *wire.Caller, in *pb.SubmitApplicationRequestProto) (*pb.SubmitApplicationResponseProto, error) {
	submission := in.GetApplicationSubmissionContext()
	id := submission.GetApplicationId()
	known, err := f.isSubmitted(ctx, id)
	if err != nil {
		return nil, err
	}
	if known {
		return &pb.SubmitApplicationResponseProto{}, nil
	}
	app, err := f.newApplication(ctx, c.User, submission)
	if err != nil {
		return nil, err
	}
	if err := f.commitSubmission(ctx, app, submission); err != nil {
		return nil, err
	}
	if !app.Unmanaged {
		if err := f.launchMaster(ctx, id); err != nil {
			f.log.Debug("yarn: master not launched yet", "app", app.name(), "err", err)
		}
	}
	return &pb.SubmitApplicationResponseProto{}, nil
}

// isSubmitted reports whether an application was submitted already. It fails if getNewApplication
// did not issue the id.
func (f *Frontend) isSubmitted(ctx context.Context, id *pb.ApplicationIdProto) (bool, error) {
	ring, _, err := f.readKeyring(ctx)
	if err != nil {
		return false, err
	}
	if id.GetClusterTimestamp() != ring.ClusterTimestamp || id.GetId() < 1 || id.GetId() >= ring.NextID {
		return false, wire.Errorf(wire.ClassYarn, "application id %s was not given out here", applicationNameOf(id))
	}
	_, err = f.readApplication(ctx, id)
	if wire.IsClass(err, wire.ClassNoApp) {
		return false, nil
	}
	return err == nil, err
}

// newApplication returns the record of a submitted application. It fails if the queue is unknown,
// there are MaxApps unfinished applications, or the master can never run.
func (f *Frontend) newApplication(ctx context.Context, user string, submission *pb.ApplicationSubmissionContextProto) (*application, error) {
	id := submission.GetApplicationId()
	queue, ok := f.settings.queue(submission.GetQueue())
	if !ok {
		return nil, wire.Errorf(wire.ClassYarn, "Failed to submit %s : there is no queue %q", applicationNameOf(id), submission.GetQueue())
	}
	apps, err := f.jobs.ListApps(ctx)
	if err != nil {
		return nil, err
	}
	if len(apps) > f.settings.MaxApps { // ListApps includes the keyring's record
		return nil, wire.Errorf(wire.ClassYarn, "Failed to submit %s : %d applications are unfinished already", applicationNameOf(id), f.settings.MaxApps)
	}
	app := &application{
		ID:               id.GetId(),
		ClusterTimestamp: id.GetClusterTimestamp(),
		Name:             submission.GetApplicationName(),
		User:             user,
		Queue:            queue.Path,
		Type:             submission.GetApplicationType(),
		Tags:             submission.GetApplicationTags(),
		Priority:         submission.GetPriority().GetPriority(),
		Unmanaged:        submission.GetUnmanagedAm(),
		State:            stateAccepted,
		Attempt:          1,
		MaxAttempts:      max(1, submission.GetMaxAppAttempts()),
		StartedMs:        time.Now().UnixMilli(),
	}
	if app.Unmanaged {
		return app, nil
	}
	app.MasterContextKey = contextPrefix + app.name() + "/master"
	return app, f.setMasterRequest(app, submission)
}

// setMasterRequest sets the resources of the master of a managed application. If the master can
// never run, it fails with the text that a native job gets.
func (f *Frontend) setMasterRequest(app *application, submission *pb.ApplicationSubmissionContextProto) error {
	resource := submission.GetResource()
	if requests := submission.GetAmContainerResourceRequest(); resource == nil && len(requests) > 0 {
		resource = requests[0].GetCapability()
	}
	size, err := f.parseCapability(resource)
	if err != nil {
		return err
	}
	request := containerRequest{ResourceName: anyNode, NodeLabel: submission.GetNodeLabelExpression()}
	request.setCapability(size)
	if _, err := f.feasibleJob(app, &request, 1); err != nil {
		return err
	}
	app.MasterRequest = request
	return nil
}

// commitSubmission writes the record of an application. For a managed application, the same
// transaction writes the launch context of the master.
func (f *Frontend) commitSubmission(ctx context.Context, app *application, submission *pb.ApplicationSubmissionContextProto) error {
	guards := []nwire.Guard{{Key: app.key()}, {Key: finalPrefix + app.name()}}
	ops := []nwire.Op{{Put: app.key(), Value: app}}
	if !app.Unmanaged {
		op, _, err := f.contextOp(app.MasterContextKey, submission.GetAmContainerSpec())
		if err != nil {
			return err
		}
		ops = append(ops, op)
	}
	return retry(ctx, func() error {
		if _, err := f.store.CompareAndSwap(ctx, guards, ops); err != nil {
			if _, readErr := f.readApplication(ctx, app.protoID()); readErr == nil {
				return nil // submitted concurrently, or committed by an attempt whose answer was lost
			}
			return err
		}
		f.log.Info("yarn: application", "app", app.name(), "queue", app.Queue, "user", app.User, "unmanaged", app.Unmanaged)
		return nil
	})
}

func (f *Frontend) forceKillApplication(ctx context.Context, _ *wire.Caller, in *pb.KillApplicationRequestProto) (*pb.KillApplicationResponseProto, error) {
	diagnostics := in.GetDiagnostics()
	if diagnostics == "" {
		diagnostics = "killed by its user"
	}
	err := f.endApplication(ctx, in.GetApplicationId(), stateKilled, func(app *application) {
		app.Diagnostics, app.FinalStatus = diagnostics, int32(pb.FinalApplicationStatusProto_APP_KILLED)
	})
	if err != nil {
		return nil, err
	}
	return &pb.KillApplicationResponseProto{IsKillCompleted: proto.Bool(true)}, nil
}

// moveApplicationAcrossQueues always fails. A queue stands for a team, and the jobs of an
// application are charged to the team for which they were accepted.
func (f *Frontend) moveApplicationAcrossQueues(context.Context, *wire.Caller, *pb.MoveApplicationAcrossQueuesRequestProto) (*pb.MoveApplicationAcrossQueuesResponseProto, error) {
	return nil, wire.Errorf(wire.ClassUnsupported, "applications stay in their queue: what runs counts for its team")
}
