package election

import (
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

// The leader's record is read by nodes of other versions during a rolling restart.
func TestLeaderRecordKeepsItsBytes(t *testing.T) {
	f := golden.Open(t, "records.golden")
	golden.CheckEncoding[leaderRecord](f, "leader", golden.Codec{Marshal: wire.Marshal, Unmarshal: func(b []byte, v any) error { return wire.Unmarshal(b, v) }})
	f.Text("key", LeaderKey)
}
