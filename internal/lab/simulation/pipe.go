package simulation

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// segment is a chunk of data in flight, or the end of the stream.
type segment struct {
	data      []byte
	arrivesAt time.Time // zero while held up by a blocked link
	fin       bool
}

// pipe is one direction of a connection.
type pipe struct {
	mu         sync.Mutex // guards all fields
	changed    *sync.Cond // signaled when a waiting reader or writer must check its condition again
	segments   []segment
	buffered   int       // bytes in segments
	err        error     // first failure; reads return it, and writes fail with EPIPE
	readerLost bool      // the reader's machine lost power, unknown to the writer
	deadline   time.Time // for reads; zero for none
	timer      *time.Timer
	firesAt    time.Time // time at which timer fires
}

// wakeAt wakes all waiters at time at, unless the timer fires earlier: a reader and a writer may both be waiting, and each sets the
// timer again after it wakes up. p.mu must be held.
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

// fail ends the pipe for its reader and its writer. Only the first error is kept.
func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
	p.changed.Broadcast()
}

// readable reports whether read would return without waiting, apart from its deadline; p.mu must be held.
func (p *pipe) readable() bool {
	return p.err != nil || p.readerLost || p.nextArrives() && !p.segments[0].arrivesAt.After(time.Now())
}

// nextArrives reports whether there is a first segment with an arrival time, past or future; p.mu must be held.
func (p *pipe) nextArrives() bool { return len(p.segments) > 0 && !p.segments[0].arrivesAt.IsZero() }

// read blocks until data or the end of the stream has arrived, the pipe has failed or the deadline has passed.
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
