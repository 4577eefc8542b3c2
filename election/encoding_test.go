package election

import (
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

// Nodes of other versions read the leader's record during a rolling restart. A changed encoding
// would keep them from finding the leader.
func TestLeaderRecordKeepsItsBytes(t *testing.T) {
	f := golden.Open(t, "records.golden")
	golden.CheckEncoding[leaderRecord](f, "leader", golden.Codec{Marshal: wire.Marshal, Unmarshal: func(b []byte, v any) error { return wire.Unmarshal(b, v) }})
	f.Text("key", LeaderKey)
}
