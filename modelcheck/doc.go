// Package modelcheck explores, exhaustively and at small numbers, what the
// leader's decisions, the workers' rules and a network that delays and loses can
// bring about together. The leader is the real cluster.Model; workers, the state
// service and the network are written here from PROTOCOL ("Workers -> controller
// nodes", "Controller nodes -> workers", "Delayed messages"). Every rule is an
// invariant, and a Breach takes one of the guards away, which must be found out.
// docs/model-check.md has what is covered and what is not.
package modelcheck
