// Package admission limits the load that a node accepts, and decides which requests are
// served first under overload.
//
// ConnLimiter bounds the open connections of a listener. PriorityLimiter bounds concurrent
// requests and queues the most urgent of the others. TierLimiter bounds concurrent
// requests by priority tier and has no queue. PollSchedule ranks users' polls so that each
// job is preferred once per period. ReplyTimes records when workers were last answered,
// which determines how urgent their heartbeats are. Package controller creates the
// limiters, one for each kind of request.
//
// All state is in memory and local to the process. The package starts no goroutines, and
// its only I/O is accepting and closing connections. Queues are bounded, and requests that
// do not fit are refused at once. ConnLimiter and PriorityLimiter count the refusals.
package admission
