//go:build !race

package consensus

// What every run plays and searches: drawn days, days that are played again, and states of each small world.
const (
	fewDays     = 200
	fewSilences = 6
	fewAgain    = 6
	fewStates   = 100000
)

const raced = false // by the detector of races, with which sums over megabytes take seconds
