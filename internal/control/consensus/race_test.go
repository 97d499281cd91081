//go:build race

package consensus

// What each run plays: under the race detector little is enough, as the package starts no goroutines.
const (
	defaultSeeds   = 24 // of TestRandomFaults
	defaultOutages = 2  // of TestPreferredProposerOutage
	defaultRepeats = 2  // of TestSameAgain
)

// raceDetector reports whether the tests run under the race detector, where checksums over megabytes take seconds.
const raceDetector = true
