package modelcheck

import (
	"bytes"
	"os"
	"strconv"
	"testing"
)

// plants says with which guard taken away, and in which deeper but narrower
// search, a rule must break.
var plants = []struct {
	breach Breach
	sc     func() *Scenario
	only   []Kind
	depth  int
}{
	{UncommittedLaunch, OneTask, []Kind{Pass, Trip, Image, Finish, Takeover}, 8},
	{ForgetAtOnce, OneTask, nil, 5},
	{NoReadBarrier, OneTask, []Kind{Pass, Trip, Image, Cancel, Learn, Wait}, 8},
	{ShortLease, OneTask, []Kind{Pass, Trip, Image, Wait}, 9},
	{NoTakeoverWait, OneTask, []Kind{Pass, Trip, Image, Wait, Takeover}, 9},
	{LeaderGoesOn, oneTakeover, []Kind{Pass, Trip, Image, Wait, Takeover, Old}, 12},
	{DropsOnCancel, Quota, []Kind{Pass, Trip, Image, Cancel, Learn}, 9},
	{DirectLaunch, OneTask, []Kind{Pass, Trip, Image, Wait, Direct}, 9},
	{LateAnswers, Alone, []Kind{Pass, Trip, Send, Handle, LateAnswer, Image, Cancel, Wait}, 12},
	{StaleReports, OneTask, []Kind{Pass, Trip, Send, Late, Image, Wait}, 11},
	{CopiesCount, oneCopy, []Kind{Pass, Trip, Image, Keep, Copy}, 9},
	{UnheardAnswers, oneTakeover, []Kind{Pass, Trip, Image, Wait}, 12},
	{TokenNotShown, OneTask, []Kind{Pass, Trip, Send, Handle, GiveUp, Late, Answer, Image, Takeover}, 13},
}

// oneTakeover is the one task, which nobody cancels, with one change of leader.
func oneTakeover() *Scenario {
	sc := OneTask()
	sc.Cancels, sc.Takeovers = 0, 1
	return sc
}

// oneCopy is the one task with a late copy of a report.
func oneCopy() *Scenario {
	sc := oneTakeover()
	sc.Copies = 1
	return sc
}

// breadth is how deep everything that may happen is gone through.
func breadth() int {
	if n, err := strconv.Atoi(os.Getenv("MODEL_DEPTH")); err == nil {
		return n
	}
	return anyDepth
}

func TestNoRuleBreaksWhateverHappens(t *testing.T) {
	for _, sc := range Scenarios() {
		res := Search(sc, None, breadth(), 50_000_000)
		t.Logf("%s: %v", sc.Name, res)
		if res.Broken != "" || res.States < 500 {
			t.Errorf("%s: %v", sc.Name, res)
		}
	}
}

// Each guard is missed when it is taken away, and with it in its place the very
// same search finds nothing.
func TestEveryGuardIsMissedWhenItIsTakenAway(t *testing.T) {
	done := map[Breach]bool{None: true}
	for _, p := range plants {
		done[p.breach] = true
		if underRace && p.depth >= 10 {
			continue // .ci/run goes through these without the race detector
		}
		t.Run(p.breach.String(), func(t *testing.T) {
			sc := p.sc()
			sc.Only = p.only
			if p.only != nil && len(sc.Zones) > 1 {
				sc.Reliable = 1
			}
			res := Search(sc, p.breach, p.depth, 5_000_000)
			t.Log(res)
			if res.Broken == "" {
				t.Fatal("nothing found")
			}
			if whole := Search(sc, None, min(p.depth, len(res.Path)), 5_000_000); whole.Broken != "" {
				t.Errorf("with the guard in its place: %v", whole)
			} else {
				t.Logf("with the guard in its place: %v", whole)
			}
		})
	}
	for b := range Breaches {
		if !done[b] {
			t.Errorf("%v is never taken away", b)
		}
	}
}

// mustMiss wants a search to find a broken rule with a guard taken away, and nothing, as
// deep as that, with it in its place.
func mustMiss(t *testing.T, sc *Scenario, guard Breach, depth int) {
	t.Helper()
	without := Search(sc, guard, depth, 5_000_000)
	t.Log(without)
	if without.Broken == "" {
		t.Fatal("nothing found")
	}
	whole := Search(sc, None, len(without.Path), 5_000_000)
	t.Logf("with the guard in its place: %v", whole)
	if whole.Broken != "" || whole.States < 100 {
		t.Errorf("with the guard in its place: %v", whole)
	}
}

// States are merged by their digest: two worlds with the same one must have the
// same successors.
func TestWhatIsMergedGoesOnInTheSameWay(t *testing.T) {
	for _, sc := range Scenarios() {
		first := map[string][]Action{}
		merged := 0
		level := [][]Action{nil}
		for range 4 {
			var next [][]Action
			for _, path := range level {
				for _, a := range replay(sc, None, path).Actions() {
					p := append(append([]Action(nil), path...), a)
					d := digest(replay(sc, None, p))
					other, ok := first[d]
					if !ok {
						first[d] = p
						next = append(next, p)
						continue
					}
					if merged++; merged%5 == 0 {
						sameSuccessors(t, sc, other, p)
					}
				}
			}
			level = next
		}
		if merged < 100 {
			t.Errorf("%s: only %d merged", sc.Name, merged)
		}
	}
}

func digest(w *World) string {
	var b bytes.Buffer
	w.Digest(&b)
	return b.String()
}

func sameSuccessors(t *testing.T, sc *Scenario, a, b []Action) {
	t.Helper()
	for _, next := range replay(sc, None, a).Actions() {
		x, y := replay(sc, None, append(append([]Action(nil), a...), next)), replay(sc, None, append(append([]Action(nil), b...), next))
		if digest(x) != digest(y) {
			t.Errorf("%s: after %v and after %v, %v leads to\n%s\nand to\n%s", sc.Name, a, b, next, digest(x), digest(y))
			return
		}
	}
}
