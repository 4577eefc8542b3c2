package placement

import (
	"math/rand/v2"
	"testing"
)

// A search is skipped if one that would find all its machines has failed. Whether a warm pool lends a machine
// depends on the image: it must be there, or beside the weights. Images were not compared, so that
// a job whose image was on a pool's machine waited because another job's image was not.
func TestKnownFailuresAreOfSearchesThatFindAllMachines(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 77))
	alike := 0
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
		alike++
		if poolAdmits(&m, &requests[1]) && !poolAdmits(&m, &requests[0]) {
			t.Fatalf("on %+v there is room for %+v, but not for %+v, which is taken to find all its machines", m, requests[1], requests[0])
		}
	}
	if alike < 1000 {
		t.Errorf("only %d comparable pairs", alike)
	}
}
