package modelcheck

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/zeebo/xxh3"
)

// Result is what a search found.
type Result struct {
	States         int // different ones, by digest
	Transitions    int
	Depth          int  // actions from the beginning
	Exhausted      bool // no state was left to go on from
	Violation      string
	Counterexample []Action
	Events         map[string]int // transitions in which so much met (World.Met)
}

func (r Result) String() string {
	s := fmt.Sprintf("%d states, %d transitions, depth %d", r.States, r.Transitions, r.Depth)
	if r.Violation == "" {
		return s
	}
	steps := make([]string, len(r.Counterexample))
	for i, a := range r.Counterexample {
		steps[i] = a.String()
	}
	return s + ", " + r.Violation + " by: " + strings.Join(steps, "; ")
}

func replay(sc *Scenario, b Mutation, path []Action) *System {
	s := NewSystem(sc, b)
	for _, a := range path {
		s.Apply(a)
	}
	return s
}

func (s *System) hash() xxh3.Uint128 {
	h := xxh3.New()
	s.Digest(h)
	return h.Sum128()
}

type successor struct {
	path      []Action
	hash      xxh3.Uint128
	violation string
	events    []string
}

// Search goes through all that may happen within so many actions, breadth
// first, and ends with the first rule broken or once it knows so many states.
// A state is the actions that lead to it: the leader's model is not copied, but
// made again.
func Search(sc *Scenario, b Mutation, depth, states int) Result {
	first := NewSystem(sc, b)
	known := map[xxh3.Uint128]struct{}{first.hash(): {}}
	level := [][]Action{nil}
	res := Result{States: 1, Events: map[string]int{}}
	for res.Depth < depth && len(level) > 0 && res.States < states {
		res.Depth++
		next := successors(sc, b, level)
		level = level[:0:0]
		for _, f := range next {
			res.Transitions++
			for _, what := range f.events {
				res.Events[what]++
			}
			if f.violation != "" {
				res.Violation, res.Counterexample = f.violation, f.path
				return res
			}
			if _, ok := known[f.hash]; !ok {
				known[f.hash] = struct{}{}
				level = append(level, f.path)
			}
		}
		res.States = len(known)
	}
	res.Exhausted = len(level) == 0
	return res
}

// successors makes every successor of a level's states, in their order.
func successors(sc *Scenario, b Mutation, level [][]Action) []successor {
	parts := make([][]successor, len(level))
	var wg sync.WaitGroup
	n := runtime.GOMAXPROCS(0)
	for k := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := k; i < len(level); i += n {
				for _, a := range replay(sc, b, level[i]).EnabledActions() {
					path := append(slices.Clip(slices.Clone(level[i])), a)
					s := replay(sc, b, path)
					parts[i] = append(parts[i], successor{path, s.hash(), s.Violation, s.Events})
				}
			}
		}()
	}
	wg.Wait()
	return slices.Concat(parts...)
}
