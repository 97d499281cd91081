//go:build !race

package consensus

// What each run plays and searches.
const (
	defaultSeeds   = 200    // of TestRandomFaults
	defaultOutages = 6      // of TestPreferredProposerOutage
	defaultRepeats = 6      // of TestSameAgain
	defaultStates  = 100000 // of each world of TestExhaustiveSearch
)

// raceDetector reports whether the tests run under the race detector, where checksums over megabytes take seconds.
const raceDetector = false
