//go:build !race

package routing_test

const fleetMachines, fleetSockets = 700, 1100
