package modelcheck

// This file is what comes late or is lost between nodes and the state service: a
// transaction that gets no answer and is carried out after newer ones, a user's
// cancellation that races with the end of its job's last task, and a leader that the
// state service refuses alone, while another node serves users.

// delayState is what a world knows of them.
type delayState struct {
	delayedCommits  []transaction          // sent, not answered, not carried out
	delayedCount    int                    // how many there have been
	cancellations   map[string]transaction // users' cancellations on their way, by job
	cancelRequested map[string]bool
	forgotten       map[string]bool // tasks whose done their workers have forgotten
	storeRefuses    bool
	refusalCount    int
	leaseStart      int  // the step in which the last renewal was sent that was answered
	renewalSentAt   int  // the step in which one was sent that is on its way
	renewalPending  bool // there is such a one
}
