package modelcheck

// This file is what comes late or is lost between nodes and the state service: a
// transaction that gets no answer and is carried out after newer ones, a user's
// cancellation that races with the end of its job's last task, and a leader that the
// state service refuses alone, while another node serves users.

// late is what a world knows of them.
type late struct {
	txns      []txn          // sent, not answered, not carried out
	lates     int            // how many there have been
	asks      map[string]txn // users' cancellations on their way, by job
	asked     map[string]bool
	forgotten map[string]bool // tasks whose done their workers have forgotten
	refused   bool
	refusals  int
	termFrom  int  // the step in which the last renewal was sent that was answered
	renewal   int  // the step in which one was sent that is on its way
	renewing  bool // there is such a one
}
