// Selection of the machines with the lowest scores.

package placement

import "container/heap"

// scoreFunc returns a machine's score, and false if the machine can't be used.
type scoreFunc func(machine int) (float64, bool)

// takeFunc places one more task on a machine, and reports whether that was possible.
type takeFunc func(machine int) bool

// candidate is a machine with the score for placing the next task on it.
type candidate struct {
	score   float64
	machine int
	class   *class // set if the candidate also represents the other machines of this class
}

// candidateHeap is a min-heap by score. Among equal scores, the machine with the lowest index
// comes first.
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

// takeCheapest takes the machine with the lowest score up to n times, and returns how many times
// a machine was taken. Taking a machine changes only its own score. Each machine is therefore
// scored once, and again only after it has been taken. With hundreds of machines, scoring all of
// them for each task used most of a leader's CPU time.
func (p *planner) takeCheapest(n int, score scoreFunc, take takeFunc) int {
	q := p.candidates[:0]
	for machine := range p.input.Machines {
		if value, ok := score(machine); ok {
			q = append(q, candidate{value, machine, nil})
		}
	}
	return p.takeQueued(q, n, score, take, nil)
}

// takeQueued takes the machine of the first candidate up to n times, and returns how many times a
// machine was taken. If a candidate represents a class, next returns the machine of the class that
// replaces the taken one in the candidate, or -1 if there is none. The replacement has the same
// score. The taken machine becomes a candidate of its own.
func (p *planner) takeQueued(q candidateHeap, n int, score scoreFunc, take takeFunc, next func(c *class, machine int) int) int {
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
