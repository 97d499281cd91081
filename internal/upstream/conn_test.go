package upstream

import (
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// closedConn is a connection that the host has closed: reads return io.EOF, and writes return what write returns.
type closedConn struct {
	net.Conn
	write func(b []byte) (int, error)
}

func (c closedConn) Read([]byte) (int, error)          { return 0, io.EOF }
func (c closedConn) Write(b []byte) (int, error)       { return c.write(b) }
func (c closedConn) Pending() bool                     { return false }
func (c closedConn) Close() error                      { return nil }
func (c closedConn) LocalAddr() net.Addr               { return nil }
func (c closedConn) RemoteAddr() net.Addr              { return nil }
func (c closedConn) SetReadDeadline(t time.Time) error { return nil }

// A failed write may consume the error of a connection reset, so the next read must not report a clean EOF. A write that fails
// after part of the request was written must not fail the attempt, as a response may already be waiting.
func TestReadAfterFailedWrite(t *testing.T) {
	for name, test := range map[string]struct {
		secondWrite func(b []byte) (int, error)
		writeErr    error
		readErr     error
	}{
		"taken":                  {func(b []byte) (int, error) { return len(b), nil }, nil, io.EOF},
		"reset":                  {func(b []byte) (int, error) { return 0, syscall.ECONNRESET }, nil, io.ErrUnexpectedEOF},
		"broken":                 {func(b []byte) (int, error) { return 1, syscall.EPIPE }, nil, io.ErrUnexpectedEOF},
		"closed locally":         {func(b []byte) (int, error) { return 0, net.ErrClosed }, net.ErrClosed, io.ErrUnexpectedEOF},
		"slow write":             {func(b []byte) (int, error) { time.Sleep(lastWriteGrace / 2); return len(b), nil }, nil, io.EOF},
		"slow write, then reset": {func(b []byte) (int, error) { time.Sleep(lastWriteGrace / 2); return 0, syscall.EPIPE }, nil, io.ErrUnexpectedEOF},
		"write still pending":    {func(b []byte) (int, error) { time.Sleep(lastWriteGrace * 2); return len(b), nil }, nil, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				writes := 0
				c, err := newConn(closedConn{write: func(b []byte) (int, error) {
					if writes++; writes == 1 {
						return len(b), nil
					}
					return test.secondWrite(b)
				}}, nil, func(string, net.Addr, net.Addr) ConnCounter { return noCounter{} }, "")
				if err != nil {
					t.Fatal(err)
				}
				c.attempt.Store(&attempt{cancel: func(error) {}, tracker: &recordingTracker{}})
				if n, err := c.Write([]byte("head")); n != 4 || err != nil {
					t.Fatal(n, err)
				}
				done := make(chan error, 1)
				go func() {
					_, err := c.Write([]byte("body"))
					done <- err
				}()
				time.Sleep(time.Millisecond)
				_, err = c.Read(make([]byte, 9))
				qt.Check(t, err, qt.Equals, test.readErr)
				qt.Check(t, <-done, qt.Equals, test.writeErr)
				next := &attempt{cancel: func(error) {}, tracker: &recordingTracker{}}
				if c.writeFailed.Load() && c.waitReusable(next) {
					t.Error("connection is reusable after a failed write")
				}
			})
		})
	}
}
