// The actions that the search explores, and their names in counterexamples.

package modelcheck

import (
	"fmt"
	"strings"
)

// Action is a transition of a System.
type Action struct {
	Kind ActionKind
	Arg  uint8 // index of a worker, a job or a message, depending on Kind; 0 if unused
}

// ActionKind is the kind of a transition. Its values select an entry of transitions.
type ActionKind uint8

// Actions of the leader.
const (
	SchedulingPass         ActionKind = iota // the leader schedules, commits and sends pushes
	PassResponseLost                         // like SchedulingPass, but the commit's response is lost
	PassCommitDelayed                        // like SchedulingPass, but the first commit gets no response and is executed later
	ScheduleWithoutCommit                    // the leader schedules and does not commit yet
	DeliverWatch                             // the leader reads the changes of jobs' records
	LoadPlan                                 // the leader reads the current plan
	Failover                                 // another leader takes over
	FormerLeaderRoundTrip                    // the former leader handles a worker's heartbeat
	ReceiveRenewalResponse                   // the leader receives the response to a lease renewal that it sent before the store refused it
)

// Actions of workers and of the network between workers and the leader.
const (
	HeartbeatRoundTrip       ActionKind = iota + ReceiveRenewalResponse + 1 // a heartbeat, its response and the execution of the commands in one step
	SendHeartbeat                                                           // a worker sends a heartbeat
	ReceiveHeartbeat                                                        // the leader receives a heartbeat and responds
	ReceiveResponse                                                         // a worker receives the response
	AbandonHeartbeat                                                        // a worker's request times out
	ReceiveDelayedHeartbeat                                                 // the leader receives a heartbeat after its timeout
	ReceiveAbandonedResponse                                                // a worker receives a response after its timeout
	ReceivePush                                                             // a worker receives a push
	ToggleReachability                                                      // a worker stops receiving messages, or receives them again
	DuplicateHeartbeat                                                      // the network duplicates a worker's last heartbeat
	ReceiveDuplicate                                                        // the leader receives a duplicate
	ImageFetched                                                            // a worker has fetched a task's image
	CompleteTask                                                            // a task completes
	RefuseStart                                                             // a worker refuses a start
)

// Actions of users, operators, the key-value store and the clock.
const (
	CancelJob                ActionKind = iota + RefuseStart + 1 // a user cancels a job and receives the response
	SendCancellation                                             // a controller sends the transaction of a user's cancellation
	ExecuteCancellation                                          // the store executes the transaction, and the user receives the response
	CancellationResponseLost                                     // the store executes the transaction, and the response is lost
	RetryCancellation                                            // the user repeats the request and receives the final state
	AcceptJob                                                    // the deferred job is accepted
	ApplyPlan                                                    // operators apply the next version of the plan
	ExecuteDelayedCommit                                         // the store executes a delayed commit of the leader
	ToggleStoreRefusal                                           // the store starts to refuse only the leader, or stops
	AdvanceTime                                                  // stepSeconds pass
)

// actionNames holds the names of actions for String. Names of actions with an argument contain a
// %d for it.
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
	ToggleReachability:       "reachability of worker %d changes",
	DuplicateHeartbeat:       "last heartbeat of worker %d duplicated",
	ReceiveDuplicate:         "duplicate %d received",
	ImageFetched:             "image fetched by worker %d",
	CompleteTask:             "task completes on worker %d",
	RefuseStart:              "start refused by worker %d",
	CancelJob:                "job %d cancelled",
	SendCancellation:         "cancellation of job %d sent",
	ExecuteCancellation:      "cancellation of job %d executed",
	CancellationResponseLost: "cancellation of job %d executed, response lost",
	RetryCancellation:        "cancellation of job %d repeated",
	AcceptJob:                "deferred job accepted",
	ApplyPlan:                "plan applied",
	ExecuteDelayedCommit:     "delayed commit %d executed",
	ToggleStoreRefusal:       "store starts or stops refusing the leader",
	AdvanceTime:              "time passes",
}

func (a Action) String() string {
	name := actionNames[a.Kind]
	if !strings.Contains(name, "%d") {
		return name
	}
	return fmt.Sprintf(name, a.Arg)
}
