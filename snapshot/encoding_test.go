package snapshot

import (
	"bytes"
	"maps"
	"reflect"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

// Snapshots of earlier program versions must stay readable, and the written format must not change.
func TestSnapshotsKeepTheirBytes(t *testing.T) {
	f := golden.Open(t, "snapshot.golden")
	stored := golden.Codec{Marshal: wire.Marshal, Unmarshal: func(b []byte, v any) error { return wire.Unmarshal(b, v) }}
	h := golden.CheckEncoding[Header](f, "header", stored)
	golden.CheckEncoding[KeyValue](f, "pair", stored)
	golden.CheckEncoding[trailer](f, "end", stored)
	f.Text("begins with", string(magic))
	f.Text("key while restoring", importMarkKey)
	pairs := []KeyValue{{Key: "a", Value: wire.Raw("\xa3one")}, {Key: "b", Value: wire.Raw("\xa3two")}, {Key: "c", Value: wire.Raw("\x81\xa1k\x07")}}
	var out bytes.Buffer
	w, err := NewWriter(&out, h)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]wire.Raw{}
	for _, p := range pairs {
		want[p.Key] = p.Value
		if err := w.Add(p); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	f.Bytes("a whole file", out.Bytes())
	r, err := NewReader(bytes.NewReader(f.Recorded("a whole file")))
	if err != nil {
		t.Fatal(err)
	}
	all, err := r.All()
	if err != nil || r.Header != h || !maps.EqualFunc(all, want, func(a, b wire.Raw) bool { return reflect.DeepEqual(a, b) }) {
		t.Errorf("recorded file: got %+v, %v, %v, want %+v, %v", r.Header, all, err, h, want)
	}
}

// KeyValue is encoded as an array, so the order of its fields is part of the format. The test sets the
// fields by name to detect swapped fields. golden.Filled sets them in their order, which would hide a swap.
func TestFieldsOfAPairKeepTheirOrder(t *testing.T) {
	f := golden.Open(t, "arrays.golden")
	raw, err := wire.Marshal(KeyValue{Key: "key", Value: wire.Raw("\xa5value")})
	if err != nil {
		t.Fatal(err)
	}
	f.Bytes("pair", raw)
}
