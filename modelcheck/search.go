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
	States         int  // different ones, by digest
	Transitions    int  // explored
	Depth          int  // actions from the initial state
	Exhausted      bool // every reachable state has been explored
	Violation      string
	Counterexample []Action      // a shortest sequence of actions that leads to the violation
	Events         map[Event]int // transitions that reached each situation
}

func (r Result) String() string {
	size := fmt.Sprintf("%d states, %d transitions, depth %d", r.States, r.Transitions, r.Depth)
	if r.Violation == "" {
		return size
	}
	steps := make([]string, len(r.Counterexample))
	for i, a := range r.Counterexample {
		steps[i] = a.String()
	}
	return size + ", " + r.Violation + " by: " + strings.Join(steps, "; ")
}

// digestHash is the hash of a state's digest.
type digestHash = xxh3.Uint128

// Search explores a scenario breadth first, down to a depth, and ends with the first violation
// or once it knows that many states.
//
// A state is kept as the actions that lead to it, and made anew by a replay of these: the
// leader's model can't be copied.
func Search(scenario *Scenario, mutation Mutation, maxDepth, maxStates int) Result {
	known := map[digestHash]struct{}{NewSystem(scenario, mutation).hash(): {}}
	frontier := [][]Action{nil}
	result := Result{States: 1, Events: map[Event]int{}}
	for result.Depth < maxDepth && len(frontier) > 0 && result.States < maxStates {
		result.Depth++
		reached := successors(scenario, mutation, frontier)
		frontier = nil
		for _, next := range reached {
			result.Transitions++
			for _, event := range next.events {
				result.Events[event]++
			}
			if next.violation != "" {
				result.Violation, result.Counterexample = next.violation, next.path
				return result
			}
			if _, ok := known[next.hash]; !ok {
				known[next.hash] = struct{}{}
				frontier = append(frontier, next.path)
			}
		}
		result.States = len(known)
	}
	result.Exhausted = len(frontier) == 0
	return result
}

// successor is the state after a transition.
type successor struct {
	path      []Action
	hash      digestHash
	violation string
	events    []Event
}

// successors makes the successors of all states of the frontier, in their order.
func successors(scenario *Scenario, mutation Mutation, frontier [][]Action) []successor {
	reached := make([][]successor, len(frontier))
	goroutines := runtime.GOMAXPROCS(0)
	var group sync.WaitGroup
	for first := range goroutines {
		group.Go(func() {
			for i := first; i < len(frontier); i += goroutines {
				reached[i] = successorsOf(scenario, mutation, frontier[i])
			}
		})
	}
	group.Wait()
	return slices.Concat(reached...)
}

// successorsOf makes the successors of the state that a path leads to.
func successorsOf(scenario *Scenario, mutation Mutation, path []Action) (reached []successor) {
	for _, action := range replay(scenario, mutation, path).EnabledActions() {
		longer := append(slices.Clip(slices.Clone(path)), action)
		s := replay(scenario, mutation, longer)
		reached = append(reached, successor{longer, s.hash(), s.Violation, s.Events})
	}
	return reached
}

// replay makes the state that a path leads to.
func replay(scenario *Scenario, mutation Mutation, path []Action) *System {
	s := NewSystem(scenario, mutation)
	for _, action := range path {
		s.Apply(action)
	}
	return s
}

func (s *System) hash() digestHash {
	h := xxh3.New()
	s.Digest(h)
	return h.Sum128()
}
