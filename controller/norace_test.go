//go:build !race

package controller_test

const grownMachines, grownJobs = 300, 60
const fleetMachines, fleetSockets = 700, 1100
