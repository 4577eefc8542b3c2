// Package jobstore is the typed layer over the key-value store in which the controllers keep their
// records: the keys, the form of each record, and the compare-and-swap transactions behind users'
// requests.
//
// A Store serves the users' side of one controller: it accepts, looks up and cancels jobs. Every
// controller has one, whether or not it leads. It owns a local copy of the records of unfinished jobs
// (everything under ActivePrefix), which read barriers keep current, and a bounded cache of final
// records. It guarantees that
//
//   - an id is accepted at most once, whichever controllers it reaches and however late a transaction
//     is applied: each condition is chosen so that a stale local copy makes the transaction fail;
//   - Lookup and Cancel are linearizable: what they return was true at a moment after the call;
//   - a job moves from its active record to its final record in one transaction, and never back;
//   - a record that can't be read is reported and never guessed or overwritten (see UnreadableError).
//
// The package never places tasks and never writes placement pages: those transactions carry the
// leader's fencing token and are built by package cluster from the record types defined here.
// Functions of the operators' plan (ApplyPlan, LoadPlan) need no Store, only the key-value store.
//
// docs/jobstore.md argues why no id is accepted twice.
package jobstore
