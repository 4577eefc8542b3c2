// Copies of records in a controller's memory, from which a leader recovers damaged records.

package jobstore

import (
	"context"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/wire"
)

// RecoveryCopy is a controller's in-memory copy of one version of a record, as it was written. A leader
// that can't decode the record requests a copy from its peers. One of the two fields is set.
type RecoveryCopy struct {
	Entries []JobPageEntry `msgpack:"j"` // for a job page
	Value   wire.Raw       `msgpack:"r"` // for any other record
}

// RecoveryCopy returns this controller's copy of a version of a record, whether or not the stored record
// is damaged. It reads a barrier first, so that the index includes the current version. It returns nil if
// the controller has no copy of that version, or if the barrier fails.
func (s *Store) RecoveryCopy(ctx context.Context, key string, version uint64) *RecoveryCopy {
	if version == 0 || s.readBarrier(ctx) != nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, ok := s.unreadablePages[key]; ok {
		if u.version == version {
			return u.recovered
		}
		return nil
	}
	if p := s.jobPages[key]; p != nil && p.version == version {
		return &RecoveryCopy{Entries: append([]JobPageEntry{}, p.page.Entries...)}
	}
	if key == SchemaKey && s.schemaVersion == version && !s.schemaUnreadable {
		return newRecoveryCopy(s.schema)
	}
	if s.apps != nil && strings.HasPrefix(key, AppPrefix) {
		if app := s.apps.apps[key]; app.Version == version && IsAppValue(app.Value) {
			return &RecoveryCopy{Value: app.Value}
		}
	}
	if id, ok := ParseJobKey(key); ok {
		if j := s.jobs[id]; j != nil && j.version == version && j.pageKey == "" && !j.unreadable {
			return newRecoveryCopy(j.record)
		}
	}
	return nil
}

// newRecoveryCopy returns a copy of a record other than a job page, or nil if it can't be encoded.
func newRecoveryCopy(v any) *RecoveryCopy {
	raw, err := wire.Marshal(v)
	if err != nil {
		return nil
	}
	return &RecoveryCopy{Value: raw}
}

// originalPageCopy returns this controller's copy of the original version of an unreadable page, or nil if
// it has none.
func (x *index) originalPageCopy(key string, u unreadablePage) *RecoveryCopy {
	before := x.unreadablePages[key]
	if before.originalKey == u.originalKey && before.originalVersion == u.originalVersion {
		return before.recovered // u is a rewrite of the same quarantined page
	}
	original := x.unreadablePages[u.originalKey]
	if p := x.jobPages[u.originalKey]; p != nil && p.version == u.originalVersion && original.version == 0 {
		return &RecoveryCopy{Entries: slices.Clone(p.page.Entries)}
	}
	if original.version == u.originalVersion {
		return original.recovered
	}
	return nil
}

// UnreadableKey returns the key and the version of a job page that this controller can't decode and that
// no leader has quarantined, or of the schema record if it can't be decoded. The key is "" if there is
// none.
func (s *Store) UnreadableKey() (key string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.schemaUnreadable {
		return SchemaKey, s.schemaVersion
	}
	for key, u := range s.unreadablePages {
		if !u.quarantined {
			return key, u.version
		}
	}
	return "", 0
}
