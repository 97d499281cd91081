//go:build race

package simulation

// raceEnabled says that the race detector is on: a history costs some eight times as much.
const raceEnabled = true
