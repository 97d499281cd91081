//go:build race

package consensus

// Default sizes of the tests with random runs. Under the race detector few seeds suffice, as the package starts no goroutines.
const (
	defaultSeeds   = 24 // seeds of TestRandomFaults
	defaultOutages = 2  // seeds per fault of TestPreferredProposerOutage
	defaultRepeats = 2  // seeds of TestSimulationIsDeterministic
)

// raceDetector is true under the race detector, where checksums of megabytes take seconds.
const raceDetector = true
