// Package jobstore is the typed layer over the key-value store in which the controllers keep their
// records: the keys, the encoding of each record, and the compare-and-swap transactions behind users'
// requests.
//
// A Store serves the users' side of one controller: it accepts, looks up and cancels jobs. Every
// controller has one, whether or not it leads. It owns a local copy of the records of unfinished jobs
// (everything under ActivePrefix), which read barriers keep current, and a bounded cache of final
// records. It guarantees that
//
//   - a job id is accepted at most once, whichever controllers receive it and however late a
//     transaction is applied: the guards make a transaction that was built from a stale local copy
//     fail. The one exception is a job whose only record was on a job page that got damaged, and that
//     neither a leader nor a placement knows: once the page is quarantined it can be submitted again;
//   - Lookup and Cancel are linearizable: what they return was true at some moment during the call, or
//     is final;
//   - a job moves from its active record to its final record in one transaction, and never back;
//   - a record that can't be decoded is reported (see UnreadableError), and neither replaced by a guess
//     nor overwritten.
//
// The package never places tasks and never writes placement pages: those transactions carry the
// leader's fencing token and are built by package cluster from the record types defined here.
// The functions for the operators' plan (ApplyPlan, LoadPlan) need no Store, only the key-value store.
//
// docs/jobstore.md explains why no id is accepted twice.
package jobstore
