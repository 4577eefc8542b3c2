// Package wire has every message that umberdeal exchanges with users, workers, the cloud
// and the key-value store, as MessagePack. Go names are standard terms; the protocol's own
// names are in tags and constants only.
package wire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBody is the largest request body anywhere, and the largest response to
// workers and users.
const MaxBody = 64 << 10

// ContentType of all bodies.
const ContentType = "application/msgpack"

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return buf.Bytes(), nil
}

// Unmarshal decodes a message, ignoring unknown fields. A message that is incomplete, or
// announces more than it has, is refused before memory is allocated for it.
func Unmarshal(b []byte, v any) error {
	if !isComplete(b) {
		return errIncomplete
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// Raw is a value that is decoded later.
type Raw = msgpack.RawMessage

// Paths of the controllers' interface, and of a worker's.
const (
	PathJobs      = "/v1/jobs"
	PathReady     = "/ready"
	PathHeartbeat = "/checkin"
	PathCommands  = "/commands"
	PathInspect   = "/inspect"
)
