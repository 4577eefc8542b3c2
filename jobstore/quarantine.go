// Quarantined pages: job pages that can't be decoded, preserved under another key.

package jobstore

import (
	"github.com/umberdeal/umberdeal/wire"
)

// quarantineMark is the first element of a QuarantinedPage. The first field of a JobPage is a number. Any
// decoder of job pages therefore reports a quarantined page as unreadable, even if it accepts arrays for
// structs or belongs to an earlier version of this program.
const quarantineMark = "aside"

// QuarantinedPage preserves a job page that can't be decoded. A leader stores it under the key of a
// sealed page. From then on, leaders load only those of its jobs that they recover from a copy in the
// memory of a controller (see RecoveryCopy). It is encoded as an array, so the order of the fields is
// part of the stored format.
type QuarantinedPage struct {
	_msgpack        struct{} `msgpack:",as_array"` //nolint:unused // read by package msgpack
	Mark            string
	OriginalKey     string
	OriginalVersion uint64
	QuarantinedAtMs int64    // Unix milliseconds, by the leader's clock
	Raw             wire.Raw // the original value, or the legible job ids
}

// Upper bounds of the bytes that the key-value store counts for a quarantined page.
const (
	nonMsgpackByteSize = 21  // for each byte of a raw value that is not MessagePack (see wire.JSONSize)
	quarantineOverhead = 200 // for all fields but the raw value
)

// NewQuarantinedPage returns the quarantined form of a job page. It holds the raw value if that is
// MessagePack and fits into a value. Otherwise it holds the ids of the jobs that are still legible.
func NewQuarantinedPage(key string, version uint64, atMs int64, raw wire.Raw, limits Limits) QuarantinedPage {
	q := QuarantinedPage{Mark: quarantineMark, OriginalKey: key, OriginalVersion: version, QuarantinedAtMs: atMs, Raw: raw}
	size := wire.JSONSize(raw)
	if size < nonMsgpackByteSize*len(raw) && size+quarantineOverhead <= limits.ValueBytes() {
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

// DecodeQuarantinedPage decodes a quarantined page. ok is false for any other value.
func DecodeQuarantinedPage(raw wire.Raw) (q QuarantinedPage, ok bool) {
	if len(raw) == 0 || raw[0]&fixCountMask != msgpackFixArray || wire.Unmarshal(raw, &q) != nil || q.Mark != quarantineMark {
		return QuarantinedPage{}, false
	}
	return q, true
}
