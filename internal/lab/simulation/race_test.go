//go:build race

package simulation

// raced says that the race detector is on: a history costs some eight times as much.
const raced = true
