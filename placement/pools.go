package placement

// This file is about machines of warm pools, which hold a model's weights for work
// that is to come.

// PoolAccess says what a request may do with a pool's machines.
type PoolAccess uint8

// Uses.
const (
	NoAccess         PoolAccess = iota // the room is the pool's
	BorrowAccess                       // as long as the weights stay there, until the pool wants the room back
	LastResortAccess                   // where there is no other room, whatever becomes of the weights
	OwnerAccess                        // as what the pool is for
)

const (
	borrowScore     = 60   // seconds of delay that borrowing counts for
	lastResortScore = 1000 // more than any boot: another machine is taken if one is up
	ownerBonus      = 2    // of two machines with the weights, the pool's is taken
)

func (m *Machine) poolAccess(r *Request) PoolAccess {
	if m.Pool > len(r.PoolAccess) {
		return NoAccess
	}
	return r.PoolAccess[m.Pool-1]
}

// admits says whether the request may use the machine as far as pools go.
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
	lent := m.poolAccess(r) == BorrowAccess
	return !lent, lent
}

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

// bookPool books what a borrower's image takes beside the weights.
func reservePoolSpace(m *Machine, r *Request, sign float64) {
	if m.Pool == 0 || m.poolAccess(r) != BorrowAccess {
		return
	}
	if _, there := m.ImageReadyIn(r.Image); !there {
		m.PoolSpareGB -= sign * r.ImageGB
	}
}
