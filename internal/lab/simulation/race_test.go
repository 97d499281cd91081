//go:build race

package basin

// raced says that the race detector is on: a history costs some eight times as much.
const raced = true
