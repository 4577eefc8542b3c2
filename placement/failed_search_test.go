package placement

import (
	"math/rand/v2"
	"testing"
)

// Guards against the skip of a search that would succeed. A search is skipped after a failed search
// that would have found each of its machines. A warm pool lends a machine only if the image is present
// or fits beside the weights, so images must be compared. Formerly they were not: a job whose image
// was on a pool's machine kept waiting after the failed search of a job whose image was not there.
func TestKnownFailuresAreOfSearchesThatFindAllMachines(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 77))
	comparablePairs := 0
	for range 20_000 {
		var requests [2]Request
		for i := range requests {
			requests[i] = Request{Image: rnd.Int32N(2), ImageGB: float64(1 + rnd.IntN(3)),
				PoolAccess: []PoolAccess{PoolAccess(rnd.IntN(int(LastResortAccess) + 1))}}
		}
		m := Machine{Pool: 1, PoolSpareGB: float64(rnd.IntN(4))}
		if rnd.IntN(2) == 0 {
			m.Images = []ImageAt{{Image: rnd.Int32N(2)}}
		}
		if !requests[0].fitsWherever(&requests[1]) {
			continue
		}
		comparablePairs++
		if poolAdmits(&m, &requests[1]) && !poolAdmits(&m, &requests[0]) {
			t.Fatalf("%+v admits %+v but not %+v, although fitsWherever is true", m, requests[1], requests[0])
		}
	}
	if comparablePairs < 1000 {
		t.Errorf("only %d comparable pairs, want at least 1000", comparablePairs)
	}
}
