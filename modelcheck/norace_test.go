//go:build !race

package modelcheck

const defaultDepth, raceDetector = 6, false
