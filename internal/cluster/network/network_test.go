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

// shrinkReceiveBuffer sets a small receive buffer, so that a response blocks at the sender until the client reads it.
func shrinkReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
	})
}

// A client that stops reading for a while must still receive the complete response. With TCP_USER_TIMEOUT on the accepted connection, the
// kernel would reset it: it counts the time with a zero window, although the client's kernel acknowledges the probes.
func TestAcceptedConnectionSurvivesZeroWindow(t *testing.T) {
	c := qt.New(t)
	const userTimeout = 200 * time.Millisecond
	listener, err := Host{UserTimeout: userTimeout}.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	response := make([]byte, 8<<20) // more than the socket buffers of both sides
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
	select { // far longer than the timeout, because the kernel checks it only at window probes, whose interval grows
	case err := <-written:
		c.Fatalf("writing the response ended while the client was not reading: %v", err)
	case <-time.After(10 * userTimeout):
	}
	got, err := io.Copy(io.Discard, conn)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, int64(len(response)))
	c.Assert(<-written, qt.IsNil)
}
