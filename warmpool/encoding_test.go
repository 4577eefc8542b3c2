package warmpool

import (
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

// A pool's records and accounts are stored for the next leader, which must be able to read them.
func TestPoolRecordsKeepTheirBytes(t *testing.T) {
	f := golden.Open(t, "records.golden")
	stored := golden.Codec{Marshal: wire.Marshal, Unmarshal: func(b []byte, v any) error { return wire.Unmarshal(b, v) }}
	golden.CheckEncoding[Record](f, "pool", stored)
	golden.CheckEncoding[Shard](f, "shard", stored)
	golden.CheckEncoding[Member](f, "member", stored)
	golden.CheckEncoding[Pool](f, "pool of a plan", stored)
	f.Text("name of a pool's record", RecordName("llm"))
	f.Text("name of a day", DayName("llm", 3))
	f.Text("name of a shard", ShardName("llm", 4))
	f.Number("shard size", ShardSize)
}
