package wire

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberdeal/umberdeal/internal/golden"
)

// The decoder allocated memory for the announced number of elements of a list. A heartbeat or record
// of a few bytes that announced billions of elements exhausted the memory of the process.
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
			t.Errorf("%s: got error %v, want errIncomplete", name, err)
		}
	}
	var r Heartbeat
	if err := Unmarshal([]byte("\x83\xa5poste\xa1a\xa5other\xc4\x02ab\xa4more\xd6\x05abcd"), &r); err != nil || r.Machine != "a" {
		t.Errorf("unknown fields must be ignored: got error %v, machine %q", err, r.Machine)
	}
}

// JSONSize must be at least the size as JSON of each message that passes isComplete and decodes.
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
			return // JSON can't represent the value
		}
		if n := JSONSize(b); n < len(text) {
			t.Errorf("JSONSize = %d, less than the %d bytes of %s", n, len(text), text)
		}
	})
}

// The sizes of a transaction's conditions and changes must add up to at least its size as JSON.
func TestSizesOfGuardsAndOpsBoundTheTransaction(t *testing.T) {
	value := map[string]any{"a": "x", "n": 1}
	encoded, err := Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	for name, txn := range map[string]Txn{
		"guards":  {If: []Guard{{Key: "w/j/a"}, {Key: "é<\"", Version: 1<<64 - 1}}},
		"puts":    {Then: []Op{{Put: "w/j/a", Value: value}, {Put: "b<", Value: value, Lease: 1<<64 - 1}}},
		"deletes": {If: []Guard{{Key: "f/a"}}, Then: []Op{{Delete: "w/j/é"}}},
	} {
		bound := len(`{"guards":null,"apply":[]}`)
		for _, g := range txn.If {
			bound += g.Size()
		}
		for _, op := range txn.Then {
			valueBytes := 0
			if op.Put != "" {
				valueBytes = JSONSize(encoded)
			}
			bound += op.Size(valueBytes)
		}
		if size := golden.JSONSize(t, Marshal, txn); bound < size {
			t.Errorf("%s: the sizes add up to %d, less than the %d bytes as JSON", name, bound, size)
		}
	}
}
