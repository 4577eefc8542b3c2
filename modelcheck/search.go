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
	States      int // different ones, by digest
	Transitions int
	Depth       int  // actions from the beginning
	All         bool // no state was left to go on from
	Broken      string
	Path        []Action
	Met         map[string]int // transitions in which so much met (World.Met)
}

func (r Result) String() string {
	s := fmt.Sprintf("%d states, %d transitions, depth %d", r.States, r.Transitions, r.Depth)
	if r.Broken == "" {
		return s
	}
	steps := make([]string, len(r.Path))
	for i, a := range r.Path {
		steps[i] = a.String()
	}
	return s + ", " + r.Broken + " by: " + strings.Join(steps, "; ")
}

func replay(sc *Scenario, b Breach, path []Action) *World {
	w := NewWorld(sc, b)
	for _, a := range path {
		w.Do(a)
	}
	return w
}

func (w *World) hash() xxh3.Uint128 {
	h := xxh3.New()
	w.Digest(h)
	return h.Sum128()
}

type found struct {
	path   []Action
	hash   xxh3.Uint128
	broken string
	met    []string
}

// Search goes through all that may happen within so many actions, breadth
// first, and ends with the first rule broken or once it knows so many states.
// A state is the actions that lead to it: the leader's model is not copied, but
// made again.
func Search(sc *Scenario, b Breach, depth, states int) Result {
	first := NewWorld(sc, b)
	known := map[xxh3.Uint128]struct{}{first.hash(): {}}
	level := [][]Action{nil}
	res := Result{States: 1, Met: map[string]int{}}
	for res.Depth < depth && len(level) > 0 && res.States < states {
		res.Depth++
		next := expand(sc, b, level)
		level = level[:0:0]
		for _, f := range next {
			res.Transitions++
			for _, what := range f.met {
				res.Met[what]++
			}
			if f.broken != "" {
				res.Broken, res.Path = f.broken, f.path
				return res
			}
			if _, ok := known[f.hash]; !ok {
				known[f.hash] = struct{}{}
				level = append(level, f.path)
			}
		}
		res.States = len(known)
	}
	res.All = len(level) == 0
	return res
}

// expand makes every successor of a level's states, in their order.
func expand(sc *Scenario, b Breach, level [][]Action) []found {
	parts := make([][]found, len(level))
	var wg sync.WaitGroup
	n := runtime.GOMAXPROCS(0)
	for k := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := k; i < len(level); i += n {
				for _, a := range replay(sc, b, level[i]).Actions() {
					path := append(slices.Clip(slices.Clone(level[i])), a)
					w := replay(sc, b, path)
					parts[i] = append(parts[i], found{path, w.hash(), w.Broken, w.Met})
				}
			}
		}()
	}
	wg.Wait()
	return slices.Concat(parts...)
}
