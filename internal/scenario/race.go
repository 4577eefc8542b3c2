//go:build race

package scenario

// UnderRace reports whether the tests are built with the race detector.
const UnderRace = true
