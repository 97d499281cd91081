package upstream

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"portflow/internal/decision"
)

// Progress is the last stage that a failed attempt reached.
type Progress uint8

// The values of Progress, in the order in which an attempt reaches them.
const (
	NotConnected Progress = iota
	Connected             // has a connection; nothing has been written
	Written               // writing has begun, so the host may have received the entire request
	Answering             // the response has started
)

func (p Progress) String() string {
	return [...]string{"not connected", "not fully written", "written", "answering"}[p]
}

// Error is the error of an attempt that received no complete response.
type Error struct {
	Progress Progress
	Err      error
}

func (e *Error) Error() string { return fmt.Sprintf("%v: %v", e.Progress, e.Err) }

// Unwrap returns e.Err, without the progress.
func (e *Error) Unwrap() error { return e.Err }

// result returns the result of an attempt that failed without having been canceled.
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
