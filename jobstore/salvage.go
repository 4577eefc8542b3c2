// Recovery of intact values from damaged records. Nothing is guessed. A state is used only if it is
// complete. An id is used only if it occurs both in the page entry and in the entry's record, so that
// damage in one place can't change it into the id of another job.

package jobstore

import (
	"bytes"

	"github.com/umberdeal/umberdeal/wire"
)

var (
	entryIDField  = msgpackString("i")      // field of JobPageEntry
	recordIDField = msgpackString("nameId") // field of wire.Job in a JobRecord
	stateField    = msgpackString("st")     // field of JobRecord
)

// salvageIDs returns the legible ids of a damaged job page, which are those of entries whose record has
// the same id.
func salvageIDs(page []byte) []string {
	var ids []string
	for rest := page; ; {
		at := bytes.Index(rest, entryIDField)
		if at < 0 {
			return ids
		}
		rest = rest[at+len(entryIDField):]
		encoded, ok := leadingString(rest)
		if !ok {
			continue
		}
		id := string(encoded[1:])
		if !wire.ValidUserID(id) {
			continue
		}
		rest = rest[len(encoded):]
		at = bytes.Index(rest, recordIDField)
		if at >= 0 && bytes.HasPrefix(rest[at+len(recordIDField):], encoded) {
			ids = append(ids, id)
		}
	}
}

// leadingString returns the encoded string at the start of b. ok is false if there is no complete string
// of at most 31 bytes.
func leadingString(b []byte) (encoded []byte, ok bool) {
	if len(b) == 0 || b[0]&fixStrMask != msgpackFixStr {
		return nil, false
	}
	n := int(b[0] & fixStrLenMask)
	if len(b) <= n {
		return nil, false
	}
	return b[:1+n], true
}

// salvageState returns the legible state of a damaged final record. It returns "" if no state is legible,
// or if the bytes of both states occur.
func salvageState(record []byte) string {
	found := ""
	for _, state := range []string{wire.JobDone, wire.JobCancelled} {
		if bytes.Contains(record, append(bytes.Clone(stateField), msgpackString(state)...)) {
			if found != "" {
				return ""
			}
			found = state
		}
	}
	return found
}
