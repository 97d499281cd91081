package attempt

// Phase is how far an attempt has come.
type Phase uint8

// The phases of an attempt, in their order.
const (
	Connecting    Phase = iota // it has no connection
	Open                       // it has one, and nothing is written
	WriteBegun                 // its first bytes are being written
	PartlyWritten              // some are
	Written                    // all are
	Ended                      // nothing changes what is known any more
	phaseCount
)

var phaseNames = [phaseCount]string{"opening", "open", "begun", "partly", "written", "over"}

func (p Phase) String() string { return phaseNames[min(p, phaseCount-1)] }
