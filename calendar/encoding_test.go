package calendar

import (
	"encoding/json"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

// A region's record is stored for the next leader and shown to operators as JSON. A change of
// either encoding would make stored records or operators' scripts unreadable.
func TestRecordEncodingsAreStable(t *testing.T) {
	f := golden.Open(t, "records.golden")
	stored := golden.Codec{Marshal: wire.Marshal, Unmarshal: func(b []byte, v any) error { return wire.Unmarshal(b, v) }}
	shown := golden.Codec{Marshal: json.Marshal, Unmarshal: json.Unmarshal}
	golden.CheckEncoding[Record](f, "nights", stored)
	golden.CheckEncoding[OpenWindow](f, "night under way", stored)
	golden.CheckEncoding[Outcome](f, "outcome", stored)
	golden.CheckEncoding[View](f, "nights as JSON", shown)
	f.Text("name of the record", RecordName("north"))
	for name, how := range map[string]Result{"met": ResultMet, "late": ResultLate, "incomplete": ResultIncomplete, "withdrawn": ResultWithdrawn} {
		f.Text(name, string(how))
	}
}
