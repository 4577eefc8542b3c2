//go:build race

package routing_test

// The race detector's runtime doesn't bear the goroutines of a whole fleet.
const fleetMachines, fleetSockets = 72, 100
