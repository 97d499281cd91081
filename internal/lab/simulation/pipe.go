package simulation

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// segment is some bytes in flight, or the end of the stream.
type segment struct {
	data      []byte
	arrivesAt time.Time // zero while a partition holds them up
	fin       bool
}

// pipe is one direction of a connection.
type pipe struct {
	mu         sync.Mutex // guards all of it
	changed    *sync.Cond // of whatever a reader or writer waits for
	segments   []segment
	buffered   int       // bytes in segments
	err        error     // of the reader
	readerLost bool      // the reader's machine lost power, which the writer doesn't see
	deadline   time.Time // of the reader
	timer      *time.Timer
	firesAt    time.Time // when timer does
}

// wakeAt wakes all waiters at a time. A reader and a writer may wait, so an earlier time that is set is kept. p.mu is held.
func (p *pipe) wakeAt(at time.Time) {
	if p.timer != nil {
		if now := time.Now(); p.firesAt.After(now) && at.After(p.firesAt) {
			return
		}
		p.timer.Stop()
	}
	p.firesAt = at
	p.timer = time.AfterFunc(time.Until(at), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.changed.Broadcast()
	})
}

// fail ends the pipe for both its ends; the first error counts.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
	p.changed.Broadcast()
}

// readable reports whether a read would not wait; p.mu is held.
func (p *pipe) readable() bool {
	return p.err != nil || p.readerLost || p.nextArrives() && !p.segments[0].arrivesAt.After(time.Now())
}

// nextArrives reports whether there is a segment that has arrived or will; p.mu is held.
func (p *pipe) nextArrives() bool { return len(p.segments) > 0 && !p.segments[0].arrivesAt.IsZero() }

// read waits until something has arrived, the pipe has failed or the deadline has passed.
func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		switch {
		case p.err != nil:
			return 0, p.err
		case p.readerLost:
			return 0, net.ErrClosed
		case p.readable():
			return p.readArrived(b)
		case !p.deadline.IsZero() && !p.deadline.After(now):
			return 0, os.ErrDeadlineExceeded
		}
		wake := p.deadline
		if p.nextArrives() && (wake.IsZero() || p.segments[0].arrivesAt.Before(wake)) {
			wake = p.segments[0].arrivesAt
		}
		if !wake.IsZero() {
			p.wakeAt(wake)
		}
		p.changed.Wait()
	}
}

// readArrived copies from the first segment, which must have arrived; p.mu must be held.
func (p *pipe) readArrived(b []byte) (int, error) {
	first := &p.segments[0]
	if first.fin {
		return 0, io.EOF
	}
	n := copy(b, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		p.segments = p.segments[1:]
	}
	p.buffered -= n
	p.changed.Broadcast()
	return n, nil
}

func newPipe() *pipe {
	p := &pipe{}
	p.changed = sync.NewCond(&p.mu)
	return p
}
