// Package modelcheck is an explicit-state model checker for the leader's decisions. It
// explores, breadth first and for a small system, every interleaving of what the leader,
// workers, users, the key-value store and a network that delays, loses and duplicates
// messages may do, and checks invariants on every transition.
//
// The leader is the real cluster.Model. Workers, the store and the network are written here
// from PROTOCOL ("Workers -> controller nodes", "Controller nodes -> workers", "Delayed
// messages") and share no code with the service.
//
// A Scenario is the initial state with bounds on what may happen; an Action is one
// transition of a System; Search explores them. A Mutation removes one of the guards that
// the invariants rest on: the search must then find a counterexample, which shows that it
// reaches the states in which the guard matters.
//
// Only tests use this package. docs/model-check.md has what is covered and what is not.
package modelcheck
