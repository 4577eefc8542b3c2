// Package jobstore is the typed layer over the key-value store in which the controllers keep their
// records. It defines the keys, the encoding of each record, and the compare-and-swap transactions
// behind users' requests.
//
// A Store accepts, looks up and cancels jobs for the users of one controller. Every controller has
// one, whether or not it leads. The Store owns an index, which is a local copy of the records of
// unfinished jobs (everything under ActivePrefix), and a bounded cache of final records. Read barriers
// keep the index current. The Store guarantees the following:
//
//   - A job id is accepted at most once, whichever controllers receive it and however late a
//     transaction is applied. Guards make a transaction fail that was built from a stale index. There
//     is one exception: a job can be submitted again if its only record was on a damaged job page,
//     neither a leader nor a placement knows the job, and the page has been quarantined.
//   - Lookup and Cancel are linearizable. Their result was true at some moment during the call, or is
//     final.
//   - A job moves from its active record to its final record in one transaction, and never back.
//   - A record that can't be decoded is reported (see UnreadableError). It is neither overwritten nor
//     replaced by a guess.
//
// The package never places tasks and never writes placement pages. Those transactions carry the
// leader's fencing token, and package cluster builds them from the record types defined here.
// The functions for the operators' plan (ApplyPlan, LoadPlan) need only the key-value store, no Store.
//
// docs/jobstore.md explains why no id is accepted twice.
package jobstore
