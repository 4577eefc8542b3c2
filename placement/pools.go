package placement

// This file is about machines of warm pools, which hold a model's weights for work
// that is to come.

// PoolAccess says what a request may do with a pool's machines.
type PoolAccess uint8

// What a request may do, from nothing to everything.
const (
	NoAccess         PoolAccess = iota // the room is the pool's
	BorrowAccess                       // as long as the weights stay there, until the pool wants the room back
	LastResortAccess                   // where there is no other room, whatever becomes of the weights
	OwnerAccess                        // as what the pool is for
)

// Parts of a score, in seconds of delay that they stand for.
const (
	borrowScore     = 60   // for the risk that the pool wants its machine back
	lastResortScore = 1000 // more than any boot: another machine is taken if one is up
	ownerBonus      = 2    // of two machines with the weights, the pool's is taken
)

// poolAccess is what the request may do with a machine, which is of a pool.
func (m *Machine) poolAccess(r *Request) PoolAccess {
	if m.Pool > len(r.PoolAccess) {
		return NoAccess
	}
	return r.PoolAccess[m.Pool-1]
}

// poolAdmits says whether the request may use the machine as far as pools go.
func poolAdmits(m *Machine, r *Request) bool {
	if m.Pool == 0 {
		return true
	}
	switch m.poolAccess(r) {
	case OwnerAccess, LastResortAccess:
		return true
	case BorrowAccess:
		_, there := m.ImageReadyIn(r.Image)
		return there || r.ImageGB <= m.PoolSpareGB
	}
	return false
}

// PoolRefuses says whether a warm pool keeps the request from the machine, altogether
// or for its image, which would evict the pool's weights.
func (m *Machine) PoolRefuses(r *Request) (pool, image bool) {
	if poolAdmits(m, r) {
		return false, false
	}
	borrows := m.poolAccess(r) == BorrowAccess
	return !borrows, borrows
}

// poolScore is the part of a machine's score that is due to its pool.
func poolScore(m *Machine, r *Request) float64 {
	if m.Pool == 0 {
		return 0
	}
	switch m.poolAccess(r) {
	case OwnerAccess:
		return -ownerBonus
	case BorrowAccess:
		return borrowScore
	}
	return lastResortScore
}

// reservePoolSpace reserves what a borrower's image takes beside the weights, or undoes
// that.
func reservePoolSpace(m *Machine, r *Request, way direction) {
	if m.Pool == 0 || m.poolAccess(r) != BorrowAccess {
		return
	}
	if _, there := m.ImageReadyIn(r.Image); !there {
		m.PoolSpareGB -= float64(way) * r.ImageGB
	}
}
