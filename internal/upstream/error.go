package upstream

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"portflow/internal/decision"
)

// Progress is how far an attempt had got when it broke off.
type Progress uint8

// The steps of an attempt.
const (
	NotConnected  Progress = iota
	PartlyWritten          // its last byte was not written
	Written
	Answering
)

func (p Progress) String() string {
	return [...]string{"not connected", "not fully written", "written", "answering"}[p]
}

// Error is why an attempt got no complete answer, and how far it had got.
type Error struct {
	Progress Progress
	Err      error
}

func (e *Error) Error() string { return fmt.Sprintf("%v: %v", e.Progress, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// result is the result of an attempt that was not canceled and broke off.
func (e *Error) result() decision.Result {
	switch {
	case e.Progress < Written:
		return decision.ConnectFailed
	case e.Progress < Answering || isConnEnd(e.Err):
		return decision.ConnectionReset
	}
	return decision.InvalidAnswer
}

func isConnEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
