package modelcheck

import "testing"

// A forget that is sent directly may arrive when a gang's task has been launched again
// with the same attempt and has completed: nothing has recorded that outcome.
func TestForgetsAreSentInAnswersOnly(t *testing.T) {
	sc := FailedGang()
	sc.Cancels, sc.Takeovers = 0, 0
	// A start was refused, and that is recorded and forgotten.
	sc.Begin = []Action{{Kind: Pass}, {Kind: Trip}, {Kind: Fail}, {Kind: Trip}, {Kind: Pass}, {Kind: Trip}}
	sc.Only = []Kind{Pass, Trip, Image, Finish, Direct, Wait}
	mustMiss(t, sc, DirectForget, 11)
}

// Direct batches arrive late: after the next leader has begun, where the worker has seen
// its token and where it has not, and after the session has ended for which they were
// sent. The search goes through each of these, and no rule breaks.
func TestLateDirectCommandsMeetWhatCameBetween(t *testing.T) {
	for _, c := range []struct {
		world *Scenario
		moves []Kind
		depth int
		meets []string
	}{
		{runningAlone(), []Kind{Pass, Trip, Direct, Cancel, Learn, Takeover, Wait}, 7, []string{formerLeader, refusedToken, refusedSession}},
		{runningAlone(), []Kind{Pass, Trip, Image, Direct, Cancel, Learn, Takeover, Wait}, 9, []string{formerLeader, refusedToken, refusedSession}},
		{failedGangReplaced(), []Kind{Pass, Trip, Image, Fail, Direct, Cancel, Learn, Takeover, Wait}, 8, []string{formerLeader, refusedToken, refusedSession}},
		{runningQuota(), []Kind{Pass, Trip, Image, Direct, Cancel, Learn, Takeover, Wait}, 8, []string{formerLeader, refusedToken, refusedSession}},
	} {
		if underRace && c.depth > 7 {
			continue // .ci/run goes through these without the race detector
		}
		c.world.Only = c.moves
		res := Search(c.world, None, c.depth, 5_000_000)
		t.Log(c.world.Name, res, res.Met)
		if res.Broken != "" {
			t.Error(res)
		}
		for _, what := range c.meets {
			if res.Met[what] == 0 {
				t.Errorf("%s: no direct batch was %s", c.world.Name, what)
			}
		}
	}
}

// runningAlone is the one task on one machine, once it runs.
func runningAlone() *Scenario {
	sc := Alone()
	sc.Begin = []Action{{Kind: Pass}, {Kind: Trip}, {Kind: Image}}
	return sc
}

// failedGangReplaced is the gang once a start was refused, and that is recorded.
func failedGangReplaced() *Scenario {
	sc := FailedGang()
	sc.Begin = []Action{{Kind: Pass}, {Kind: Trip}, {Kind: Fail}, {Kind: Trip}, {Kind: Pass}}
	return sc
}

// runningQuota is the team that may run one of its two jobs, once the first one runs.
func runningQuota() *Scenario {
	sc := Quota()
	sc.Begin = []Action{{Kind: Pass}, {Kind: Trip}, {Kind: Image}}
	sc.Reliable = 1
	return sc
}
