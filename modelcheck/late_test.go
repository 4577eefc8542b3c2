package modelcheck

import "testing"

// What comes late or is lost between nodes and the state service breaks no rule, and
// each guard is missed when it is taken away.
func TestNothingLateBreaksARule(t *testing.T) {
	for _, c := range []struct {
		without Breach
		world   *Scenario
		moves   []Kind
		depth   int
	}{
		{UnknownCounts, LateOfOne(), []Kind{Pass, PassLate, LateTxn, Trip, Image, Finish, Takeover}, 9},
		{PageUnguarded, LateTransactions(), []Kind{Pass, PassLate, LateTxn, Trip, Image, Finish}, 10},
		{CancelUnguards, LateOfOne(), []Kind{Pass, PassLost, PassLate, LateTxn, Trip, Image, Finish, Ask, AskHeard, AskLost, Again}, 9},
		{DoneUnguarded, LateOfOne(), []Kind{Pass, PassLost, PassLate, LateTxn, Trip, Image, Finish, Ask, AskHeard, AskLost, Again}, 9},
		{TermIgnored, refusedOnOne(), []Kind{Pass, Trip, Image, Cancel, Refuse, Wait, Takeover}, 8},
		{TermFromAnswer, refusedOnOne(), []Kind{Pass, Trip, Image, Cancel, Refuse, Renewed, Wait}, 9},
		{CopyShows, copiedWhileRunning(), []Kind{Pass, Trip, Image, Keep, Copy, Takeover, Wait}, 9},
	} {
		t.Run(c.without.String(), func(t *testing.T) {
			if underRace && c.without == CopyShows {
				t.Skip("the largest: .ci/run goes through it without the race detector")
			}
			c.world.Only = c.moves
			mustMiss(t, c.world, c.without, c.depth)
		})
	}
}

// refusedOnOne is the same with one machine, once the task is placed and the leader
// refused.
func refusedOnOne() *Scenario {
	sc := RefusedAlone()
	sc.Zones, sc.Begin = sc.Zones[:1], []Action{{Kind: Pass}, {Kind: Refuse}}
	return sc
}

// copiedWhileRunning is the same once the task has got on its first machine: the last
// report of that does not list it yet.
func copiedWhileRunning() *Scenario {
	sc := NextLeader()
	sc.Begin = []Action{{Kind: Pass}, {Kind: Trip}, {Kind: Image}}
	return sc
}

// A copy comes before the very report that its worker waits for an answer to, and that
// is answered as it comes again: at the leader that has launched by it, and at the next.
func TestCopiesOvertakeReports(t *testing.T) {
	for _, c := range []struct {
		world *Scenario
		moves []Kind
		depth int
	}{
		{oneCopy(), []Kind{Pass, Trip, Send, Handle, Answer, GiveUp, Late, Image, Keep, Copy, Takeover, Wait}, 6},
		{copiedWhileRunning(), []Kind{Pass, Trip, Send, Handle, Answer, Image, Keep, Copy, Takeover, Wait}, 6},
		{cancelledAlone(), []Kind{Pass, Trip, Send, Handle, Answer, Image, Keep, Copy, Cancel, Learn, Takeover, Wait}, 7},
	} {
		c.world.Only = c.moves
		res := Search(c.world, None, c.depth, 5_000_000)
		t.Log(res, res.Met)
		if res.Broken != "" {
			t.Error(res)
		}
		for _, what := range []string{repeated, repeatedAtNext} {
			if res.Met[what] == 0 {
				t.Errorf("no report was %s", what)
			}
		}
	}
}

// cancelledAlone is the one task on one machine with a copy, once it runs; its user may
// cancel it.
func cancelledAlone() *Scenario {
	sc := Alone()
	sc.Name, sc.Copies, sc.Takeovers = "copy and cancellation", 1, 1
	sc.Begin = []Action{{Kind: Pass}, {Kind: Trip}, {Kind: Image}}
	return sc
}

// A copy comes to the next leader before any other report of its worker, of a session
// that has ended since, and with attempts that have: the search has gone through all
// of these.
func TestCopiesMeetTheNextLeader(t *testing.T) {
	sc := copiedWhileRunning()
	sc.Only = []Kind{Pass, Trip, Image, Keep, Copy, Takeover, Wait}
	res := Search(sc, None, 6, 5_000_000)
	t.Log(res, res.Met)
	for _, what := range []string{"first at the next leader", "of an earlier session", "of an earlier attempt"} {
		if res.Met[what] == 0 {
			t.Errorf("no copy was %s", what)
		}
	}
	if res.Broken != "" {
		t.Error(res)
	}
}
