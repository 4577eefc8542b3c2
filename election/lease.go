package election

import (
	"sync"
	"sync/atomic"
	"time"
)

// Lease is one period of leadership. It is safe for concurrent use.
//
// A Lease becomes valid with the first Extend. It stops being valid when it expires or is
// resigned. An expired Lease becomes valid again with the next Extend. A resigned Lease
// never does, because the store's lease is revoked next and another leader may be elected
// at once.
type Lease struct {
	FencingToken uint64 // revision of LeaderKey; every write of this leader is conditional on it
	ElectedAt    time.Time

	id         uint64       // of the lease in the store
	validUntil atomic.Int64 // nanoseconds after ElectedAt, by the monotonic clock
	resigned   atomic.Bool
	resignOnce sync.Once
	resignC    chan struct{} // closed by Resign
}

// NewLease returns a Lease that is not valid yet. The id is that of the store's lease.
func NewLease(fencingToken, id uint64, electedAt time.Time) *Lease {
	return &Lease{FencingToken: fencingToken, ElectedAt: electedAt, id: id, resignC: make(chan struct{})}
}

// Valid reports whether this node may act as the leader now.
func (l *Lease) Valid() bool {
	return !l.resigned.Load() && int64(time.Since(l.ElectedAt)) < l.validUntil.Load()
}

// Extend makes the lease valid until the given time. It has no effect on a resigned
// lease, since a renewal may still have been in flight when the leader resigned.
func (l *Lease) Extend(until time.Time) { l.validUntil.Store(int64(until.Sub(l.ElectedAt))) }

// Resign ends the leadership: Valid is false from now on, and the Elector revokes the
// store's lease. It may be called more than once.
func (l *Lease) Resign() {
	l.resigned.Store(true)
	l.resignOnce.Do(func() { close(l.resignC) })
}
