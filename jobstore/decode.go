package jobstore

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/umberdeal/umberdeal/wire"
)

// errMalformed means that a value decodes, and yet is not what any version has written.
var errMalformed = errors.New("it is not what was written")

// First bytes of MessagePack values.
const (
	msgpackFixMap   = 0x80 // up to 15 pairs; the low four bits are their number
	msgpackMap16    = 0xde
	msgpackMap32    = 0xdf
	msgpackFixArray = 0x90 // up to 15 elements
	msgpackFixStr   = 0xa0 // up to 31 bytes
	fixCountMask    = 0xf0
	fixStrMask      = 0xe0
	fixStrLenMask   = 0x1f
)

// msgpackString is a string of at most 31 bytes as records have it.
func msgpackString(s string) []byte { return append([]byte{msgpackFixStr | byte(len(s))}, s...) }

// mapWithKey reports whether a value is a map that may have that key. Null and the empty map decode as
// empty records, and an empty page would forget its jobs.
func mapWithKey(raw wire.Raw, key string) bool {
	if len(raw) == 0 || raw[0]&fixCountMask != msgpackFixMap && raw[0] != msgpackMap16 && raw[0] != msgpackMap32 {
		return false
	}
	return bytes.Contains(raw, msgpackString(key))
}

// decodeMap decodes a map that must have that key.
func decodeMap(raw wire.Raw, key string, v any) error {
	if err := wire.Unmarshal(raw, v); err != nil {
		return err
	}
	if !mapWithKey(raw, key) {
		return errMalformed
	}
	return nil
}

// DecodeJob reads the record of an unfinished job.
func DecodeJob(id string, raw wire.Raw) (JobRecord, error) {
	var record JobRecord
	if err := wire.Unmarshal(raw, &record); err != nil {
		return record, fmt.Errorf("job %s: %w", id, err)
	}
	if record.Job.ID != id || record.Job.Tasks < 1 {
		return record, fmt.Errorf("job %s: its record is that of %q, of %d tasks: %w", id, record.Job.ID, record.Job.Tasks, errMalformed)
	}
	return record, nil
}

// DecodeFinal reads the record of a job that is over.
func DecodeFinal(raw wire.Raw) (JobRecord, error) {
	var record JobRecord
	if err := wire.Unmarshal(raw, &record); err != nil {
		return record, err
	}
	if record.State != wire.JobDone && record.State != wire.JobCancelled {
		return record, errMalformed
	}
	return record, nil
}

// DecodeJobPage reads a page of users' jobs.
func DecodeJobPage(raw wire.Raw) (JobPage, error) {
	var page JobPage
	err := decodeMap(raw, "s", &page)
	return page, err
}

// DecodePlacementPage reads a page of placement records.
func DecodePlacementPage(raw wire.Raw) (PlacementPage, error) {
	var page PlacementPage
	err := decodeMap(raw, "c", &page)
	return page, err
}

// DecodeSchema reads the version of the schema.
func DecodeSchema(raw wire.Raw) (SchemaRecord, error) {
	var schema SchemaRecord
	err := decodeMap(raw, "f", &schema)
	if err == nil && (schema.Version < SchemaJobPages || schema.Buckets < 1) {
		err = errMalformed
	}
	return schema, err
}

// IsAppValue reports whether a value may be an API front end's record, of whichever kind: all are maps
// that are not empty.
func IsAppValue(raw wire.Raw) bool {
	return len(raw) > 1 && (raw[0] > msgpackFixMap && raw[0] < msgpackFixArray || raw[0] == msgpackMap16 || raw[0] == msgpackMap32)
}
