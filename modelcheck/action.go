package modelcheck

import (
	"fmt"
)

// What may happen, where a scenario has any of it.
const (
	PassLate Kind = 120 + iota // a pass whose first transaction gets no answer, and is carried out later
	LateTxn                    // it is carried out
	Ask                        // a user's cancellation is read for and sent
	AskHeard                   // it is carried out, and the user told
	AskLost                    // it is carried out, and its answer lost
	Again                      // the user asks again, and is told what is final
	Refuse                     // the state service refuses the leader alone, or no longer
	Renewed                    // the answer comes to a renewal sent before that
)

var lateNames = map[Kind]string{PassLate: "pass, to be carried out late", LateTxn: "late transaction is carried out,", Ask: "cancellation sent, job", AskHeard: "cancellation carried out, job",
	AskLost: "cancellation carried out and its answer lost, job", Again: "cancelled again, job", Refuse: "leader refused, or no longer", Renewed: "late answer to a renewal"}

// What may happen to an order, where a scenario has any.
const (
	Decide Kind = 100 + iota // the leader plans, and has committed nothing yet
	Apply                    // another order is applied
	Hear                     // the leader hears of it
	Arrive                   // a job that comes later is accepted
)

var orderNames = map[Kind]string{Decide: "leader decides", Apply: "an order is applied", Hear: "leader hears of the order", Arrive: "a job arrives"}

// Action is something that may happen next.
type Action struct {
	Kind Kind
	Arg  uint8 // which worker, job or message
}

// Kind is what an action does.
type Kind uint8

// The kinds of actions.
const (
	Pass       Kind = iota // the leader plans, commits and sends
	PassLost               // the same, and the commit's answer is lost
	Trip                   // a worker reports, is answered, and executes
	Send                   // a worker reports
	Handle                 // the report arrives, and its answer is on its way
	Answer                 // the answer arrives
	GiveUp                 // the worker gives the answer up
	Late                   // a report that was given up arrives
	LateAnswer             // an answer that was given up arrives
	Direct                 // a direct batch arrives
	Image                  // a worker has an image
	Finish                 // a task completes
	Cancel                 // a user cancels, and is told so
	Learn                  // the leader learns of it
	Wait                   // 0.6 of a lease passes
	Takeover               // another leader takes over
	Old                    // the leader before answers a worker's whole round trip
	Mute                   // nothing reaches a worker any more, or again
	Keep                   // a copy is made of a worker's last report
	Copy                   // a copy arrives
	Fail                   // a start is refused
)

func (a Action) String() string {
	if name, ok := orderNames[a.Kind]; ok {
		return name
	}
	if name, ok := lateNames[a.Kind]; ok {
		return fmt.Sprintf("%s %d", name, a.Arg)
	}
	return fmt.Sprintf("%s %d", [...]string{"pass", "pass, answer lost", "round trip of", "report of", "report arrives of", "answer arrives at", "given up by",
		"late report arrives,", "late answer arrives,", "direct batch arrives,", "image at", "completes at", "cancelled, job", "leader learns", "time passes",
		"takeover", "former leader answers", "nothing reaches, or all again,", "copy made of report of", "copy arrives,", "refused at"}[a.Kind], a.Arg)
}
