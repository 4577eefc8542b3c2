// The stored records of a region's batch windows and their text for operators.

package calendar

import (
	"fmt"
	"time"
)

// Record is the committed state of a region's batch windows: the open ones and the most recent
// outcomes. Times are Unix milliseconds. The order of fields and the tags define the stored
// format and must not change.
type Record struct {
	Region              string       `msgpack:"r" json:"region"`
	SavedAtMs           int64        `msgpack:"at" json:"at_ms"`
	Windows             []OpenWindow `msgpack:"n" json:"nights"`
	Past                []Outcome    `msgpack:"p" json:"past"`
	LastClosedOpeningMs int64        `msgpack:"c" json:"closed_ms"` // latest opening that has been decided, including outcomes no longer in Past
}

// OpenWindow is a batch window whose outcome is not decided.
type OpenWindow struct {
	Date                  string         `msgpack:"d" json:"date"`
	StartMs               int64          `msgpack:"f" json:"from_ms"`
	DeadlineMs            int64          `msgpack:"pm" json:"promise_ms"`
	OpeningMs             int64          `msgpack:"o" json:"opening_ms"`
	OpenJobs              []string       `msgpack:"j" json:"open"`  // ids of unfinished jobs, limited by the size of the record
	OpenJobsOmitted       int            `msgpack:"m" json:"more"`  // number of unfinished jobs that did not fit into OpenJobs
	Completed             int            `msgpack:"dn" json:"done"` // jobs whose completion is committed
	CompletedAfterOpening int            `msgpack:"da" json:"after"`
	LastCompletionMs      int64          `msgpack:"l" json:"last_ms"`
	Cancelled             int            `msgpack:"x" json:"cancelled"`
	Lost                  int            `msgpack:"u" json:"lost"`      // jobs that ended without a final record
	LowerBound            bool           `msgpack:"al" json:"at_least"` // the counts may lack jobs that an earlier leader did not commit
	Forecast              ForecastRecord `msgpack:"fc" json:"forecast"`
	Reforecasts           []Reforecast   `msgpack:"rp" json:"replans"` // the most recent ones, at most maxReforecasts
	ReforecastCount       int            `msgpack:"rn" json:"replanned"`
}

// ForecastRecord is the most recent forecast of a batch window.
type ForecastRecord struct {
	MadeAtMs      int64  `msgpack:"at" json:"at_ms"`
	FinishMs      int64  `msgpack:"f" json:"finish_ms"` // 0: the work can't finish under current conditions
	LatestStartMs int64  `msgpack:"l" json:"latest_start_ms"`
	AtRisk        bool   `msgpack:"r" json:"at_risk"`
	Reason        string `msgpack:"w" json:"why,omitempty"`
}

// Reforecast is a forecast recorded together with the cause of its change.
type Reforecast struct {
	AtMs     int64  `msgpack:"at" json:"at_ms"`
	Cause    string `msgpack:"c" json:"cause"`
	FinishMs int64  `msgpack:"f" json:"finish_ms"`
	AtRisk   bool   `msgpack:"r" json:"at_risk"`
	Machines int    `msgpack:"m" json:"machines"`
	Jobs     int    `msgpack:"j" json:"jobs"` // of the batch window, including completed ones
}

// Result classifies a closed batch window by whether its deadline was met.
type Result string

// Results of batch windows.
const (
	ResultMet        Result = "met"
	ResultLate       Result = "late"       // completed after the deadline, but by the opening
	ResultIncomplete Result = "incomplete" // not completed at the opening
	ResultWithdrawn  Result = "withdrawn"  // removed by a new plan of the operators
)

// Outcome is the result of a batch window with its job counts. It is decided once.
type Outcome struct {
	Date        string `msgpack:"d" json:"date"`
	DeadlineMs  int64  `msgpack:"pm" json:"promise_ms"`
	OpeningMs   int64  `msgpack:"o" json:"opening_ms"`
	Result      Result `msgpack:"h" json:"how"`
	LateMs      int64  `msgpack:"l" json:"late_ms"`
	Completed   int    `msgpack:"dn" json:"done"` // by the opening
	Jobs        int    `msgpack:"a" json:"all"`
	LowerBound  bool   `msgpack:"al" json:"at_least"`
	DecidedAtMs int64  `msgpack:"at" json:"decided_ms"`
	DecidedBy   uint64 `msgpack:"by" json:"by"` // fencing token of the leader
}

// Limits of a record. A record that reaches all limits takes about 8 KB, excluding the ids of
// open jobs.
const (
	maxPastOutcomes = 20
	maxReforecasts  = 8
	maxOpenWindows  = 4
)

// RecordName returns the name of a region's record, which is stored beside the operators' plan.
func RecordName(region string) string { return "night." + region }

// JobCount returns the number of jobs of the batch window, excluding cancelled ones.
func (w *OpenWindow) JobCount() int {
	return len(w.OpenJobs) + w.OpenJobsOmitted + w.Completed + w.Lost
}

// addCounts adds the counts of a batch window that is merged into this one.
func (w *OpenWindow) addCounts(other *OpenWindow) {
	w.Completed += other.Completed
	w.CompletedAfterOpening += other.CompletedAfterOpening
	w.LastCompletionMs = max(w.LastCompletionMs, other.LastCompletionMs)
	w.Cancelled += other.Cancelled
	w.Lost += other.Lost
	w.LowerBound = w.LowerBound || other.LowerBound
}

// String describes the outcome in one line, for operators.
func (o *Outcome) String() string {
	qualifier := ""
	if o.LowerBound {
		qualifier = "at least "
	}
	s := fmt.Sprintf("%s %s, %s%d of %d done", o.Date, o.Result, qualifier, o.Completed, o.Jobs)
	if o.Result == ResultLate {
		s += fmt.Sprintf(", %v late", (time.Duration(o.LateMs) * time.Millisecond).Round(time.Second))
	}
	return s
}
