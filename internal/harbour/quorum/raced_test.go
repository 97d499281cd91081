//go:build race

package quorum

// What every run plays and searches: drawn days, days that are played again, and states of each small world.
const (
	fewDays   = 24
	fewAgain  = 2
	fewStates = 10000
)
