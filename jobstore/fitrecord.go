// Records of jobs that fit into a value.

package jobstore

import (
	"math"

	"github.com/umberdeal/umberdeal/wire"
)

// FitsJob reports whether the record of an accepted job fits into a value.
func (l Limits) FitsJob(job *wire.Job) bool {
	record := JobRecord{Job: *job, AcceptedAtMs: math.MaxInt64}
	return record.Size() <= l.recordBytes()
}

// FitFinal returns the final record of a job in a form that fits into a value. A final record is larger
// than the active one by its state, outcomes and time, so that an active record just below the limit would
// have a final one above it. The job could then neither be called done nor be cancelled.
//
// If the record is too large, it loses the fields that say where the tasks may run. Nothing reads them
// once the job is over.
func (l Limits) FitFinal(record JobRecord) JobRecord {
	if record.Size() <= l.recordBytes() {
		return record
	}
	record.Job.Types = nil
	if record.Reservation != nil {
		record.Reservation = &Reservation{Owner: record.Reservation.Owner, Tag: record.Reservation.Tag}
	}
	return record
}
