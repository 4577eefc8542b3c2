//go:build !race

package modelcheck

const anyDepth, underRace = 6, false
