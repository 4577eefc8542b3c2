//go:build !race

package routing_test

const fleetMachines, fleetSockets, underRace = 700, 1100, false
