//go:build race

package routing_test

// With more than some 256 goroutines the race detector's runtime hands its
// slots from one to another, and ends the process by itself at times ("CHECK
// failed: tsan_rtl.cpp", or a fault in SlotLock): in two runs of twelve with 72
// machines, and in a run of the project's CI. So the fleet's stories are played
// without it (.ci/run), and what runs in them is under it in the controller's
// smaller worlds, which route heartbeats as well.
const fleetMachines, fleetSockets, underRace = 0, 0, true
