//go:build !race

package controller_test

const grownMachines, grownJobs = 300, 60
