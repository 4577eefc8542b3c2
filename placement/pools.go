package placement

// This file handles machines of warm pools, which hold a model's weights ahead of demand.

// PoolAccess says what a request may do with a pool's machines.
type PoolAccess uint8

// Kinds of access, from none to full.
const (
	NoAccess         PoolAccess = iota // the request may not use the machines
	BorrowAccess                       // it may until the pool needs them, if its image does not evict the weights
	LastResortAccess                   // it may if there is no other room, even if that evicts the weights
	OwnerAccess                        // it is work for which the pool is kept
)

// Parts of a machine's score, as equivalent seconds of delay.
const (
	borrowPenaltySeconds     = 60   // for the risk that the pool needs its machine back
	lastResortPenaltySeconds = 1000 // longer than any boot: any other machine with room is taken first
	ownerBonusSeconds        = 2    // of two machines with the weights, the one in the pool is taken
)

// poolAccess returns what the request may do with a machine, which must belong to a pool.
func (m *Machine) poolAccess(r *Request) PoolAccess {
	if m.Pool > len(r.PoolAccess) {
		return NoAccess
	}
	return r.PoolAccess[m.Pool-1]
}

// poolAdmits reports whether the machine's pool, if it has one, lets the request use it.
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

// PoolRefuses reports whether the machine's warm pool does not let the request use it: pool if it
// has no access, image if its image would evict the pool's weights.
func (m *Machine) PoolRefuses(r *Request) (pool, image bool) {
	if poolAdmits(m, r) {
		return false, false
	}
	borrows := m.poolAccess(r) == BorrowAccess
	return !borrows, borrows
}

// poolScore is the part of a machine's score that depends on its pool.
func poolScore(m *Machine, r *Request) float64 {
	if m.Pool == 0 {
		return 0
	}
	switch m.poolAccess(r) {
	case OwnerAccess:
		return -ownerBonusSeconds
	case BorrowAccess:
		return borrowPenaltySeconds
	}
	return lastResortPenaltySeconds
}

// reservePoolSpace reserves what a borrower's image takes beside the weights, or undoes
// that.
func reservePoolSpace(m *Machine, r *Request, sign direction) {
	if m.Pool == 0 || m.poolAccess(r) != BorrowAccess {
		return
	}
	if _, there := m.ImageReadyIn(r.Image); !there {
		m.PoolSpareGB -= float64(sign) * r.ImageGB
	}
}
