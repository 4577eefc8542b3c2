// Package peerrpc carries requests between the controller nodes, over net/rpc.
//
// Each node runs one server (Serve), which hands requests to its Handler, and has a
// Peer and a HeartbeatStream for every other node. A Peer takes single requests:
// users' requests that this node can't serve, questions for a node's status and for
// copies of unreadable records. A HeartbeatStream takes the heartbeats of workers,
// many at once, over a connection of its own, so that neither waits for the other.
//
// The package owns connections and nothing else. It guarantees that a node which
// takes connections and answers nothing holds up no caller for longer than its
// timeout, and that what is queued for it, and in flight on either side, is bounded.
// It never repeats a request and does not look into bodies.
//
// Nodes of two versions talk during a rolling restart. The names of the service, its
// methods and the fields of RequestMessage, StatusMessage, Answer and routing.Plan are
// the protocol, and are kept (messages.go).
package peerrpc
