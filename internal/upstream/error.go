package upstream

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"portflow/internal/decision"
)

// Progress is how far a hand-off had come when it broke off.
type Progress uint8

const (
	NotConnected  Progress = iota
	PartlyWritten          // not its last byte
	Written
	Answering
)

func (r Progress) String() string {
	return [...]string{"not connected", "not fully written", "written", "answering"}[r]
}

// Error is why a hand-off got no whole answer, and how far it had come.
type Error struct {
	Progress Progress
	Err      error
}

func (e *Error) Error() string { return fmt.Sprintf("%v: %v", e.Progress, e.Err) }
func (e *Error) Unwrap() error { return e.Err }

// result is the outcome of a hand-off that broke off by itself.
func (e *Error) result() decision.Result {
	switch {
	case e.Progress < Written:
		return decision.ConnectFailed
	case e.Progress < Answering || errors.Is(e.Err, io.EOF) || errors.Is(e.Err, io.ErrUnexpectedEOF) ||
		errors.Is(e.Err, syscall.ECONNRESET):
		return decision.ConnectionReset
	}
	return decision.InvalidAnswer
}
