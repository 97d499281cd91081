package simulation

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// segment is some bytes under way, or the end of them.
type segment struct {
	data      []byte
	arrivesAt time.Time // when they arrive; zero while a cut holds them up
	fin       bool
}

// pipe is one direction of a connection.
type pipe struct {
	mu         sync.Mutex
	changed    *sync.Cond
	segments   []segment
	buffered   int
	err        error // of the reader
	readerLost bool  // the reader's machine lost power: the writer isn't told
	deadline   time.Time
	timer      *time.Timer
	firesAt    time.Time // when the alarm does
}

// wakeAt wakes who waits at a time; a reader and a writer may wait, and neither puts off the other's.
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

func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
	p.changed.Broadcast()
}

// readable tells whether something can be read now; the half is locked.
func (p *pipe) readable() bool {
	return p.err != nil || p.readerLost || len(p.segments) > 0 && !p.segments[0].arrivesAt.IsZero() && !p.segments[0].arrivesAt.After(time.Now())
}

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
			head := &p.segments[0]
			if head.fin {
				return 0, io.EOF
			}
			n := copy(b, head.data)
			if head.data = head.data[n:]; len(head.data) == 0 {
				p.segments = p.segments[1:]
			}
			p.buffered -= n
			p.changed.Broadcast()
			return n, nil
		case !p.deadline.IsZero() && !p.deadline.After(now):
			return 0, os.ErrDeadlineExceeded
		}
		wake := p.deadline
		if len(p.segments) > 0 && !p.segments[0].arrivesAt.IsZero() && (wake.IsZero() || p.segments[0].arrivesAt.Before(wake)) {
			wake = p.segments[0].arrivesAt
		}
		if !wake.IsZero() {
			p.wakeAt(wake)
		}
		p.changed.Wait()
	}
}

func newPipe() *pipe {
	h := &pipe{}
	h.changed = sync.NewCond(&h.mu)
	return h
}
