package attempt

import "errors"

// HTTP status codes (RFC 9110, section 15) by their names in net/http, which a package without I/O doesn't import.
const (
	statusOK                 = 200
	statusMultipleChoices    = 300
	statusBadRequest         = 400
	statusRequestTimeout     = 408
	statusMisdirectedRequest = 421
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// Answer is what an answer's head says.
type Answer struct {
	Status  int
	IDs     []string // the values of its Attempt-Id fields
	NotRun  bool     // it carries Request-Not-Run
	Sealed  bool     // it carries a Server-Seal
	Encoded bool     // it carries a Content-Encoding
}

// Why an answer is none to the request that waits.
var (
	ErrWrongRequest       = errors.New("the answer is another request's")
	ErrMissingSeal        = errors.New("a success without a seal")
	ErrUnexpectedEncoding = errors.New("an encoding that nobody asked for")
	ErrUndelimitedBody    = errors.New("an answer without a stated end, to one who can't be told of another")
	ErrProtocolSwitch     = errors.New("another protocol that nobody asked for")
	ErrContradictory      = errors.New("a success that says it did not run")
)

// Classify is the event that an answer's head is to the request with this id that waits on its connection, with an error where it is no
// answer to it. The id comes first: whatever else an answer says, it says of the request that it names. A request without an id has
// answers without one. Whether the answer is complete shows as its body is read: one without a stated end ends with its
// connection, in order or not at all.
func Classify(id string, a Answer) (Event, error) {
	switch {
	case a.Status < statusOK:
		return UnexpectedBytes, ErrProtocolSwitch
	case !matchesID(id, a.IDs):
		return WrongID, ErrWrongRequest
	case (a.NotRun || a.Status == statusMisdirectedRequest) && a.Status < statusBadRequest:
		return UnexpectedBytes, ErrContradictory
	case a.Status == statusMisdirectedRequest:
		return Misdirected, nil
	case a.NotRun:
		return RejectedByHost, nil
	case a.Status < statusMultipleChoices && !a.Sealed:
		return UnexpectedBytes, ErrMissingSeal
	case a.Encoded:
		return UnexpectedBytes, ErrUnexpectedEncoding
	}
	return Answered, nil
}

// matchesID reports whether an answer's ids name one request and no other.
func matchesID(id string, ids []string) bool {
	for _, x := range ids {
		if x != id {
			return false
		}
	}
	return id == "" || len(ids) > 0
}
