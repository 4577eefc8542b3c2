// Exit statuses and diagnostics of ended containers.

package yarn

import (
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// Exit statuses of containers in YARN's API (ContainerExitStatus).
const (
	ExitSuccess   = 0
	ExitError     = 1    // the container failed
	ExitAborted   = -100 // the worker refused the container, or its machine was lost
	ExitPreempted = -102 // stopped for other work, an interruption notice or a drain
	ExitByMaster  = -105 // released
	ExitAppOver   = -107 // killed after the end of the application
)

// exitStatus returns the exit status and diagnostics of a container that has ended.
func exitStatus(outcome jobstore.TaskOutcome) (status int32, diagnostics string) {
	switch outcome {
	case jobstore.OutcomeDone:
		return ExitSuccess, ""
	case jobstore.OutcomeFailed:
		return ExitError, "the container failed"
	case jobstore.OutcomePreempted:
		return ExitPreempted, "stopped for other work, a notice or a drain"
	case jobstore.OutcomeReleased:
		return ExitByMaster, "given back"
	case jobstore.OutcomeRefused:
		return ExitAborted, "its machine did not take it"
	}
	return ExitAborted, "its machine is lost"
}

// completedStatus returns the status of a container that has ended, without its id.
func completedStatus(outcome jobstore.TaskOutcome) *pb.ContainerStatusProto {
	status, diagnostics := exitStatus(outcome)
	return &pb.ContainerStatusProto{State: pb.ContainerStateProto_C_COMPLETE.Enum(), ExitStatus: &status, Diagnostics: &diagnostics}
}
