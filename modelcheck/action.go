package modelcheck

import (
	"fmt"
	"strings"
)

// Action is one transition that may happen next.
type Action struct {
	Kind ActionKind
	Arg  uint8 // the index of a worker, a job or a message, by Kind
}

// ActionKind is the kind of a transition.
type ActionKind uint8

// Actions of the leader.
const (
	SchedulingPass         ActionKind = iota // the leader schedules, commits and sends pushes
	PassResponseLost                         // the same, but the commit's response is lost
	PassCommitDelayed                        // the same, but the first commit gets no response and is executed later
	ScheduleWithoutCommit                    // the leader schedules and has committed nothing yet
	DeliverWatch                             // the leader reads the changes of jobs' records
	LoadPlan                                 // the leader reads the plan in force
	Failover                                 // another leader takes over
	FormerLeaderRoundTrip                    // the former leader handles a worker's heartbeat
	ReceiveRenewalResponse                   // the response arrives to a renewal sent before the store refused the leader
)

// Actions of workers and of the network between these and the leader.
const (
	HeartbeatRoundTrip       ActionKind = iota + ReceiveRenewalResponse + 1 // a heartbeat, its response and the commands' execution in one step
	SendHeartbeat                                                           // a worker sends a heartbeat
	ReceiveHeartbeat                                                        // it arrives, and the response is sent
	ReceiveResponse                                                         // the response arrives
	AbandonHeartbeat                                                        // the worker's request times out
	ReceiveDelayedHeartbeat                                                 // a heartbeat arrives after its timeout
	ReceiveAbandonedResponse                                                // a response arrives after its timeout
	ReceivePush                                                             // a push arrives
	ToggleReachability                                                      // a worker stops receiving, or receives again
	DuplicateHeartbeat                                                      // the network duplicates a worker's last heartbeat
	ReceiveDuplicate                                                        // the duplicate arrives
	ImageFetched                                                            // a worker has fetched a task's image
	CompleteTask                                                            // a task completes
	RefuseStart                                                             // a worker refuses a start
)

// Actions of users, operators, the key-value store and the clock.
const (
	CancelJob                ActionKind = iota + RefuseStart + 1 // a user cancels a job and receives the response
	SendCancellation                                             // a controller sends the transaction of a user's cancellation
	ExecuteCancellation                                          // it is executed, and the user receives the response
	CancellationResponseLost                                     // it is executed, and the response is lost
	RetryCancellation                                            // the user repeats the request and receives the final state
	AcceptJob                                                    // the deferred job is accepted
	ApplyPlan                                                    // another plan is applied
	ExecuteDelayedCommit                                         // a delayed commit of the leader is executed
	ToggleStoreRefusal                                           // the key-value store begins to refuse the leader alone, or ends that
	AdvanceTime                                                  // stepSeconds pass
)

// actionNames are formats where an action has an argument.
var actionNames = map[ActionKind]string{
	SchedulingPass:           "scheduling pass",
	PassResponseLost:         "scheduling pass whose commit's response is lost",
	PassCommitDelayed:        "scheduling pass whose commit is delayed",
	ScheduleWithoutCommit:    "leader schedules without a commit",
	DeliverWatch:             "leader reads job records",
	LoadPlan:                 "leader loads the plan",
	Failover:                 "failover",
	FormerLeaderRoundTrip:    "former leader handles heartbeat of worker %d",
	ReceiveRenewalResponse:   "delayed response to a renewal",
	HeartbeatRoundTrip:       "heartbeat round trip of worker %d",
	SendHeartbeat:            "heartbeat sent by worker %d",
	ReceiveHeartbeat:         "heartbeat received from worker %d",
	ReceiveResponse:          "response received by worker %d",
	AbandonHeartbeat:         "heartbeat times out at worker %d",
	ReceiveDelayedHeartbeat:  "delayed heartbeat %d received",
	ReceiveAbandonedResponse: "abandoned response %d received",
	ReceivePush:              "push %d received",
	ToggleReachability:       "reachability changes of worker %d",
	DuplicateHeartbeat:       "last heartbeat duplicated of worker %d",
	ReceiveDuplicate:         "duplicate %d received",
	ImageFetched:             "image fetched by worker %d",
	CompleteTask:             "task completes on worker %d",
	RefuseStart:              "start refused by worker %d",
	CancelJob:                "job %d cancelled",
	SendCancellation:         "cancellation sent of job %d",
	ExecuteCancellation:      "cancellation executed of job %d",
	CancellationResponseLost: "cancellation executed, response lost, of job %d",
	RetryCancellation:        "cancellation repeated of job %d",
	AcceptJob:                "deferred job accepted",
	ApplyPlan:                "plan applied",
	ExecuteDelayedCommit:     "delayed commit %d executed",
	ToggleStoreRefusal:       "store begins or ends refusing the leader",
	AdvanceTime:              "time passes",
}

func (a Action) String() string {
	name := actionNames[a.Kind]
	if !strings.Contains(name, "%d") {
		return name
	}
	return fmt.Sprintf(name, a.Arg)
}
