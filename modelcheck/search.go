// Breadth-first search of a scenario for states that violate an invariant.

package modelcheck

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/zeebo/xxh3"
)

// Result is the result of a search.
type Result struct {
	States         int           // number of states with different digests
	Transitions    int           // number of explored transitions
	Depth          int           // maximum number of actions from the initial state
	Exhausted      bool          // every reachable state has been explored
	Violation      string        // the violated invariant with a description; "" if none
	Counterexample []Action      // a shortest sequence of actions to the violation; nil if none
	Events         map[Event]int // number of transitions that reached each situation
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

// Search explores a scenario breadth first. It ends at maxDepth, at the first violation, or after
// the depth at which it has found maxStates states.
//
// The leader's model can't be copied. So a state is kept as the path of actions that leads to it,
// and is rebuilt by replaying the path.
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

// successors returns the successors of all states of the frontier in a deterministic order. It
// uses all processors.
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

// successorsOf returns the successors of the state that a path leads to.
func successorsOf(scenario *Scenario, mutation Mutation, path []Action) (reached []successor) {
	for _, action := range replay(scenario, mutation, path).EnabledActions() {
		longer := append(slices.Clip(slices.Clone(path)), action)
		s := replay(scenario, mutation, longer)
		reached = append(reached, successor{longer, s.hash(), s.Violation, s.Events})
	}
	return reached
}

// replay returns the state that a path leads to.
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
