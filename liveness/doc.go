// Package liveness contains two independent detectors with which a controller node
// interprets missing messages.
//
// StallDetector detects that this process itself was paused, for example because its
// virtual machine was suspended. Timeouts that expired during the pause prove nothing
// about other machines, whose messages may still be unread in socket buffers.
//
// FailureDetector tracks, at a follower, whether the leader answers probes. A leader
// that accepts connections but never answers must be detected, because every worker
// that is redirected to it loses one response timeout of its lease.
//
// Both only keep state under a lock. They start no goroutines, do no I/O and read no
// clock. Package controller owns one of each per node and calls them.
package liveness
