package jobstore

import (
	"context"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/wire"
)

// RecoveryCopy is what a controller remembers of a record in one version of it: exactly what was
// written then. A leader that finds the record unreadable asks its peers for it. One of the two fields
// is set.
type RecoveryCopy struct {
	Entries []JobPageEntry `msgpack:"j"` // of a job page
	Value   wire.Raw       `msgpack:"r"` // of another record
}

// RecoveryCopy returns what this controller remembers of a record, whether or not it can still be
// read; nil where it remembers nothing of that version. It is as of a moment after the call.
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

func newRecoveryCopy(v any) *RecoveryCopy {
	raw, err := wire.Marshal(v)
	if err != nil {
		return nil
	}
	return &RecoveryCopy{Value: raw}
}

// rememberedPage is what this controller remembers of the page that u was before.
func (x *index) rememberedPage(key string, u unreadablePage) *RecoveryCopy {
	before := x.unreadablePages[key]
	if before.originalKey == u.originalKey && before.originalVersion == u.originalVersion {
		return before.recovered // written again as it was
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

// UnreadableKey names a job page, or the schema's record, that this controller can't read and that no
// leader has quarantined yet; "" if there is none.
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
