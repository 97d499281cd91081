package attempt

import "errors"

// HTTP status codes (RFC 9110, section 15), named as in net/http. Importing net/http here would pull I/O into the package.
const (
	statusOK                 = 200
	statusMultipleChoices    = 300
	statusBadRequest         = 400
	statusRequestTimeout     = 408
	statusMisdirectedRequest = 421
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// Answer has the fields of a response's status line and header that Classify needs.
type Answer struct {
	Status  int
	IDs     []string // values of all Attempt-Id fields
	NotRun  bool     // has a Request-Not-Run field
	Sealed  bool     // has a Server-Seal field
	Encoded bool     // has a Content-Encoding field
}

// Reasons why a response is not accepted as the answer to the pending request. Classify returns all but ErrUndelimitedBody.
var (
	ErrWrongRequest       = errors.New("the answer is another request's")
	ErrMissingSeal        = errors.New("a success without a seal")
	ErrUnexpectedEncoding = errors.New("an encoding that nobody asked for")
	ErrUndelimitedBody    = errors.New("response has neither a length nor chunked encoding, and the HTTP/1.0 client could not detect truncation")
	ErrProtocolSwitch     = errors.New("unrequested protocol switch (status below 200)")
	ErrContradictory      = errors.New("a success that says it did not run")
)

// Classify returns the event that a response header is for the pending request with this ID, and an error if the response is not a valid
// answer to it. The ID is checked before the other fields, because they are about the request that the response names. A
// request without an ID accepts only responses without one. Classify doesn't check that the response is complete: that shows only when its
// body is read, and a body with neither a length nor chunked encoding ends when its connection is closed.
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

// matchesID reports whether a response with these Attempt-Id values answers the request with this ID, and no other request.
func matchesID(id string, ids []string) bool {
	for _, x := range ids {
		if x != id {
			return false
		}
	}
	return id == "" || len(ids) > 0
}
