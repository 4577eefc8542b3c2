// Package admission limits the load that a node accepts, and decides which requests are
// served first under overload.
//
// ConnLimiter bounds the open connections of a listener. PriorityLimiter bounds
// concurrent requests and queues the most urgent of the others; TierLimiter bounds them
// by priority tier, without a queue. PollSchedule ranks users' polls so that each job
// has a regular turn. ReplyTimes records when workers were last answered, from which
// follows how urgent their heartbeats are. Package controller creates the limiters, one
// for each kind of request.
//
// All state is in memory and local to the process. Nothing here starts a goroutine or
// does I/O but for accepting and closing connections. Queues are bounded: what does not
// fit is refused at once. ConnLimiter and PriorityLimiter count what they refuse.
package admission
