//go:build race

package scenario

// UnderRace says whether the race detector looks on.
const UnderRace = true
