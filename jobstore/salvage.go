package jobstore

import (
	"bytes"

	"github.com/umberdeal/umberdeal/wire"
)

// This file reads what is still intact in records that can't be read as a whole. Nothing is guessed:
// what is taken from them stands there in full, and an id twice, so that one stretch of damage can't
// make up another one.

var (
	entryIDField  = msgpackString("i")      // of a JobPageEntry
	recordIDField = msgpackString("nameId") // of the job in its record
	stateField    = msgpackString("st")     // of a JobRecord
)

// salvageIDs finds jobs that stand on a job page: each whose id is both its entry's and its record's.
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

// leadingString is the encoded string of at most 31 bytes that b begins with.
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

// salvageState finds how a job ended in a final record: "" where no state stands there, or both do.
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
