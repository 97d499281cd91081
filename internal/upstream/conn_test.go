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

// endedConn is a connection that the host has closed after its last byte; the results of its writes are given.
type endedConn struct {
	net.Conn
	write func(b []byte) (int, error)
}

func (e endedConn) Read([]byte) (int, error)          { return 0, io.EOF }
func (e endedConn) Write(b []byte) (int, error)       { return e.write(b) }
func (e endedConn) Pending() bool                     { return false }
func (e endedConn) Close() error                      { return nil }
func (e endedConn) LocalAddr() net.Addr               { return nil }
func (e endedConn) RemoteAddr() net.Addr              { return nil }
func (e endedConn) SetReadDeadline(t time.Time) error { return nil }

// A connection's end is orderly only if the host took all that was written on it: a write consumes the report of a reset, and
// the read after it sees an end like any other. A write that fails after the host has taken a part does not fail the attempt:
// the answer may be there.
func TestOrderlyEnd(t *testing.T) {
	for name, test := range map[string]struct {
		secondWrite func(b []byte) (int, error)
		writeErr    error
		readErr     error
	}{
		"taken":          {func(b []byte) (int, error) { return len(b), nil }, nil, io.EOF},
		"reset":          {func(b []byte) (int, error) { return 0, syscall.ECONNRESET }, nil, io.ErrUnexpectedEOF},
		"broken":         {func(b []byte) (int, error) { return 1, syscall.EPIPE }, nil, io.ErrUnexpectedEOF},
		"closed by us":   {func(b []byte) (int, error) { return 0, net.ErrClosed }, net.ErrClosed, io.ErrUnexpectedEOF},
		"in a moment":    {func(b []byte) (int, error) { time.Sleep(lastWriteGrace / 2); return len(b), nil }, nil, io.EOF},
		"resets then":    {func(b []byte) (int, error) { time.Sleep(lastWriteGrace / 2); return 0, syscall.EPIPE }, nil, io.ErrUnexpectedEOF},
		"stands for now": {func(b []byte) (int, error) { time.Sleep(lastWriteGrace * 2); return len(b), nil }, nil, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				writes := 0
				c, err := newConn(endedConn{write: func(b []byte) (int, error) {
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
				if c.writeFailed.Load() && c.waitFresh(next) {
					t.Error("used again")
				}
			})
		})
	}
}
