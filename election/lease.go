package election

import (
	"sync"
	"sync/atomic"
	"time"
)

// Lease is one period of leadership. It is safe for concurrent use.
//
// A Lease starts out not valid, becomes valid with the first Extend, and stops being
// valid when its time is over or it is resigned. It can become valid again only after
// the former: once resigned, it stays so, because the store's lease is revoked next
// and another leader may be elected at once.
type Lease struct {
	FencingToken uint64 // revision of LeaderKey; guards every write of this leader
	ElectedAt    time.Time

	id         uint64       // the store's lease
	validUntil atomic.Int64 // nanoseconds since ElectedAt, which has a monotonic clock reading
	resigned   atomic.Bool
	resignOnce sync.Once
	resignC    chan struct{} // closed by Resign
}

// NewLease makes a Lease that is not valid yet.
func NewLease(fencingToken, id uint64, electedAt time.Time) *Lease {
	return &Lease{FencingToken: fencingToken, ElectedAt: electedAt, id: id, resignC: make(chan struct{})}
}

// Valid reports whether this node may act as the leader now.
func (l *Lease) Valid() bool {
	return !l.resigned.Load() && int64(time.Since(l.ElectedAt)) < l.validUntil.Load()
}

// Extend makes the lease valid until the given time, unless it was resigned: a renewal
// that was in flight when it was must not revive it.
func (l *Lease) Extend(until time.Time) { l.validUntil.Store(int64(until.Sub(l.ElectedAt))) }

// Resign gives the leadership up, for good.
func (l *Lease) Resign() {
	l.resigned.Store(true)
	l.resignOnce.Do(func() { close(l.resignC) })
}
