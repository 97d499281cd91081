//go:build race

package consensus

// Under the race detector a few days do, as the package starts no goroutines: drawn days, and days that are played again.
const (
	fewDays     = 24
	fewSilences = 2
	fewAgain    = 2
)

const raced = true // by the detector of races, with which sums over megabytes take seconds
