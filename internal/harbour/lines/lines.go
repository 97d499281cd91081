// Package lines holds connections between the system's processes open: frames of JSON both ways, a beat where there is
// nothing to say, and an end as soon as the other side has been silent for too long.
package lines

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
	// Largest is how many bytes a frame may have, inflated. Who is sent more ends the line.
	Largest = 24 << 20
	waiting = 1024 // frames that may wait to be written
	deflate = 512  // frames from so many bytes on are deflated
)

// Pace is how often a side beats that has nothing to say, and after how long the other side is taken for lost.
type Pace struct{ Beat, Silence time.Duration }

var (
	Quick = Pace{500 * time.Millisecond, 1800 * time.Millisecond} // of routers: they move on soon
	Slow  = Pace{time.Second, 2800 * time.Millisecond}            // between control processes, that are far from each other
)

// ErrSilent says that the other side said nothing for too long.
var ErrSilent = errors.New("the other side is silent")

// Foreign counts frames and openings that were none of ours.
var Foreign atomic.Int64

// Said and Beats count all frames of this process that were written, and the bytes of those that said something.
var Said, Beats, SaidBytes atomic.Int64

// Line is one held connection. T is what is said on it.
type Line[T any] struct {
	conn net.Conn
	pace Pace
	slow atomic.Bool
	out  chan said
	done chan struct{}
	once sync.Once
	err  error
	In   atomic.Int64 // bytes read and written
	Out  atomic.Int64
}

// said is what waits to be written: a frame, or what is to be one.
type said struct {
	raw    []byte
	framed bool
}

// magic opens each side's talk, so that foreign bytes are known at once.
var magic = []byte("pfl1")

// Open takes a connection up. Run reads it.
func Open[T any](c net.Conn, p Pace) *Line[T] {
	l := &Line[T]{conn: c, pace: p, out: make(chan said, waiting), done: make(chan struct{})}
	go l.write()
	return l
}

// SetPace changes the pace, as both sides do once they know who the other is.
func (l *Line[T]) SetPace(p Pace) { l.slow.Store(p == Slow) }

func (l *Line[T]) silence() time.Duration {
	if l.slow.Load() {
		return Slow.Silence
	}
	return l.pace.Silence
}

func (l *Line[T]) beat() time.Duration {
	if l.slow.Load() {
		return Slow.Beat
	}
	return l.pace.Beat
}

// Send says something; it never waits. A side that doesn't take what it is told is lost.
func (l *Line[T]) Send(v T) {
	raw, err := json.Marshal(v)
	if err != nil {
		l.Close(err)
		return
	}
	l.send(said{raw: raw})
}

// SendFrame says what Frame laid out. Many lines may be sent the same bytes: nobody changes them.
func (l *Line[T]) SendFrame(f []byte) { l.send(said{f, true}) }

func (l *Line[T]) send(s said) {
	select {
	case l.out <- s:
	case <-l.done:
	default:
		l.Close(errors.New("the other side takes nothing up"))
	}
}

// Close ends the line, once, for the reason given.
func (l *Line[T]) Close(err error) {
	l.once.Do(func() {
		l.err = err
		close(l.done)
		l.conn.Close()
	})
}

// Done is closed at the end.
func (l *Line[T]) Done() <-chan struct{} { return l.done }

// Err is why it ended, after Done.
func (l *Line[T]) Err() error { return l.err }

// Peer is the other side's address.
func (l *Line[T]) Peer() string { return l.conn.RemoteAddr().String() }

// deflaters are kept from frame to frame: each has tables of half a megabyte, many times what a frame holds. Those that rest are
// let go by the collector.
var deflaters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Frame lays out JSON as it is sent, for what is said on many lines alike.
func Frame(raw []byte) []byte { return frame(raw) }

// frame is a length, of which the highest bit says that what follows is deflated, and the bytes.
func frame(raw []byte) []byte {
	head := uint32(len(raw))
	if len(raw) >= deflate {
		var b bytes.Buffer
		w := deflaters.Get().(*flate.Writer)
		w.Reset(&b)
		w.Write(raw)
		w.Close()
		deflaters.Put(w)
		if b.Len() < len(raw) {
			raw, head = b.Bytes(), uint32(b.Len())|1<<31
		}
	}
	return append(binary.BigEndian.AppendUint32(nil, head), raw...)
}

func (l *Line[T]) write() {
	beat := time.NewTicker(l.pace.Beat)
	defer beat.Stop()
	spoke := time.Now()
	next := append([]byte(nil), magic...)
	for {
		l.conn.SetWriteDeadline(time.Now().Add(l.silence()))
		n, err := l.conn.Write(next)
		if l.Out.Add(int64(n)); len(next) > 4 {
			Said.Add(1)
			SaidBytes.Add(int64(n))
		} else {
			Beats.Add(1)
		}
		if err != nil {
			l.Close(fmt.Errorf("writing: %w", err))
			return
		}
		spoke = time.Now()
		for next = nil; next == nil; {
			select {
			case s := <-l.out:
				if next = s.raw; !s.framed {
					next = frame(s.raw)
				}
			case <-beat.C:
				if time.Since(spoke) >= l.beat()*7/8 {
					next = make([]byte, 4)
				}
			case <-l.done:
				return
			}
		}
	}
}

// Run hands what is said to take until the line ends; its error says why.
func (l *Line[T]) Run(take func(T)) error {
	head := make([]byte, 4)
	read := func(b []byte) error {
		l.conn.SetReadDeadline(time.Now().Add(l.silence()))
		n, err := io.ReadFull(l.conn, b)
		l.In.Add(int64(n))
		if e := net.Error(nil); errors.As(err, &e) && e.Timeout() {
			return ErrSilent
		}
		return err
	}
	err := read(head)
	if err == nil && !bytes.Equal(head, magic) {
		Foreign.Add(1)
		err = errors.New("the other side speaks something else")
	}
	for err == nil {
		if err = read(head); err != nil {
			break
		}
		n := binary.BigEndian.Uint32(head)
		packed := n&(1<<31) != 0
		if n &^= 1 << 31; n == 0 {
			continue
		}
		if n > Largest {
			Foreign.Add(1)
			err = fmt.Errorf("a frame of %d bytes", n)
			break
		}
		raw := make([]byte, n)
		if err = read(raw); err != nil {
			break
		}
		if packed {
			if raw, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(raw)), Largest+1)); err == nil && len(raw) > Largest {
				err = errors.New("a frame that inflates too far")
			}
		}
		var v T
		if err == nil {
			if err = json.Unmarshal(raw, &v); err == nil {
				take(v)
				continue
			}
		}
		Foreign.Add(1)
	}
	l.Close(err)
	<-l.done
	return l.err
}
