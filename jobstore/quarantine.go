package jobstore

import (
	"github.com/umberdeal/umberdeal/wire"
)

// quarantineMark is the first element of a QuarantinedPage. A JobPage has a number as its first field, so
// that even a decoder which accepts arrays for structs, and any earlier version of this program, reports
// a quarantined page as unreadable and does not take it for a job page.
const quarantineMark = "aside"

// QuarantinedPage preserves a job page that can't be decoded. A leader stores it under the key of a
// sealed page. From then on leaders load no jobs from it, except those that they recover from a copy in
// the memory of some controller (see RecoveryCopy). It is encoded as an array, so the order of the
// fields is part of the stored format.
type QuarantinedPage struct {
	_msgpack        struct{} `msgpack:",as_array"` //nolint:unused // read by package msgpack
	Mark            string
	OriginalKey     string
	OriginalVersion uint64
	QuarantinedAtMs int64 // Unix milliseconds, by the leader's clock
	Raw             wire.Raw
}

// Bounds of what the key-value store counts for a value: nonMsgpackByteSize for each byte of a value that is
// not MessagePack (see wire.JSONSize), and quarantineOverhead for the other fields together.
const (
	nonMsgpackByteSize = 21
	quarantineOverhead = 200
)

// NewQuarantinedPage returns the quarantined form of a job page: with the raw value if that fits into a
// value and is MessagePack, else with the ids of the jobs that are still legible in it.
func NewQuarantinedPage(key string, version uint64, atMs int64, raw wire.Raw, limits Limits) QuarantinedPage {
	q := QuarantinedPage{Mark: quarantineMark, OriginalKey: key, OriginalVersion: version, QuarantinedAtMs: atMs, Raw: raw}
	size := wire.JSONSize(raw)
	if size < nonMsgpackByteSize*len(raw) && size+quarantineOverhead <= limits.valueBytes() {
		return q
	}
	q.Raw = nil
	if ids, err := wire.Marshal(encodeIDs(salvageIDs(raw))); err == nil {
		q.Raw = ids
	}
	return q
}

// encodeIDs encodes ids so that salvageIDs finds them in the result.
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

// DecodeQuarantinedPage decodes a quarantined page; ok is false for any other value.
func DecodeQuarantinedPage(raw wire.Raw) (q QuarantinedPage, ok bool) {
	if len(raw) == 0 || raw[0]&fixCountMask != msgpackFixArray || wire.Unmarshal(raw, &q) != nil || q.Mark != quarantineMark {
		return QuarantinedPage{}, false
	}
	return q, true
}
