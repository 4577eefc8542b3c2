package jobstore

import (
	"bytes"

	"github.com/umberdeal/umberdeal/wire"
)

// This file reads what still stands in records that can't be read as a whole.
// Nothing is guessed: what is taken from them stands there in full, and an id
// twice, so that one stretch of damage can't make up another one.

// msgpackString is a short text as records have it.
func msgpackString(s string) []byte { return append([]byte{0xa0 | byte(len(s))}, s...) }

var (
	entryID  = msgpackString("i")      // of an IntakeEntry
	recordID = msgpackString("nameId") // of the job in its record
	stateKey = msgpackString("st")     // of a JobRecord
)

// salvageIDs finds jobs that stand on a page of users' jobs: each whose id is
// both its entry's and its record's.
func salvageIDs(page []byte) []string {
	var ids []string
	for rest := page; ; {
		at := bytes.Index(rest, entryID)
		if at < 0 {
			return ids
		}
		rest = rest[at+len(entryID):]
		if len(rest) == 0 || rest[0]&0xe0 != 0xa0 || len(rest) <= int(rest[0]&0x1f) {
			continue
		}
		whole := rest[:1+int(rest[0]&0x1f)]
		id := string(whole[1:])
		if !wire.ValidUserID(id) {
			continue
		}
		rest = rest[len(whole):]
		at = bytes.Index(rest, recordID)
		if at >= 0 && bytes.HasPrefix(rest[at+len(recordID):], whole) {
			ids = append(ids, id)
		}
	}
}

// salvageState finds how a job ended in a final record: "" where that does not
// stand there, or both do.
func salvageState(record []byte) string {
	found := ""
	for _, s := range []string{wire.JobDone, wire.JobCancelled} {
		if bytes.Contains(record, append(bytes.Clone(stateKey), msgpackString(s)...)) {
			if found != "" {
				return ""
			}
			found = s
		}
	}
	return found
}
