//go:build race

package modelcheck

// Under the race detector a search takes ten times as long.
const defaultDepth, raceDetector = 5, true
