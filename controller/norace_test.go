//go:build !race

package controller_test

// grownMachines and grownJobs are the numbers of machines and jobs of the large cluster.
const grownMachines, grownJobs = 300, 60
