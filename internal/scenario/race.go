//go:build race

package tell

// UnderRace says whether the race detector looks on.
const UnderRace = true
