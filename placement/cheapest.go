package placement

import "container/heap"

// This file chooses the machines with the lowest scores.

// scoreFunc is a machine's score, if it can be used at all.
type scoreFunc func(machine int) (float64, bool)

// takeFunc uses a machine once more, and reports whether that was possible.
type takeFunc func(machine int) bool

// candidate is a machine and its score for the next use.
type candidate struct {
	score   float64
	machine int
	class   *class // the entry represents the rest of the machine's class as well; nil: the machine alone
}

// candidateHeap is a min-heap by score; of equal scores, the machine that is first in the input comes
// first.
type candidateHeap []candidate

func (q candidateHeap) Len() int { return len(q) }

func (q candidateHeap) Less(a, b int) bool {
	return q[a].score < q[b].score || q[a].score == q[b].score && q[a].machine < q[b].machine
}

func (q candidateHeap) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

func (q *candidateHeap) Push(x any) { *q = append(*q, x.(candidate)) }

func (q *candidateHeap) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// takeCheapest takes the machine with the lowest score up to n times, and returns how often it
// was taken. Taking a machine changes its own score and no other's, so each is scored once,
// and again only when it has been taken: with hundreds of machines, scoring all of them anew
// for each task took most of a leader's CPU time.
func (p *planner) takeCheapest(n int, score scoreFunc, take takeFunc) int {
	q := p.candidates[:0]
	for machine := range p.input.Machines {
		if value, ok := score(machine); ok {
			q = append(q, candidate{value, machine, nil})
		}
	}
	return p.takeQueued(q, n, score, take, nil)
}

// takeQueued takes the first entry's machine up to n times. If the entry represents a class,
// next returns the machine of the class that replaces the taken one in the entry, or -1; its
// score is the same. The taken machine gets an entry of its own.
func (p *planner) takeQueued(q candidateHeap, n int, score scoreFunc, take takeFunc, next func(k *class, machine int) int) int {
	p.candidates = q
	heap.Init(&q)
	taken := 0
	for taken < n && len(q) > 0 {
		first := q[0]
		value, ok := 0.0, take(first.machine)
		if ok {
			taken++
			value, ok = score(first.machine)
		}
		switch {
		case first.class != nil:
			if following := next(first.class, first.machine); following >= 0 {
				q[0].machine = following
				heap.Fix(&q, 0)
			} else {
				heap.Pop(&q)
			}
			if ok {
				heap.Push(&q, candidate{value, first.machine, nil})
			}
		case ok:
			q[0].score = value
			heap.Fix(&q, 0)
		default:
			heap.Pop(&q)
		}
	}
	return taken
}
