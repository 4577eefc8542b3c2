package placement

import "testing"

// poolMachine returns a machine of pool 1 that has the pool's weights and space for 10 GB of
// other images.
func poolMachine(zone int) Machine {
	m := machine(zone, Resources{CPU: 16, GPU: 2, Mem: 128})
	m.Pool, m.PoolSpareGB, m.Images = 1, 10, []ImageAt{{Image: 7}}
	return m
}

// Guards against work on a pool's machine without access to the pool, and against borrowers whose
// images would evict the pool's weights.
func TestPoolMachineIsKeptFromOtherWork(t *testing.T) {
	for _, c := range []struct {
		name    string
		access  []PoolAccess
		imageGB float64
		jobs    int
		want    int
	}{
		{"no access listed for the pool", nil, 2, 1, 0},
		{"NoAccess", []PoolAccess{NoAccess}, 2, 1, 0},
		{"a borrower", []PoolAccess{BorrowAccess}, 2, 1, 1},
		{"a borrower whose image would evict the weights", []PoolAccess{BorrowAccess}, 11, 1, 0},
		{"two borrowers whose images together would evict the weights", []PoolAccess{BorrowAccess}, 6, 2, 1},
		{"last resort access with an image that evicts the weights", []PoolAccess{LastResortAccess}, 50, 1, 1},
		{"the owner of another pool only", []PoolAccess{NoAccess, OwnerAccess}, 2, 1, 0},
	} {
		in := Input{Machines: []Machine{poolMachine(0)}}
		for range c.jobs {
			r := request(1, Resources{CPU: 1})
			r.Image, r.ImageGB, r.PoolAccess = int32(len(in.Requests)), c.imageGB, c.access
			in.Requests = append(in.Requests, r)
		}
		if p := Compute(&in); len(p.Starts) != c.want {
			t.Errorf("%s: got %d starts, want %d", c.name, len(p.Starts), c.want)
		}
	}
}

// Guards against use of a pool by a request with last resort access while a machine outside the pool
// has room.
func TestLastResortAccessTakesOtherRoomFirst(t *testing.T) {
	r := request(2, Resources{CPU: 16})
	r.PoolAccess = []PoolAccess{LastResortAccess}
	in := Input{Machines: []Machine{poolMachine(0), machine(1, Resources{CPU: 16})}, Requests: []Request{r}}
	p := Compute(&in)
	if len(p.Starts) != 2 || p.Starts[0].Machine != 1 {
		t.Errorf("starts %+v: want two, the first on the machine outside the pool", p.Starts)
	}
}

// A failed search of a request without access to a pool must not make a request with access skip
// its search.
func TestFailedSearchDoesNotHidePool(t *testing.T) {
	other, replica := request(1, Resources{CPU: 4}), request(1, Resources{CPU: 8})
	replica.PoolAccess = []PoolAccess{OwnerAccess}
	in := Input{Machines: []Machine{poolMachine(0)}, Requests: []Request{other, replica}}
	if p := Compute(&in); len(p.Starts) != 1 || p.Starts[0].Request != 1 {
		t.Errorf("starts %+v: want only the request with access to the pool", p.Starts)
	}
}
