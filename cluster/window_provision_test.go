package cluster

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Guards against renting the machines for a batch window several times. The window needs more places
// than the waiting tasks request. Across leaders they must be rented once: not before a new leader
// knows its machines, and not again while the machines boot or their heartbeats are late. They must
// be rented again once they are lost.
func TestProvisionScalesOutOnceAcrossFailover(t *testing.T) {
	l := &leaderSequence{t: t, planRecords: map[string]wire.Raw{}, finalRecords: map[string]jobstore.JobRecord{}}
	tilesJob := windowJob("wk-000001", "tiles", 6000, 10, 600) // 3.6 million seconds of work until the deadline in seven hours
	type rental struct {
		name string
		at   float64
	}
	var rented []rental
	sendHeartbeats := func(n int, s float64) {
		for i := range n {
			r := newHeartbeat(uint64(s), l.model.FencingToken)
			r.Machine, r.Addr = fmt.Sprintf("host-%d", i), fmt.Sprintf("h-%d:1", i)
			answer(t, l.model, r, at(s))
		}
	}
	// machinesWanted ticks the leader from one second to another while the given number of machines
	// send heartbeats. It returns how many machines the leader wants to rent at the end.
	machinesWanted := func(from, to float64, machines int) (n int) {
		for s := from; s <= to; s++ {
			sendHeartbeats(machines, s)
			l.model.Tick(at(s))
		}
		for _, count := range l.model.Schedule(at(to), 0).ScaleOut {
			n += count
		}
		return n
	}
	l.failover(5, at(100), twoRegions, tilesJob)
	if n := machinesWanted(101, 110, 8); n > 32 {
		t.Errorf("got %d wanted machines before the leader knows its own, want at most 32", n)
	}
	if n := machinesWanted(111, 140, 8); n > 32 {
		t.Errorf("got %d wanted machines minutes before they must be requested, want at most 32", n)
	}
	n := machinesWanted(141, 1100, 8)
	if n < 55 || n > 90 {
		t.Fatalf("got %d wanted machines in addition to 8, want 55 to 90 for 150 places", n)
	}
	for i := range n {
		name := fmt.Sprintf("host-%d", 8+i)
		rented = append(rented, rental{name, 1100})
		l.model.ScaledOut(Offer{Type: "m", Zone: "a"}, []string{name}, at(1100))
	}
	if more := machinesWanted(1101, 1111, 8); more > 0 {
		t.Errorf("got %d more wanted machines while the rented ones boot, want 0", more)
	}
	l.failover(6, at(1112), twoRegions, tilesJob)
	for _, r := range rented {
		l.model.ScaledOut(Offer{Type: "m", Zone: "a"}, []string{r.name}, at(r.at))
	}
	if more := machinesWanted(1113, 1120, 8); more > 0 {
		t.Errorf("next leader: got %d more wanted machines while the rented ones boot, want 0", more)
	}
	if more := machinesWanted(1121, 1146, 8+n); more > 0 {
		t.Errorf("next leader: got %d more wanted machines when all are ready, want 0", more)
	}
	if more := machinesWanted(1147, 1154, 8); more > 32 { // their leases have not expired
		t.Errorf("got %d more wanted machines while heartbeats are late, want at most 32", more)
	}
	if more := machinesWanted(1155, 1900, 8); more < n/2 {
		t.Errorf("got %d more wanted machines when %d are lost, want at least half", more, n)
	}
	// The plan is withdrawn.
	applyPlan(t, l.model, 2, "", at(1901))
	if more := machinesWanted(1902, 1910, 8); more > 40 {
		t.Errorf("got %d wanted machines without a calendar, want at most 40", more)
	}
}
