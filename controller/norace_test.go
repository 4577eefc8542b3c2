//go:build !race

package controller_test

// grownMachines and grownJobs are the size of the large cluster.
const grownMachines, grownJobs = 300, 60
