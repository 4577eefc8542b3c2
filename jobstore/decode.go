// Decoders of the stored records. They reject values that decode but were never written.

package jobstore

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/umberdeal/umberdeal/wire"
)

// errMalformed means that a value decodes, but no version of this program writes such a value.
var errMalformed = errors.New("malformed record")

// First bytes of MessagePack values.
const (
	msgpackFixMap   = 0x80 // up to 15 pairs; the low four bits are the count
	msgpackMap16    = 0xde
	msgpackMap32    = 0xdf
	msgpackFixArray = 0x90 // up to 15 elements
	msgpackFixStr   = 0xa0 // up to 31 bytes
	fixCountMask    = 0xf0
	fixStrMask      = 0xe0
	fixStrLenMask   = 0x1f
)

// msgpackString encodes a string of at most 31 bytes.
func msgpackString(s string) []byte { return append([]byte{msgpackFixStr | byte(len(s))}, s...) }

// mapWithKey reports whether a value is a map that may have the key. It rejects values such as null and
// the empty map, which decode to an empty record without an error. A damaged page that counted as empty
// would lose its jobs.
func mapWithKey(raw wire.Raw, key string) bool {
	if len(raw) == 0 || raw[0]&fixCountMask != msgpackFixMap && raw[0] != msgpackMap16 && raw[0] != msgpackMap32 {
		return false
	}
	return bytes.Contains(raw, msgpackString(key))
}

// decodeMap decodes a map into v. It returns errMalformed if the map does not have the key.
func decodeMap(raw wire.Raw, key string, v any) error {
	if err := wire.Unmarshal(raw, v); err != nil {
		return err
	}
	if !mapWithKey(raw, key) {
		return errMalformed
	}
	return nil
}

// DecodeJob decodes the record of an unfinished job. It returns an error if the record has another id or
// no tasks.
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

// DecodeFinal decodes the final record of a job. It returns an error if the record has no final state.
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

// DecodeJobPage decodes a job page. The entries' records stay encoded; see JobPageEntry.Decode.
func DecodeJobPage(raw wire.Raw) (JobPage, error) {
	var page JobPage
	err := decodeMap(raw, "s", &page)
	return page, err
}

// DecodePlacementPage decodes a page of placement records.
func DecodePlacementPage(raw wire.Raw) (PlacementPage, error) {
	var page PlacementPage
	err := decodeMap(raw, "c", &page)
	return page, err
}

// DecodeSchema decodes a stored SchemaRecord. It returns an error if the version or the number of buckets
// is out of range.
func DecodeSchema(raw wire.Raw) (SchemaRecord, error) {
	var schema SchemaRecord
	err := decodeMap(raw, "f", &schema)
	if err == nil && (schema.Version < SchemaJobPages || schema.Buckets < 1) {
		err = errMalformed
	}
	return schema, err
}

// IsAppValue reports whether a value may be a record of an API front end. This package does not know the
// types of these records. All are encoded as non-empty maps.
func IsAppValue(raw wire.Raw) bool {
	return len(raw) > 1 && (raw[0] > msgpackFixMap && raw[0] < msgpackFixArray || raw[0] == msgpackMap16 || raw[0] == msgpackMap32)
}
