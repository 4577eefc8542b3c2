package modelcheck

import (
	"fmt"
)

// What may happen, where a scenario has any of it.
const (
	PassCommitDelayed        ActionKind = 120 + iota // a pass whose first transaction gets no answer, and is carried out later
	ExecuteDelayedCommit                             // it is carried out
	SendCancellation                                 // a user's cancellation is read for and sent
	ExecuteCancellation                              // it is carried out, and the user told
	CancellationResponseLost                         // it is carried out, and its answer lost
	RetryCancellation                                // the user asks again, and is told what is final
	ToggleStoreRefusal                               // the state service refuses the leader alone, or no longer
	ReceiveRenewalResponse                           // the answer comes to a renewal sent before that
)

var delayActionNames = map[ActionKind]string{PassCommitDelayed: "pass, to be carried out late", ExecuteDelayedCommit: "late transaction is carried out,", SendCancellation: "cancellation sent, job", ExecuteCancellation: "cancellation carried out, job",
	CancellationResponseLost: "cancellation carried out and its answer lost, job", RetryCancellation: "cancelled again, job", ToggleStoreRefusal: "leader refused, or no longer", ReceiveRenewalResponse: "late answer to a renewal"}

// What may happen to an order, where a scenario has any.
const (
	ScheduleWithoutCommit ActionKind = 100 + iota // the leader plans, and has committed nothing yet
	ApplyPlan                                     // another order is applied
	LoadPlan                                      // the leader hears of it
	AcceptJob                                     // a job that comes later is accepted
)

var planActionNames = map[ActionKind]string{ScheduleWithoutCommit: "leader decides", ApplyPlan: "an order is applied", LoadPlan: "leader hears of the order", AcceptJob: "a job arrives"}

// Action is something that may happen next.
type Action struct {
	Kind ActionKind
	Arg  uint8 // which worker, job or message
}

// ActionKind is what an action does.
type ActionKind uint8

// The kinds of actions.
const (
	SchedulingPass           ActionKind = iota // the leader plans, commits and sends
	PassResponseLost                           // the same, and the commit's answer is lost
	HeartbeatRoundTrip                         // a worker reports, is answered, and executes
	SendHeartbeat                              // a worker reports
	ReceiveHeartbeat                           // the report arrives, and its answer is on its way
	ReceiveResponse                            // the answer arrives
	AbandonHeartbeat                           // the worker gives the answer up
	ReceiveDelayedHeartbeat                    // a report that was given up arrives
	ReceiveAbandonedResponse                   // an answer that was given up arrives
	ReceivePush                                // a direct batch arrives
	ImageFetched                               // a worker has an image
	CompleteTask                               // a task completes
	CancelJob                                  // a user cancels, and is told so
	DeliverWatch                               // the leader learns of it
	AdvanceTime                                // 0.6 of a lease passes
	Failover                                   // another leader takes over
	FormerLeaderRoundTrip                      // the leader before answers a worker's whole round trip
	ToggleReachability                         // nothing reaches a worker any more, or again
	DuplicateHeartbeat                         // a copy is made of a worker's last report
	ReceiveDuplicate                           // a copy arrives
	RefuseStart                                // a start is refused
)

func (a Action) String() string {
	if name, ok := planActionNames[a.Kind]; ok {
		return name
	}
	if name, ok := delayActionNames[a.Kind]; ok {
		return fmt.Sprintf("%s %d", name, a.Arg)
	}
	return fmt.Sprintf("%s %d", [...]string{"pass", "pass, answer lost", "round trip of", "report of", "report arrives of", "answer arrives at", "given up by",
		"late report arrives,", "late answer arrives,", "direct batch arrives,", "image at", "completes at", "cancelled, job", "leader learns", "time passes",
		"takeover", "former leader answers", "nothing reaches, or all again,", "copy made of report of", "copy arrives,", "refused at"}[a.Kind], a.Arg)
}
