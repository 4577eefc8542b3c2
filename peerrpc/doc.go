// Package peerrpc implements the RPCs between controller nodes, over net/rpc.
//
// Each node runs one server (Serve), which passes requests to its Handler, and has a
// Peer and a HeartbeatStream for every other node. A Peer sends single requests: users'
// requests for another node to serve, and queries for a node's status, its view of the
// cluster or its copy of an unreadable record. A HeartbeatStream forwards workers'
// heartbeats, many concurrently, over a connection of its own, so that heartbeats and
// single requests do not delay each other.
//
// The package owns only connections. A node that accepts connections but does not respond
// delays a caller by at most the call's timeout (plus dialTimeout for a heartbeat). The
// package bounds the users' requests and heartbeats in flight at a server, the heartbeats
// in flight in a stream, and the unsent data. It never retries a request and does not
// interpret bodies.
//
// During a rolling restart, nodes of two versions call each other. The names of the
// service, of its methods and of the fields of RequestMessage, StatusMessage, Answer and
// routing.Plan are therefore part of the protocol and must not change (messages.go).
package peerrpc
