// Package admission bounds what a node takes on at once: how many reports are
// worked on and in which order, and how many connections are open.
package admission

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

// ErrQueueFull says that too many wait already, all of them more urgent.
var ErrQueueFull = errors.New("admission: too many wait")

// PriorityLimiter lets a bounded number through at once, the most urgent first. When half a
// fleet comes back in one second, whose lease is nearest its end must not stand
// behind those who have just been answered.
type PriorityLimiter struct {
	mu         sync.Mutex
	available  int
	maxWaiting int // waiting
	queue      waitQueue
	lastSeq    uint64
	rejected   uint64
}

type waiter struct {
	priority float64
	seq      uint64 // among equals, the first comes first
	index    int
	result   chan error
}

// NewPriorityLimiter makes a gate for so many at once and at most so many waiting.
func NewPriorityLimiter(atOnce, waiting int) *PriorityLimiter {
	return &PriorityLimiter{available: max(1, atOnce), maxWaiting: max(0, waiting)}
}

// Acquire waits for a place. The smaller the key, the sooner: the seconds that a
// id has left. Where too many wait, the least urgent is turned away
// (ErrFull), be it this one or another. After nil, Leave must be called.
func (g *PriorityLimiter) Acquire(ctx context.Context, key float64) error {
	g.mu.Lock()
	if g.available > 0 {
		g.available--
		g.mu.Unlock()
		return nil
	}
	g.lastSeq++
	w := &waiter{priority: key, seq: g.lastSeq, result: make(chan error, 1)}
	heap.Push(&g.queue, w)
	if len(g.queue) > g.maxWaiting {
		g.rejected++
		heap.Remove(&g.queue, g.queue.last()).(*waiter).result <- ErrQueueFull
	}
	g.mu.Unlock()
	select {
	case err := <-w.result:
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
	if err := <-w.result; err == nil {
		g.Release()
	}
	return ctx.Err()
}

// Release gives the place to the most urgent that waits.
func (g *PriorityLimiter) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.queue) == 0 {
		g.available++
		return
	}
	heap.Pop(&g.queue).(*waiter).result <- nil
}

// Waiting is how many wait.
func (g *PriorityLimiter) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue)
}

// Rejected is how many were turned away so far.
func (g *PriorityLimiter) Rejected() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rejected
}

type waitQueue []*waiter

func (q waitQueue) less(a, b *waiter) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.seq < b.seq
}

// last finds the least urgent; it is among the leaves.
func (q waitQueue) last() int {
	at := len(q) - 1
	for i := len(q) / 2; i < len(q); i++ {
		if q.less(q[at], q[i]) {
			at = i
		}
	}
	return at
}

func (q waitQueue) Len() int           { return len(q) }
func (q waitQueue) Less(i, k int) bool { return q.less(q[i], q[k]) }
func (q waitQueue) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].index, q[k].index = i, k
}
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
