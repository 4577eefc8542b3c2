// Package admission bounds what a node takes on at once, and chooses whom it serves
// first when there is more than that.
//
// ConnLimiter bounds the open connections of a listener. PriorityLimiter bounds
// concurrent requests and lets the most urgent wait; TierLimiter bounds them by
// priority tier and lets nobody wait. PollSchedule orders users' polls so that each job
// has its turn, and ReplyTimes remembers when workers were last answered, which says
// how urgent their heartbeats are. The controllers own one of each kind for each sort
// of request.
//
// All of it is in memory and belongs to one process; nothing here starts a goroutine or
// does I/O but for accepting and closing connections. Queues are bounded: what does not
// fit is refused at once, and counted.
package admission
