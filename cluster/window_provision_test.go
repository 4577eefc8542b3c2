package cluster

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// A batch window needs more places than waiting tasks ask for. They are rented once across
// leaders: not before a new leader knows its machines, not again while they boot or their
// heartbeats are late, and again once they are lost.
func TestProvisionScalesOutOnceAcrossFailover(t *testing.T) {
	l := &leaderSequence{t: t, planRecords: map[string]wire.Raw{}, finalRecords: map[string]jobstore.JobRecord{}}
	layer := windowJob("wk-000001", "tiles", 6000, 10, 600) // 3.6 million seconds, seven hours
	type rental struct {
		name string
		at   float64
	}
	var rented []rental
	report := func(n int, s float64) {
		for k := range n {
			r := newHeartbeat(uint64(s), l.model.FencingToken)
			r.Machine, r.Addr = fmt.Sprintf("host-%d", k), fmt.Sprintf("h-%d:1", k)
			answer(t, l.model, r, at(s))
		}
	}
	// wants ticks the leader over a time, and returns how many machines it wants in the end.
	wants := func(from, to float64, reporting int) (n int) {
		for s := from; s <= to; s++ {
			report(reporting, s)
			l.model.Tick(at(s))
		}
		for _, k := range l.model.Schedule(at(to), 0).ScaleOut {
			n += k
		}
		return n
	}
	l.failover(5, at(100), twoRegions, layer)
	if n := wants(101, 110, 8); n > 32 {
		t.Errorf("%d machines are wanted before the leader knows its own", n)
	}
	if n := wants(111, 140, 8); n > 32 {
		t.Errorf("%d machines are wanted minutes before they must be", n)
	}
	n := wants(141, 1100, 8)
	if n < 55 || n > 90 {
		t.Fatalf("%d machines are wanted beside eight, for 150 places", n)
	}
	for k := range n {
		name := fmt.Sprintf("host-%d", 8+k)
		rented = append(rented, rental{name, 1100})
		l.model.ScaledOut(Offer{Type: "m", Zone: "a"}, []string{name}, at(1100))
	}
	if more := wants(1101, 1111, 8); more > 0 {
		t.Errorf("%d more are wanted while they boot", more)
	}
	l.failover(6, at(1112), twoRegions, layer)
	for _, r := range rented {
		l.model.ScaledOut(Offer{Type: "m", Zone: "a"}, []string{r.name}, at(r.at))
	}
	if more := wants(1113, 1120, 8); more > 0 {
		t.Errorf("the next leader wants %d more while they boot", more)
	}
	if more := wants(1121, 1146, 8+n); more > 0 {
		t.Errorf("the next leader wants %d more when all are up", more)
	}
	if more := wants(1147, 1154, 8); more > 32 { // their leases are not over
		t.Errorf("%d more are wanted when heartbeats are late", more)
	}
	if more := wants(1155, 1900, 8); more < n/2 {
		t.Errorf("%d more are wanted when %d are lost", more, n)
	}
	// The plan is taken back.
	applyPlan(t, l.model, 2, "", at(1901))
	if more := wants(1902, 1910, 8); more > 40 {
		t.Errorf("%d are wanted without a calendar", more)
	}
}
