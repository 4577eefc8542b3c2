//go:build race

package controller_test

// The race detector's runtime can't cope with the thousands of goroutines of the large cluster: it
// aborted in one run of three. Under it the scenario runs on a smaller cluster; .ci/run runs the
// large one without it.
const grownMachines, grownJobs = 40, 8
