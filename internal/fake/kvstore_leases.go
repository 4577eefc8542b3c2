// Leases of the key-value store.

package fake

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

const (
	minLeaseTTLMs = 100
	maxLeaseTTLMs = 600_000
)

// storeLease is a lease of the key-value store. Unless it is renewed in time, it ends and the
// keys that were put with it are deleted.
type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// serveNewLease grants a lease. The caller holds the lock.
func (s *KVStore) serveNewLease(w http.ResponseWriter, body []byte) {
	var q wire.NewLease
	if wire.Unmarshal(body, &q) != nil || q.TTLMs < minLeaseTTLMs || q.TTLMs > maxLeaseTTLMs {
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	id := s.nextLease
	s.nextLease++
	ttl := time.Duration(q.TTLMs) * time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, wire.LeaseAnswer{Lease: id})
}

// serveLease renews or ends a lease. The caller holds the lock.
func (s *KVStore) serveLease(w http.ResponseWriter, r *http.Request) {
	id, _ := parseLeasePath(r.URL.Path)
	lease := s.leases[id]
	if lease == nil {
		reply(w, http.StatusNotFound, wire.Error{Error: "no such lease"})
		return
	}
	if r.Method == http.MethodDelete {
		s.endLease(id)
	} else {
		lease.expires = time.Now().Add(lease.ttl)
	}
	reply(w, http.StatusOK, map[string]any{})
}

// parseLeasePath returns the lease id in the path of a request to renew or end a lease.
func parseLeasePath(path string) (id uint64, err error) {
	return strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(path, "/holds/"), "/touch"), 10, 64)
}

// expireLeases ends the expired leases in the order of their grants. No lease ends during an
// outage. The caller holds the lock.
func (s *KVStore) expireLeases() {
	if s.outage {
		return
	}
	now := time.Now()
	ids := make([]uint64, 0, len(s.leases))
	for id, l := range s.leases {
		if now.After(l.expires) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, id := range ids {
		s.endLease(id)
	}
}

// endLease deletes a lease and the keys that were put with it. The caller holds the lock.
func (s *KVStore) endLease(id uint64) {
	delete(s.leases, id)
	var deleted []string
	for k, e := range s.entries {
		if e.Lease == id {
			deleted = append(deleted, k)
		}
	}
	sort.Strings(deleted)
	for _, k := range deleted {
		s.revision++
		s.lastChange[k] = s.revision
		delete(s.entries, k)
		s.events = append(s.events, wire.Event{Delete: k, Version: s.revision})
	}
	if len(deleted) > 0 {
		s.wakeWatches()
	}
}
