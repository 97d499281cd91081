package attempt

// Execution is what is known of whether a host has run a request. A greater one outweighs a lesser one.
type Execution uint8

// What is known of a request's execution.
const (
	NotRun     Execution = iota // surely not, and it never will be
	MayHaveRun                  // nobody can tell
	Ran                         // a host has answered it
	executionCount
)

var executionNames = [executionCount]string{"surely not run", "may have run", "ran"}

func (e Execution) String() string { return executionNames[min(e, executionCount-1)] }
