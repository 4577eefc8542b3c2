package priority

import (
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

// The inversion log is stored for the next leader, which may run another version. A changed
// encoding would lose the counts.
func TestInversionRecordsKeepTheirBytes(t *testing.T) {
	f := golden.Open(t, "records.golden")
	stored := golden.Codec{Marshal: wire.Marshal, Unmarshal: func(b []byte, v any) error { return wire.Unmarshal(b, v) }}
	golden.CheckEncoding[InversionLog](f, "departures", stored)
	p := golden.CheckEncoding[InversionEvent](f, "departure", stored)
	f.Text("counted under", p.Key())
}
