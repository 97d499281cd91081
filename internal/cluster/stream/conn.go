// Package stream owns the connections that processes of the system hold open with each other: frames of JSON both ways, heartbeats
// when there is nothing to send, and an end as soon as the other side has been silent for too long.
//
// It never dials, listens or reconnects, and doesn't know what the messages mean. Begin reading at Conn: Open, Send and Run.
package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// sendQueueLength is how many frames may wait to be written.
const sendQueueLength = 1024

// Keepalive is how often a side sends a heartbeat when it has nothing else to send, and the time of silence after which the other
// side is taken for lost.
type Keepalive struct{ Interval, Timeout time.Duration }

var (
	// ProxyKeepalive is for connections of proxies, which connect to another control process soon.
	ProxyKeepalive = Keepalive{Interval: 500 * time.Millisecond, Timeout: 1800 * time.Millisecond}
	// ControlKeepalive is for connections between control processes, which may be in distant regions.
	ControlKeepalive = Keepalive{Interval: time.Second, Timeout: 2800 * time.Millisecond}
)

// ErrPeerTimeout is the reason of a connection's end when the other side was silent for too long.
var ErrPeerTimeout = errors.New("the other side is silent")

// MalformedFrames counts received frames and preambles that were not valid.
var MalformedFrames atomic.Int64

// FramesWritten counts the frames of this process that were written, without heartbeats.
var FramesWritten atomic.Int64

// HeartbeatsWritten counts the heartbeats of this process that were written.
var HeartbeatsWritten atomic.Int64

// FrameBytesWritten counts the bytes of FramesWritten.
var FrameBytesWritten atomic.Int64

// Conn is a connection that is held open. T is the type of its messages. It is safe for concurrent use, but for Run.
type Conn[T any] struct {
	conn                net.Conn
	keepalive           Keepalive
	useControlKeepalive atomic.Bool // ControlKeepalive holds in place of keepalive
	queue               chan outgoing
	done                chan struct{}
	once                sync.Once
	err                 error // why the connection ended; written before done is closed
	BytesRead           atomic.Int64
	BytesWritten        atomic.Int64
}

// outgoing waits to be written: a frame, or a body that is to be encoded as one.
type outgoing struct {
	raw    []byte
	framed bool
}

// preamble is what each side sends first, so that another protocol is recognised at once.
var preamble = []byte("pfl1")

// Open begins to use a connection. It starts the goroutine that writes to it, which ends with Close. Run reads from it.
func Open[T any](conn net.Conn, keepalive Keepalive) *Conn[T] {
	c := &Conn[T]{
		conn:      conn,
		keepalive: keepalive,
		queue:     make(chan outgoing, sendQueueLength),
		done:      make(chan struct{}),
	}
	go c.writeLoop()
	return c
}

// SetKeepalive changes the keepalive to ControlKeepalive, or back to that of Open, once a side knows which process the other is.
func (c *Conn[T]) SetKeepalive(keepalive Keepalive) {
	c.useControlKeepalive.Store(keepalive == ControlKeepalive)
}

func (c *Conn[T]) currentKeepalive() Keepalive {
	if c.useControlKeepalive.Load() {
		return ControlKeepalive
	}
	return c.keepalive
}

// Send sends a message. It never waits: if too many messages wait to be written, the connection is closed.
func (c *Conn[T]) Send(v T) {
	raw, err := json.Marshal(v)
	if err != nil {
		c.Close(err)
		return
	}
	c.enqueue(outgoing{raw: raw})
}

// SendFrame is Send for a message that EncodeFrame encoded. Many connections may send the same bytes: nothing may change them.
func (c *Conn[T]) SendFrame(frame []byte) { c.enqueue(outgoing{raw: frame, framed: true}) }

func (c *Conn[T]) enqueue(message outgoing) {
	select {
	case c.queue <- message:
	case <-c.done:
	default:
		c.Close(errors.New("the other side takes nothing up"))
	}
}

// Close closes the connection for a reason, which Err returns. Only the first call has an effect.
func (c *Conn[T]) Close(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.done)
		c.conn.Close()
	})
}

// Done returns a channel that is closed when the connection ends.
func (c *Conn[T]) Done() <-chan struct{} { return c.done }

// Err returns why the connection ended. It must be called only after Done is closed.
func (c *Conn[T]) Err() error { return c.err }

// RemoteAddress returns the address of the other side.
func (c *Conn[T]) RemoteAddress() string { return c.conn.RemoteAddr().String() }

// writeLoop writes the preamble, then frames and heartbeats, until the connection ends.
func (c *Conn[T]) writeLoop() {
	ticker := time.NewTicker(c.keepalive.Interval)
	defer ticker.Stop()
	next, open := preamble, true
	for open {
		if err := c.write(next); err != nil {
			c.Close(fmt.Errorf("writing: %w", err))
			return
		}
		next, open = c.awaitFrame(ticker.C, time.Now())
	}
}

// write writes a frame, a heartbeat or the preamble, and counts it; the preamble counts as a heartbeat.
func (c *Conn[T]) write(frame []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(c.currentKeepalive().Timeout))
	n, err := c.conn.Write(frame)
	c.BytesWritten.Add(int64(n))
	if len(frame) > frameHeaderSize {
		FramesWritten.Add(1)
		FrameBytesWritten.Add(int64(n))
	} else {
		HeartbeatsWritten.Add(1)
	}
	return err
}

// awaitFrame waits for the next frame to write, or for the time of a heartbeat. open is false once the connection has ended.
func (c *Conn[T]) awaitFrame(ticks <-chan time.Time, lastWrite time.Time) (frame []byte, open bool) {
	for {
		select {
		case message := <-c.queue:
			if message.framed {
				return message.raw, true
			}
			return EncodeFrame(message.raw), true
		case <-ticks:
			// A heartbeat is written a little after its tick: at the next tick slightly less than the interval has passed.
			if time.Since(lastWrite) >= c.currentKeepalive().Interval*7/8 {
				return make([]byte, frameHeaderSize), true
			}
		case <-c.done:
			return nil, false
		}
	}
}

// Run calls handle for each message that is received, until the connection ends, and returns why it ended. It must be called once.
func (c *Conn[T]) Run(handle func(T)) error {
	c.Close(c.readLoop(handle))
	return c.err
}

func (c *Conn[T]) readLoop(handle func(T)) error {
	header := make([]byte, frameHeaderSize)
	if err := c.readPreamble(header); err != nil {
		return err
	}
	for {
		raw, err := readFrame(c.read, header)
		if err != nil {
			return err
		}
		if raw == nil { // a heartbeat
			continue
		}
		var message T
		if err := json.Unmarshal(raw, &message); err != nil {
			MalformedFrames.Add(1)
			return err
		}
		handle(message)
	}
}

func (c *Conn[T]) readPreamble(buffer []byte) error {
	if err := c.read(buffer); err != nil {
		return err
	}
	if !bytes.Equal(buffer, preamble) {
		MalformedFrames.Add(1)
		return errors.New("the other side speaks something else")
	}
	return nil
}

// read fills a buffer. The other side must send the bytes within the timeout.
func (c *Conn[T]) read(buffer []byte) error {
	c.conn.SetReadDeadline(time.Now().Add(c.currentKeepalive().Timeout))
	n, err := io.ReadFull(c.conn, buffer)
	c.BytesRead.Add(int64(n))
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return ErrPeerTimeout
	}
	return err
}
