package golden

import (
	"encoding/json"

	"github.com/vmihailenco/msgpack/v5"
)

// fataler is the part of testing.TB that JSONSize uses. Property tests have a type of their own with it.
type fataler interface{ Fatal(args ...any) }

// JSONSize returns the size in bytes of a message as JSON text, which is how the protocol counts sizes.
// marshal encodes the message as MessagePack. If that fails, JSONSize ends the test.
func JSONSize(t fataler, marshal func(v any) ([]byte, error), v any) int {
	raw, err := marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var plain any
	if err := msgpack.Unmarshal(raw, &plain); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(plain)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}
