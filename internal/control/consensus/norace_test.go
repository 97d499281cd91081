//go:build !race

package consensus

// Default sizes of the tests with random runs and of the exhaustive search.
const (
	defaultSeeds   = 200    // seeds of TestRandomFaults
	defaultOutages = 6      // seeds per fault of TestPreferredProposerOutage
	defaultRepeats = 6      // seeds of TestSimulationIsDeterministic
	defaultStates  = 100000 // states per world of TestExhaustiveSearch
)

// raceDetector is true under the race detector, where checksums of megabytes take seconds.
const raceDetector = false
