//go:build race

package simulation

// raceEnabled reports whether the race detector is on, which makes a history about eight times slower.
const raceEnabled = true
