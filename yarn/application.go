// The stored record of an application.

package yarn

import (
	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// applicationState is the state of an application as its record stores it.
type applicationState string

const (
	stateAccepted applicationState = "accepted" // no master has registered yet
	stateRunning  applicationState = "running"
	stateFinished applicationState = "finished"
	stateFailed   applicationState = "failed"
	stateKilled   applicationState = "killed"
)

// protoState returns the corresponding state of YARN's API, or 0 for an unknown state.
func (s applicationState) protoState() pb.YarnApplicationStateProto {
	switch s {
	case stateAccepted:
		return pb.YarnApplicationStateProto_ACCEPTED
	case stateRunning:
		return pb.YarnApplicationStateProto_RUNNING
	case stateFinished:
		return pb.YarnApplicationStateProto_FINISHED
	case stateFailed:
		return pb.YarnApplicationStateProto_FAILED
	case stateKilled:
		return pb.YarnApplicationStateProto_KILLED
	}
	return 0 // a later version wrote the record
}

// application is the record of an application. When EndState is set, the jobs of the application
// are cancelled. Then the record moves from jobstore.AppPrefix to finalPrefix.
type application struct {
	ID               int32            `msgpack:"n"`
	ClusterTimestamp int64            `msgpack:"ts"`
	Name             string           `msgpack:"name"`
	User             string           `msgpack:"u"`
	Queue            string           `msgpack:"q"` // path of the queue
	Type             string           `msgpack:"type"`
	Tags             []string         `msgpack:"tags,omitempty"`
	Priority         int32            `msgpack:"p"`  // in YARN's API
	Unmanaged        bool             `msgpack:"um"` // the master runs outside the cluster
	State            applicationState `msgpack:"st"`
	EndState         applicationState `msgpack:"end,omitempty"` // final state; empty until the application ends
	FinalStatus      int32            `msgpack:"fin"`           // a pb.FinalApplicationStatusProto
	Diagnostics      string           `msgpack:"diag,omitempty"`
	Attempt          int32            `msgpack:"a"`           // number of the current attempt, from 1
	MaxAttempts      int32            `msgpack:"max"`         // see keepMasterRunning
	Host             string           `msgpack:"h,omitempty"` // Host, RPCPort and TrackingURL come from the master's registration
	RPCPort          int32            `msgpack:"port,omitempty"`
	TrackingURL      string           `msgpack:"url,omitempty"`
	StartedMs        int64            `msgpack:"ms"`              // Unix milliseconds
	FinishedMs       int64            `msgpack:"fms,omitempty"`   // Unix milliseconds; 0 until the application ends
	NextJobSeq       int              `msgpack:"s"`               // number of the next job, from 0
	MasterJob        string           `msgpack:"am,omitempty"`    // job of the current master; empty if not launched or unmanaged
	MasterContextKey string           `msgpack:"ctx,omitempty"`   // key of the master's launch context
	MasterRequest    containerRequest `msgpack:"amask,omitempty"` // resources of the master's container
	Heartbeats       int              `msgpack:"b"`               // recorded registrations and heartbeats; an increase shows that the master is alive
}

func (a *application) name() string { return applicationName(a.ClusterTimestamp, a.ID) }
func (a *application) key() string  { return applicationKey(a.name()) }

func (a *application) protoID() *pb.ApplicationIdProto {
	return &pb.ApplicationIdProto{Id: proto.Int32(a.ID), ClusterTimestamp: proto.Int64(a.ClusterTimestamp)}
}

func (a *application) attemptID() *pb.ApplicationAttemptIdProto {
	return &pb.ApplicationAttemptIdProto{ApplicationId: a.protoID(), AttemptId: proto.Int32(a.Attempt)}
}

func (a *application) containerID(seq, task int) *pb.ContainerIdProto {
	return &pb.ContainerIdProto{AppId: a.protoID(), AppAttemptId: a.attemptID(), Id: proto.Int64(containerNumber(seq, task))}
}

// token returns a token for the current attempt, without its signing key.
func (a *application) token(kind tokenKind) token {
	return token{kind: kind, clusterTimestamp: a.ClusterTimestamp, application: a.ID, attempt: a.Attempt}
}

// protoState returns the state in YARN's API. An application with an EndState counts as ended.
func (a *application) protoState() pb.YarnApplicationStateProto {
	if a.EndState != "" {
		return a.EndState.protoState()
	}
	return a.State.protoState()
}
