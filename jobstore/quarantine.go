package jobstore

import (
	"github.com/umberdeal/umberdeal/wire"
)

// quarantineMark begins a QuarantinedPage. It stands where a page has a number, so that no version
// takes it for a page: to all of them it is one that can't be read.
const quarantineMark = "aside"

// QuarantinedPage is a job page that can't be read, as a leader has put it under the key of a sealed
// page. From then on no leader knows its jobs, but by what some controller remembers of it. It is
// stored as an array: the order of the fields is part of the stored form.
type QuarantinedPage struct {
	_msgpack        struct{} `msgpack:",as_array"` //nolint:unused // read by package msgpack
	Mark            string
	OriginalKey     string
	OriginalVersion uint64
	QuarantinedAtMs int64 // by that leader's clock, Unix milliseconds
	Raw             wire.Raw
}

// What the key-value store counts for a value: one that is no MessagePack at all is counted at
// notMsgpackSize bytes for each of its own, and the other fields take at most quarantineOverhead.
const (
	notMsgpackSize     = 21
	quarantineOverhead = 200
)

// NewQuarantinedPage quarantines a value, whole where there is room for it; else the ids of the jobs
// that still stand there.
func NewQuarantinedPage(key string, version uint64, atMs int64, raw wire.Raw, limits Limits) QuarantinedPage {
	q := QuarantinedPage{Mark: quarantineMark, OriginalKey: key, OriginalVersion: version, QuarantinedAtMs: atMs, Raw: raw}
	size := wire.JSONSize(raw)
	if size < notMsgpackSize*len(raw) && size+quarantineOverhead <= limits.valueBytes() {
		return q
	}
	q.Raw = nil
	if ids, err := wire.Marshal(encodeIDs(salvageIDs(raw))); err == nil {
		q.Raw = ids
	}
	return q
}

// encodeIDs writes ids so that salvageIDs finds them, within a text.
func encodeIDs(ids []string) []byte {
	var out []byte
	for _, id := range ids {
		encoded := msgpackString(id)
		out = append(out, entryIDField...)
		out = append(out, encoded...)
		out = append(out, recordIDField...)
		out = append(out, encoded...)
	}
	return out
}

// DecodeQuarantinedPage reads a quarantined page; ok is false for anything else.
func DecodeQuarantinedPage(raw wire.Raw) (q QuarantinedPage, ok bool) {
	if len(raw) == 0 || raw[0]&fixCountMask != msgpackFixArray || wire.Unmarshal(raw, &q) != nil || q.Mark != quarantineMark {
		return QuarantinedPage{}, false
	}
	return q, true
}
