//go:build race

package controller_test

// grownMachines and grownJobs are the numbers of machines and jobs of the large cluster. They are
// smaller under the race detector, whose runtime can't cope with the thousands of goroutines of the
// full size and aborted in one run of three. .ci/run runs the full size without the race detector.
const grownMachines, grownJobs = 40, 8
