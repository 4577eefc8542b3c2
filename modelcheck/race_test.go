//go:build race

package modelcheck

// The depth is lower because a search takes ten times as long under the race detector.
const defaultDepth, raceDetector = 5, true
