package simulation

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// A machine without power sends nothing, not even when its process is killed: the peer's writes succeed until the acknowledgement
// timeout. Once power is restored, data on an old connection is answered with a reset.
func TestPowerLossSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		open := func() (network *Network, dead *Process, here net.Conn) {
			network = NewNetwork(func(a, b string) time.Duration { return time.Millisecond }, 1)
			dead = network.Process("10.1.0.1")
			l, err := dead.Listen("10.1.0.1:80")
			c.Assert(err, qt.IsNil)
			go l.Accept()
			here, err = network.Process("10.2.0.1").Dial(context.Background(), "tcp", "10.1.0.1:80")
			c.Assert(err, qt.IsNil)
			time.Sleep(10 * time.Millisecond)
			return network, dead, here
		}
		network, dead, here := open()
		network.SetPoweredOff("10.1.0.1", true)
		dead.Kill()
		start := time.Now()
		_, err := here.Write([]byte("x"))
		c.Check(err, qt.IsNil)
		_, err = here.Read(make([]byte, 1))
		c.Check(err != nil, qt.IsTrue)
		c.Check(time.Since(start) >= network.AckTimeout, qt.IsTrue, qt.Commentf("read failed after %v, before AckTimeout: %v", time.Since(start), err))

		network, dead, here = open()
		network.SetPoweredOff("10.1.0.1", true)
		dead.Kill()
		network.SetPoweredOff("10.1.0.1", false)
		start = time.Now()
		here.Write([]byte("x"))
		_, err = here.Read(make([]byte, 1))
		c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
		c.Check(time.Since(start) < 10*time.Millisecond, qt.IsTrue)
	})
}

// A writer that waits for window space with a deadline must not delay the reader's wake-up, which would make the write time out.
func TestWriteBlocksOnFullWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := NewNetwork(func(a, b string) time.Duration { return time.Millisecond }, 1)
		a, b := newConnPair(network, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1)}, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 2)})
		read := make(chan int, 1)
		go func() {
			n, _ := io.Copy(io.Discard, b)
			read <- int(n)
		}()
		start := time.Now()
		for range 20 {
			synctest.Wait() // the reader waits for data in flight
			a.SetWriteDeadline(time.Now().Add(time.Second))
			_, err := a.Write(make([]byte, sendWindow/2))
			c.Assert(err, qt.IsNil)
		}
		c.Check(time.Since(start) < 100*time.Millisecond, qt.IsTrue)
		a.Close()
		c.Check(<-read, qt.Equals, 10*sendWindow)
		time.Sleep(20 * time.Second)
	})
}

// Reset connections and connections that lose data in one direction fail at both ends; other connections are not affected.
func TestConnectionResets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := NewNetwork(func(a, b string) time.Duration { return time.Millisecond }, 1)
		l, err := network.Process("10.1.0.1").Listen("10.1.0.1:80")
		c.Assert(err, qt.IsNil)
		open := func(ip string) (here, there net.Conn) {
			here, err := network.Process(ip).Dial(context.Background(), "tcp", "10.1.0.1:80")
			c.Assert(err, qt.IsNil)
			there, err = l.Accept()
			c.Assert(err, qt.IsNil)
			return here, there
		}
		broken := func(x net.Conn) bool {
			x.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			_, err := x.Read(make([]byte, 1))
			return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, net.ErrClosed)
		}
		one, there := open("10.2.0.1")
		two, _ := open("10.3.0.1")
		c.Check(network.ResetConnections("10.2.0.1", 1), qt.Equals, 1)
		c.Check([]bool{broken(one), broken(there), broken(two)}, qt.DeepEquals, []bool{true, true, false})
		c.Check(network.ResetConnections("10.3.0.1", 0), qt.Equals, 0)

		one, there = open("10.2.0.1")
		network.SetLoss("10.1.0.1", "10.2.0.1", 1)
		one.Write([]byte("x")) // only the other direction loses data
		n, err := there.Read(make([]byte, 1))
		c.Check(n, qt.Equals, 1)
		c.Check(err, qt.IsNil)
		there.Write([]byte("y"))
		c.Check([]bool{broken(one), broken(two)}, qt.DeepEquals, []bool{true, false})
		network.SetLoss("10.1.0.1", "10.2.0.1", 0)
		one, there = open("10.2.0.1")
		there.Write([]byte("y"))
		n, err = one.Read(make([]byte, 1))
		c.Check(n, qt.Equals, 1)
		c.Check(err, qt.IsNil)
		l.Close()
		time.Sleep(time.Second)
	})
}
