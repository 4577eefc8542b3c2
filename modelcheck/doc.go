// Package modelcheck is an explicit-state model checker for the leader's decisions. It explores a
// small system breadth first, in every interleaving of actions by the leader, workers, users, the
// key-value store and the network. The network may delay, lose and duplicate messages. Invariants
// are checked on every transition.
//
// The leader is the real cluster.Model. Workers, the store and the network are simulated according
// to the protocol specification (PROTOCOL, sections "Workers -> controller nodes", "Controller
// nodes -> workers" and "Delayed messages") and share no code with the service.
//
// A Scenario is an initial state with bounds on what may happen. An Action is one transition of a
// System. Search explores the states that actions reach. A Mutation removes one of the guards that
// the invariants depend on. A search under a mutation must find a counterexample, which shows that
// the search reaches the states in which the guard matters.
//
// Only tests use this package. docs/model-check.md lists what is covered and what is not.
package modelcheck
