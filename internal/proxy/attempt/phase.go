package attempt

// Phase is the progress of an attempt.
type Phase uint8

// The phases of an attempt, in the order in which it goes through them.
const (
	Connecting    Phase = iota // no connection yet
	Open                       // connected, nothing written
	WriteBegun                 // the first write has begun
	PartlyWritten              // the connection accepted part of the request
	Written                    // the connection accepted the entire request
	Ended                      // final; later events change nothing
	phaseCount
)

var phaseNames = [phaseCount]string{"opening", "open", "begun", "partly", "written", "over"}

func (p Phase) String() string { return phaseNames[min(p, phaseCount-1)] }
