// Package stream exchanges messages over the long-lived connections between processes of a cluster. Messages are sent as frames of JSON
// in both directions. An idle side sends heartbeats, and a connection is closed if the peer sends nothing for too long.
//
// The package never dials, listens or reconnects, and does not interpret messages. The main entry points are Open, Conn.Send and
// Conn.Run.
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

// sendQueueLength is the maximum number of messages that are queued for writing.
const sendQueueLength = 1024

// Keepalive configures the heartbeats of a connection: the interval at which an idle side sends them, and the timeout of each read and
// write, after which the peer is considered lost.
type Keepalive struct{ Interval, Timeout time.Duration }

var (
	// ProxyKeepalive is for connections of proxies. It is short because a proxy can quickly connect to another control process.
	ProxyKeepalive = Keepalive{Interval: 500 * time.Millisecond, Timeout: 1800 * time.Millisecond}
	// ControlKeepalive is for connections between control processes, which may be in different regions.
	ControlKeepalive = Keepalive{Interval: time.Second, Timeout: 2800 * time.Millisecond}
)

// ErrPeerTimeout is the error of a connection whose peer did not send the next header, or a complete body, within Keepalive.Timeout.
var ErrPeerTimeout = errors.New("read from peer timed out")

// MalformedFrames counts the invalid frames and preambles that this process received.
var MalformedFrames atomic.Int64

// FramesWritten counts the frames that this process wrote, excluding heartbeats.
var FramesWritten atomic.Int64

// HeartbeatsWritten counts the heartbeats and preambles that this process wrote.
var HeartbeatsWritten atomic.Int64

// FrameBytesWritten counts the bytes of the frames in FramesWritten, including their headers.
var FrameBytesWritten atomic.Int64

// Conn is a connection for messages of type T. Its methods are safe for concurrent use, except that Run may be called only once.
type Conn[T any] struct {
	conn                net.Conn
	keepalive           Keepalive
	useControlKeepalive atomic.Bool // ControlKeepalive applies instead of keepalive
	queue               chan outgoing
	done                chan struct{}
	once                sync.Once
	err                 error // why the connection was closed; written before done is closed
	BytesRead           atomic.Int64
	BytesWritten        atomic.Int64
}

// outgoing is a queued message.
type outgoing struct {
	raw    []byte
	framed bool // raw is an encoded frame; if false, raw is a body that is encoded when it is written
}

// preamble is the first thing that each side sends, so that a peer with another protocol is detected immediately.
var preamble = []byte("pfl1")

// Open returns a Conn that takes ownership of conn, and starts the goroutine that writes to it, which runs until Close. The caller must
// call Run to read from the connection.
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

// SetKeepalive switches to ControlKeepalive, or, with any other argument, back to the keepalive that was passed to Open. It is called
// when the kind of the peer is known.
func (c *Conn[T]) SetKeepalive(keepalive Keepalive) {
	c.useControlKeepalive.Store(keepalive == ControlKeepalive)
}

func (c *Conn[T]) currentKeepalive() Keepalive {
	if c.useControlKeepalive.Load() {
		return ControlKeepalive
	}
	return c.keepalive
}

// Send queues a message. It never blocks: if the queue is full, it closes the connection.
func (c *Conn[T]) Send(v T) {
	raw, err := json.Marshal(v)
	if err != nil {
		c.Close(err)
		return
	}
	c.enqueue(outgoing{raw: raw})
}

// SendFrame is like Send for a frame that EncodeFrame returned. The frame may be shared by several connections and must not be modified.
func (c *Conn[T]) SendFrame(frame []byte) { c.enqueue(outgoing{raw: frame, framed: true}) }

func (c *Conn[T]) enqueue(message outgoing) {
	select {
	case c.queue <- message:
	case <-c.done:
	default:
		c.Close(errors.New("send queue is full: the peer is reading too slowly"))
	}
}

// Close closes the connection. Err returns the err of the first call; further calls have no effect.
func (c *Conn[T]) Close(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.done)
		c.conn.Close()
	})
}

// Done returns a channel that is closed when the Conn is closed.
func (c *Conn[T]) Done() <-chan struct{} { return c.done }

// Err returns why the connection was closed. It may be called only after the channel of Done is closed.
func (c *Conn[T]) Err() error { return c.err }

// RemoteAddress returns the peer's address.
func (c *Conn[T]) RemoteAddress() string { return c.conn.RemoteAddr().String() }

// writeLoop writes the preamble, then frames and heartbeats, until the connection is closed.
func (c *Conn[T]) writeLoop() {
	ticker := time.NewTicker(c.keepalive.Interval)
	defer ticker.Stop()
	next, open := preamble, true
	for open {
		if err := c.write(next); err != nil {
			c.Close(fmt.Errorf("write to peer: %w", err))
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

// awaitFrame returns the next queued frame, or a heartbeat when one is due. open is false if the connection is closed.
func (c *Conn[T]) awaitFrame(ticks <-chan time.Time, lastWrite time.Time) (frame []byte, open bool) {
	for {
		select {
		case message := <-c.queue:
			if message.framed {
				return message.raw, true
			}
			return EncodeFrame(message.raw), true
		case <-ticks:
			// A heartbeat is written slightly after its tick, so at the next tick slightly less than the interval has passed.
			if time.Since(lastWrite) >= c.currentKeepalive().Interval*7/8 {
				return make([]byte, frameHeaderSize), true
			}
		case <-c.done:
			return nil, false
		}
	}
}

// Run reads from the connection until it is closed or fails, and calls handle for each message in the order received. It then closes the
// connection and returns the same error as Err. It must be called only once.
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
		return errors.New("invalid preamble: the peer does not use the portflow stream protocol")
	}
	return nil
}

// read fills buffer, and returns ErrPeerTimeout if the peer does not send enough bytes within the timeout.
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
