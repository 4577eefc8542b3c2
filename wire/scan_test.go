package wire

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// A list that claims billions of elements was room for billions of elements: a
// report or a record of a few bytes ended the process for memory.
func TestUnmarshalRefusesIncompleteMessages(t *testing.T) {
	for name, b := range map[string]string{
		"a report's tasks":    "\x81\xa6pieces\xdd\xff\xff\xff\xff",
		"a map":               "\xdf\xff\xff\xff\xff",
		"lists within lists":  strings.Repeat("\x91", 100) + "\xc0",
		"a text":              "\x81\xa5poste\xdb\x7f\xff\xff\xffabc",
		"binary":              "\x81\xa5poste\xc6\x00\x01\x00\x00abc",
		"a number cut off":    "\x81\xa5quart\xcf\x00\x00",
		"a key without value": "\x81\xa5quart",
		"nothing":             "",
	} {
		var r Heartbeat
		if err := Unmarshal([]byte(b), &r); !errors.Is(err, errIncomplete) {
			t.Errorf("%s: %v", name, err)
		}
	}
	var r Heartbeat
	if err := Unmarshal([]byte("\x83\xa5poste\xa1a\xa5other\xc4\x02ab\xa4more\xd6\x05abcd"), &r); err != nil || r.Machine != "a" {
		t.Errorf("fields of kinds that nobody needs are to be passed over: %v, %q", err, r.Machine)
	}
}

// Whatever the decoder reads is whole, and no shorter as JSON than is said.
func FuzzJSONSize(f *testing.F) {
	for _, v := range []any{map[string]any{"a": []any{1, -1, 1 << 40, 2.5, 1e-9, 1e30, nil, true, "x\"<\x01é"}}, []any{}, strings.Repeat("y", 300), map[string]any{"n": uint64(1) << 63}} {
		b, err := Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if !isComplete(b) {
			return
		}
		var v any
		if msgpack.Unmarshal(b, &v) != nil {
			return
		}
		text, err := json.Marshal(v)
		if err != nil {
			return // what JSON has no form for
		}
		if n := JSONSize(b); n < len(text) {
			t.Errorf("%d for %d: %s", n, len(text), text)
		}
	})
}
