package attempt

import "errors"

// Answer is what an answer's head says.
type Answer struct {
	Status  int
	IDs     []string // its Attempt-Id lines
	NotRun  bool     // it carries Request-Not-Run
	Sealed  bool     // it carries a Server-Seal
	Encoded bool     // it carries a Content-Encoding
}

// Why an answer is none to the request that waits.
var (
	ErrWrongRequest       = errors.New("the answer is another request's")
	ErrMissingSeal        = errors.New("a success without a seal")
	ErrUnexpectedEncoding = errors.New("an encoding that nobody asked for")
	ErrNoStatedEnd        = errors.New("an answer without a stated end, to one who can't be told of another")
	ErrProtocolSwitch     = errors.New("another protocol that nobody asked for")
	ErrContradictory      = errors.New("a success that says it did not run")
)

// Classify tells by its head what an answer is to the request with this id that waits on its connection. The id comes first:
// whatever else an answer says, it says of the request that it names. A request without an id has answers without one. Whether
// it is whole shows as its body is read: one without a stated end ends with its connection, in order or not at all.
func Classify(id string, a Answer) (Event, error) {
	switch {
	case a.Status < 200:
		return UnexpectedBytes, ErrProtocolSwitch
	case !matchesID(id, a.IDs):
		return WrongID, ErrWrongRequest
	case (a.NotRun || a.Status == 421) && a.Status < 400:
		return UnexpectedBytes, ErrContradictory
	case a.Status == 421:
		return Misdirected, nil
	case a.NotRun:
		return TurnedAway, nil
	case a.Status < 300 && !a.Sealed:
		return UnexpectedBytes, ErrMissingSeal
	case a.Encoded:
		return UnexpectedBytes, ErrUnexpectedEncoding
	}
	return Answered, nil
}

// matchesID tells whether an answer's ids name one request and no other.
func matchesID(id string, ids []string) bool {
	for _, x := range ids {
		if x != id {
			return false
		}
	}
	return id == "" || len(ids) > 0
}
