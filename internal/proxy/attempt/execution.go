package attempt

// Execution is what is known about whether a host ran a request. Of several attempts the greatest value counts.
type Execution uint8

// The values of Execution, in ascending order.
const (
	NotRun     Execution = iota // no host ran it, and none will
	MayHaveRun                  // unknown
	Ran                         // a host answered it
	executionCount
)

var executionNames = [executionCount]string{"surely not run", "may have run", "ran"}

func (e Execution) String() string { return executionNames[min(e, executionCount-1)] }
