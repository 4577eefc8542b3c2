package jobstore

import (
	"bytes"

	"github.com/umberdeal/umberdeal/wire"
)

// This file recovers what is intact in damaged records, without guessing: a value is used only if it is
// completely there, and an id only if it occurs both in the page entry and in the entry's record, so that
// damage to one place can't turn it into the id of another job.

var (
	entryIDField  = msgpackString("i")      // field of JobPageEntry
	recordIDField = msgpackString("nameId") // field of wire.Job in a JobRecord
	stateField    = msgpackString("st")     // field of JobRecord
)

// salvageIDs returns the ids that are legible in a damaged job page: those of entries whose record has
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

// leadingString returns the encoded string, of at most 31 bytes, with which b begins.
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

// salvageState returns the state that is legible in a damaged final record: "" if there is none, or if
// the bytes of both states occur.
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
