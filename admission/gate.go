// Package admission bounds what a node takes on at once: how many reports are
// worked on and in which order, and how many connections are open.
package admission

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

// ErrFull says that too many wait already, all of them more urgent.
var ErrFull = errors.New("admission: too many wait")

// Gate lets a bounded number through at once, the most urgent first. When half a
// fleet comes back in one second, whose lease is nearest its end must not stand
// behind those who have just been answered.
type Gate struct {
	mu    sync.Mutex
	free  int
	most  int // waiting
	queue waiters
	n     uint64
	shed  uint64
}

type waiter struct {
	key   float64
	n     uint64 // among equals, the first comes first
	index int
	turn  chan error
}

// NewGate makes a gate for so many at once and at most so many waiting.
func NewGate(atOnce, waiting int) *Gate { return &Gate{free: max(1, atOnce), most: max(0, waiting)} }

// Enter waits for a place. The smaller the key, the sooner: the seconds that a
// lease has left. Where too many wait, the least urgent is turned away
// (ErrFull), be it this one or another. After nil, Leave must be called.
func (g *Gate) Enter(ctx context.Context, key float64) error {
	g.mu.Lock()
	if g.free > 0 {
		g.free--
		g.mu.Unlock()
		return nil
	}
	g.n++
	w := &waiter{key: key, n: g.n, turn: make(chan error, 1)}
	heap.Push(&g.queue, w)
	if len(g.queue) > g.most {
		g.shed++
		heap.Remove(&g.queue, g.queue.last()).(*waiter).turn <- ErrFull
	}
	g.mu.Unlock()
	select {
	case err := <-w.turn:
		return err
	case <-ctx.Done():
	}
	g.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&g.queue, w.index)
		g.mu.Unlock()
		return ctx.Err()
	}
	g.mu.Unlock()
	// Its turn came at the same moment: the place goes to the next.
	if err := <-w.turn; err == nil {
		g.Leave()
	}
	return ctx.Err()
}

// Leave gives the place to the most urgent that waits.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.queue) == 0 {
		g.free++
		return
	}
	heap.Pop(&g.queue).(*waiter).turn <- nil
}

// Waiting is how many wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue)
}

// Shed is how many were turned away so far.
func (g *Gate) Shed() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shed
}

type waiters []*waiter

func (q waiters) less(a, b *waiter) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.n < b.n
}

// last finds the least urgent; it is among the leaves.
func (q waiters) last() int {
	at := len(q) - 1
	for i := len(q) / 2; i < len(q); i++ {
		if q.less(q[at], q[i]) {
			at = i
		}
	}
	return at
}

func (q waiters) Len() int           { return len(q) }
func (q waiters) Less(i, k int) bool { return q.less(q[i], q[k]) }
func (q waiters) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].index, q[k].index = i, k
}
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
