// Package stream holds connections between the system's processes open: frames of JSON both ways, a beat where there is
// nothing to say, and an end as soon as the other side has been silent for too long.
package stream

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxFrameBytes is how many bytes a frame may have, inflated. Who is sent more ends the line.
	MaxFrameBytes        = 24 << 20
	sendQueueLength      = 1024 // frames that may wait to be written
	compressionThreshold = 512  // frames from so many bytes on are deflated
)

// Keepalive is how often a side beats that has nothing to say, and after how long the other side is taken for lost.
type Keepalive struct{ Interval, Timeout time.Duration }

var (
	ProxyKeepalive   = Keepalive{500 * time.Millisecond, 1800 * time.Millisecond} // of routers: they move on soon
	ControlKeepalive = Keepalive{time.Second, 2800 * time.Millisecond}            // between control processes, that are far from each other
)

// ErrPeerTimeout says that the other side said nothing for too long.
var ErrPeerTimeout = errors.New("the other side is silent")

// MalformedFrames counts frames and openings that were none of ours.
var MalformedFrames atomic.Int64

// FramesWritten and Beats count all frames of this process that were written, and the bytes of those that said something.
var FramesWritten, HeartbeatsWritten, FrameBytesWritten atomic.Int64

// Conn is one held connection. T is what is said on it.
type Conn[T any] struct {
	conn           net.Conn
	keepalive      Keepalive
	betweenControl atomic.Bool
	queue          chan outgoing
	done           chan struct{}
	once           sync.Once
	err            error
	BytesRead      atomic.Int64 // bytes read and written
	BytesWritten   atomic.Int64
}

// outgoing is what waits to be written: a frame, or what is to be one.
type outgoing struct {
	raw    []byte
	framed bool
}

// preamble opens each side's talk, so that foreign bytes are known at once.
var preamble = []byte("pfl1")

// Open takes a connection up. Run reads it.
func Open[T any](conn net.Conn, keepalive Keepalive) *Conn[T] {
	c := &Conn[T]{conn: conn, keepalive: keepalive, queue: make(chan outgoing, sendQueueLength), done: make(chan struct{})}
	go c.writeLoop()
	return c
}

// SetKeepalive changes the pace, as both sides do once they know who the other is.
func (c *Conn[T]) SetKeepalive(keepalive Keepalive) {
	c.betweenControl.Store(keepalive == ControlKeepalive)
}

func (c *Conn[T]) timeout() time.Duration {
	if c.betweenControl.Load() {
		return ControlKeepalive.Timeout
	}
	return c.keepalive.Timeout
}

func (c *Conn[T]) heartbeatInterval() time.Duration {
	if c.betweenControl.Load() {
		return ControlKeepalive.Interval
	}
	return c.keepalive.Interval
}

// Send says something; it never waits. A side that doesn't take what it is told is lost.
func (c *Conn[T]) Send(v T) {
	raw, err := json.Marshal(v)
	if err != nil {
		c.Close(err)
		return
	}
	c.enqueue(outgoing{raw: raw})
}

// SendFrame says what Frame laid out. Many lines may be sent the same bytes: nobody changes them.
func (c *Conn[T]) SendFrame(frame []byte) { c.enqueue(outgoing{frame, true}) }

func (c *Conn[T]) enqueue(s outgoing) {
	select {
	case c.queue <- s:
	case <-c.done:
	default:
		c.Close(errors.New("the other side takes nothing up"))
	}
}

// Close ends the line, once, for the reason given.
func (c *Conn[T]) Close(err error) {
	c.once.Do(func() {
		c.err = err
		close(c.done)
		c.conn.Close()
	})
}

// Done is closed at the end.
func (c *Conn[T]) Done() <-chan struct{} { return c.done }

// Err is why it ended, after Done.
func (c *Conn[T]) Err() error { return c.err }

// RemoteAddress is the other side's address.
func (c *Conn[T]) RemoteAddress() string { return c.conn.RemoteAddr().String() }

// compressors are kept from frame to frame: each has tables of half a megabyte, many times what a frame holds. Those that rest are
// let go by the collector.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// EncodeFrame lays out JSON as it is sent, for what is said on many lines alike.
func EncodeFrame(raw []byte) []byte { return encodeFrame(raw) }

// encodeFrame is a length, of which the highest bit says that what follows is deflated, and the bytes.
func encodeFrame(raw []byte) []byte {
	header := uint32(len(raw))
	if len(raw) >= compressionThreshold {
		var compressed bytes.Buffer
		writer := compressors.Get().(*flate.Writer)
		writer.Reset(&compressed)
		writer.Write(raw)
		writer.Close()
		compressors.Put(writer)
		if compressed.Len() < len(raw) {
			raw, header = compressed.Bytes(), uint32(compressed.Len())|1<<31
		}
	}
	return append(binary.BigEndian.AppendUint32(nil, header), raw...)
}

func (c *Conn[T]) writeLoop() {
	ticker := time.NewTicker(c.keepalive.Interval)
	defer ticker.Stop()
	lastWrite := time.Now()
	next := append([]byte(nil), preamble...)
	for {
		c.conn.SetWriteDeadline(time.Now().Add(c.timeout()))
		n, err := c.conn.Write(next)
		if c.BytesWritten.Add(int64(n)); len(next) > 4 {
			FramesWritten.Add(1)
			FrameBytesWritten.Add(int64(n))
		} else {
			HeartbeatsWritten.Add(1)
		}
		if err != nil {
			c.Close(fmt.Errorf("writing: %w", err))
			return
		}
		lastWrite = time.Now()
		for next = nil; next == nil; {
			select {
			case s := <-c.queue:
				if next = s.raw; !s.framed {
					next = encodeFrame(s.raw)
				}
			case <-ticker.C:
				if time.Since(lastWrite) >= c.heartbeatInterval()*7/8 {
					next = make([]byte, 4)
				}
			case <-c.done:
				return
			}
		}
	}
}

// Run hands what is said to take until the line ends; its error says why.
func (c *Conn[T]) Run(handle func(T)) error {
	header := make([]byte, 4)
	read := func(b []byte) error {
		c.conn.SetReadDeadline(time.Now().Add(c.timeout()))
		n, err := io.ReadFull(c.conn, b)
		c.BytesRead.Add(int64(n))
		if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
			return ErrPeerTimeout
		}
		return err
	}
	err := read(header)
	if err == nil && !bytes.Equal(header, preamble) {
		MalformedFrames.Add(1)
		err = errors.New("the other side speaks something else")
	}
	for err == nil {
		if err = read(header); err != nil {
			break
		}
		n := binary.BigEndian.Uint32(header)
		compressed := n&(1<<31) != 0
		if n &^= 1 << 31; n == 0 {
			continue
		}
		if n > MaxFrameBytes {
			MalformedFrames.Add(1)
			err = fmt.Errorf("a frame of %d bytes", n)
			break
		}
		raw := make([]byte, n)
		if err = read(raw); err != nil {
			break
		}
		if compressed {
			if raw, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), MaxFrameBytes+1)); err == nil && len(raw) > MaxFrameBytes {
				err = errors.New("a frame that inflates too far")
			}
		}
		var v T
		if err == nil {
			if err = json.Unmarshal(raw, &v); err == nil {
				handle(v)
				continue
			}
		}
		MalformedFrames.Add(1)
	}
	c.Close(err)
	<-c.done
	return c.err
}
