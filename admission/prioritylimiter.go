package admission

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

// ErrQueueFull means that the queue was full and the request was the least urgent one. A
// request gets it on arrival, or later when a more urgent request takes its place.
var ErrQueueFull = errors.New("admission: queue full")

// PriorityLimiter bounds how many requests run concurrently, and keeps waiting requests in
// a bounded priority queue. After an outage many workers send heartbeats at the same time.
// A worker whose lease is about to expire must not queue behind workers that were answered
// just before. It is safe for concurrent use.
type PriorityLimiter struct {
	maxWaiting int

	mu        sync.Mutex // guards the fields below
	available int
	queue     waitQueue
	lastSeq   uint64
	rejected  uint64
}

// waiter is a queued request.
type waiter struct {
	priority float64
	seq      uint64 // order of arrival, which decides between equal priorities
	index    int    // in the queue; -1 once removed
	result   chan error
}

// NewPriorityLimiter returns a PriorityLimiter for maxConcurrent concurrent requests, but
// at least one, and a queue of at most maxWaiting requests.
func NewPriorityLimiter(maxConcurrent, maxWaiting int) *PriorityLimiter {
	return &PriorityLimiter{available: max(1, maxConcurrent), maxWaiting: max(0, maxWaiting)}
}

// Acquire waits until the request may run. It returns ctx.Err() if ctx ends before that.
// Requests with a smaller priority run first; the priority may be, for example, the
// remaining time of a lease. If the queue is full, the least urgent request, which may be
// this one, is refused with ErrQueueFull. After a nil error the caller must call Release.
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
	// The request left the queue just as ctx ended. If it got a slot, pass the slot on.
	if err := <-w.result; err == nil {
		l.Release()
	}
	return ctx.Err()
}

// enqueue takes a free slot and returns nil. If there is no free slot, it queues a waiter
// and returns it. If the queue is then too long, it refuses the least urgent waiter.
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

// remove removes a waiter from the queue. It returns false if the waiter was no longer
// there.
func (l *PriorityLimiter) remove(w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.index < 0 {
		return false
	}
	heap.Remove(&l.queue, w.index)
	return true
}

// Release passes the caller's slot to the most urgent waiting request, or frees it.
func (l *PriorityLimiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		l.available++
		return
	}
	heap.Pop(&l.queue).(*waiter).result <- nil
}

// Waiting returns the number of queued requests.
func (l *PriorityLimiter) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue)
}

// Rejected returns the number of requests that were refused with ErrQueueFull so far.
func (l *PriorityLimiter) Rejected() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejected
}

// waitQueue implements heap.Interface with the most urgent waiter at the top.
type waitQueue []*waiter

func (w *waiter) before(other *waiter) bool {
	if w.priority != other.priority {
		return w.priority < other.priority
	}
	return w.seq < other.seq
}

// leastUrgent returns the index of the least urgent waiter. It searches only the leaves,
// which are the second half of the heap's slice, because a parent is never less urgent
// than its children.
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
