package admission

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

// ErrQueueFull says that too many wait already, all of them more urgent.
var ErrQueueFull = errors.New("admission: too many wait")

// PriorityLimiter lets a bounded number of requests run at once; of those that wait,
// the most urgent runs next. When half a fleet comes back in one second, a worker whose
// lease is near its end must not stand behind those that have just been answered.
type PriorityLimiter struct {
	maxWaiting int

	mu        sync.Mutex // guards what follows
	available int
	queue     waitQueue
	lastSeq   uint64
	rejected  uint64
}

// waiter is a request that waits in the queue.
type waiter struct {
	priority float64
	seq      uint64 // among equals, the first comes first
	index    int    // in the queue; -1 once it has left it
	result   chan error
}

// NewPriorityLimiter makes a PriorityLimiter for maxConcurrent requests at once, and at
// most maxWaiting that wait.
func NewPriorityLimiter(maxConcurrent, maxWaiting int) *PriorityLimiter {
	return &PriorityLimiter{available: max(1, maxConcurrent), maxWaiting: max(0, maxWaiting)}
}

// Acquire waits until the request may run. The smaller the priority, the sooner: the
// seconds that a lease has left, say. Where too many wait, the least urgent is refused
// (ErrQueueFull), be it this one or another. After nil, Release must be called.
func (l *PriorityLimiter) Acquire(ctx context.Context, priority float64) error {
	w := l.enqueue(priority)
	if w == nil {
		return nil
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
	}
	if l.remove(w) {
		return ctx.Err()
	}
	// It was its turn at the same moment: the place goes to the next.
	if err := <-w.result; err == nil {
		l.Release()
	}
	return ctx.Err()
}

// enqueue takes a place, and returns nil, or the waiter if there is none.
func (l *PriorityLimiter) enqueue(priority float64) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.available > 0 {
		l.available--
		return nil
	}
	l.lastSeq++
	w := &waiter{priority: priority, seq: l.lastSeq, result: make(chan error, 1)}
	heap.Push(&l.queue, w)
	if len(l.queue) > l.maxWaiting {
		l.rejected++
		heap.Remove(&l.queue, l.queue.leastUrgent()).(*waiter).result <- ErrQueueFull
	}
	return w
}

// remove takes a waiter out of the queue; false if it has left it already.
func (l *PriorityLimiter) remove(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&l.queue, w.index)
	return true
}

// Release gives the place to the most urgent request that waits.
func (l *PriorityLimiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		l.available++
		return
	}
	heap.Pop(&l.queue).(*waiter).result <- nil
}

// Waiting is how many requests wait.
func (l *PriorityLimiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Rejected is how many requests were refused so far.
func (l *PriorityLimiter) Rejected() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejected
}

// waitQueue is a heap.Interface, the most urgent first.
type waitQueue []*waiter

func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.seq < other.seq
}

// leastUrgent finds the index of the least urgent waiter; it is among the leaves.
func (q waitQueue) leastUrgent() int {
	at := len(q) - 1
	for i := len(q) / 2; i < len(q); i++ {
		if q[at].before(q[i]) {
			at = i
		}
	}
	return at
}

func (q waitQueue) Len() int           { return len(q) }
func (q waitQueue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *waitQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
