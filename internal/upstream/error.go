package upstream

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"portflow/internal/decision"
)

// Reach is how far a hand-off had come when it broke off.
type Reach uint8

const (
	NotConnected Reach = iota
	NotWritten         // not its last byte
	Written
	Answering
)

func (r Reach) String() string {
	return [...]string{"not connected", "not fully written", "written", "answering"}[r]
}

// Error is why a hand-off got no whole answer, and how far it had come.
type Error struct {
	Reach Reach
	Why   error
}

func (e *Error) Error() string { return fmt.Sprintf("%v: %v", e.Reach, e.Why) }
func (e *Error) Unwrap() error { return e.Why }

// ending is the outcome of a hand-off that broke off by itself.
func (e *Error) ending() decision.Ending {
	switch {
	case e.Reach < Written:
		return decision.NoConnect
	case e.Reach < Answering || errors.Is(e.Why, io.EOF) || errors.Is(e.Why, io.ErrUnexpectedEOF) ||
		errors.Is(e.Why, syscall.ECONNRESET):
		return decision.Reset
	}
	return decision.Spoilt
}
