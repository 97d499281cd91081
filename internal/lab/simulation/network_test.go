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

// A machine that loses its power sends nothing: the other side's writes succeed until it gives up, also where the process is ended
// afterwards. Once the power is back, what comes on an old connection is refused at once.
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
		c.Check(time.Since(start) >= network.AckTimeout, qt.IsTrue, qt.Commentf("told after %v: %v", time.Since(start), err))

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

// A writer that waits for room, with a deadline, doesn't put off the reader's own wake: it was for ever, and the write timed out
// though all were well.
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
			synctest.Wait() // the reader waits for what is on its way
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

// Connections that are reset, and answers that are lost: both sides are told, others' connections go on.
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
		one.Write([]byte("x")) // the way there is good
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
