//go:build race

package routing_test

// The fleet scenarios run without the race detector (.ci/run). With more than about 256
// goroutines, the race detector's runtime has to share its slots among them, and sometimes crashes
// the process ("CHECK failed: tsan_rtl.cpp", or a fault in SlotLock). This happened in two of
// twelve runs with 72 machines, and in one CI run. The smaller scenarios of package controller
// run the same code, including the routing of heartbeats, under the race detector.
const fleetMachines, fleetSockets, underRace = 0, 0, true
