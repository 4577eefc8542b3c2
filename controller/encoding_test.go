package controller

import (
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

// Every node decodes the header of a heartbeat, also of workers of another version. The encoding
// must not change.
func TestSenderOfAHeartbeatIsReadFromTheRecordedBytes(t *testing.T) {
	f := golden.Open(t, "encoding.golden")
	golden.CheckEncoding[heartbeatHeader](f, "sender", golden.Codec{Marshal: wire.Marshal, Unmarshal: func(b []byte, v any) error { return wire.Unmarshal(b, v) }})
	f.Text("path of the metrics", PathMetrics)
	f.Text("path of the overview", PathStatus)
}
