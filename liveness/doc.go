// Package liveness tells a process that is slow or paused from one that is gone,
// so that a controller does not act on silence that proves nothing.
//
// It holds two independent detectors. StallDetector notices that this process
// itself was paused (a suspended virtual machine, a stopped process): timeouts
// that expired meanwhile say nothing about others, whose messages still wait in
// the sockets. FailureDetector is what a follower knows about the leader: a leader
// that accepts connections and never answers costs every worker that is sent to
// it one response timeout of its lease.
//
// Both are plain state behind a lock: they start no goroutine, do no I/O and read
// no clock. Package controller owns one of each per node and feeds them.
package liveness
