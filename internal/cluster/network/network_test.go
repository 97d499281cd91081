package network

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// smallBuffers has a socket hold few bytes, so that an answer waits at its sender until its reader takes it.
func shrinkReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
	})
}

// A client that takes nothing of its answer for a while is slow, not gone: its kernel still acknowledges, with a closed window. The kernel
// counts that as silence too where TCP_USER_TIMEOUT is set, and would reset the connection in the middle of the answer.
func TestAcceptedConnectionSurvivesZeroWindow(t *testing.T) {
	c := qt.New(t)
	const userTimeout = 200 * time.Millisecond
	listener, err := Host{UserTimeout: userTimeout}.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	response := make([]byte, 8<<20) // more than the kernel holds for both sides
	written := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = conn.Write(response)
			conn.Close()
		}
		written <- err
	}()
	dialer := net.Dialer{Control: shrinkReceiveBuffer}
	conn, err := dialer.DialContext(context.Background(), "tcp4", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	select { // the window is closed for far longer than the time-out; the kernel looks at each of its probes, which become rarer
	case err := <-written:
		c.Fatalf("the answer was cut while its reader waited: %v", err)
	case <-time.After(10 * userTimeout):
	}
	got, err := io.Copy(io.Discard, conn)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, int64(len(response)))
	c.Assert(<-written, qt.IsNil)
}
