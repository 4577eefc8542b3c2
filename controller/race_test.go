//go:build race

package controller_test

// grownMachines and grownJobs are the size of the large cluster. It is smaller here, since the race
// detector's runtime can't cope with the thousands of goroutines of the full size. It aborted in
// one run of three. .ci/run runs the full size without the race detector.
const grownMachines, grownJobs = 40, 8
