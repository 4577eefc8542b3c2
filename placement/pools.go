// Machines of warm pools, which hold a model's weights ahead of demand.

package placement

// PoolAccess is the access of a request to a warm pool's machines.
type PoolAccess uint8

// Kinds of access, from none to full.
const (
	NoAccess         PoolAccess = iota // the request may not use the machines
	BorrowAccess                       // it may use them until the pool needs them, if its image does not evict the weights
	LastResortAccess                   // it may use them if there is no other room, even if its image evicts the weights
	OwnerAccess                        // the pool is kept for this work
)

// Parts of a machine's score, as equivalent seconds of delay.
const (
	borrowPenaltySeconds     = 60   // for the risk that the pool needs the machine back
	lastResortPenaltySeconds = 1000 // longer than any boot, so that any other machine with room is preferred
	ownerBonusSeconds        = 2    // prefers the pool's machine among machines with the weights
)

// poolAccess returns the request's access to the machine, which must belong to a pool.
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
		_, present := m.ImageReadyIn(r.Image)
		return present || r.ImageGB <= m.PoolSpareGB
	}
	return false
}

// PoolRefuses reports whether and why the machine's warm pool refuses the request: noAccess if the
// request may not use the pool, evictsWeights if it may borrow the machine but its image would
// evict the pool's weights. Both are false if the request may use the machine.
func (m *Machine) PoolRefuses(r *Request) (noAccess, evictsWeights bool) {
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

// reservePoolSpace reserves the disk space of a borrower's image on a machine of a warm pool, or
// releases it.
func reservePoolSpace(m *Machine, r *Request, sign direction) {
	if m.Pool == 0 || m.poolAccess(r) != BorrowAccess {
		return
	}
	if _, present := m.ImageReadyIn(r.Image); !present {
		m.PoolSpareGB -= float64(sign) * r.ImageGB
	}
}
