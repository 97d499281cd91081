package fairway

import "sync/atomic"

// Memory of requests' bodies. A body is held whole until its request has its final answer and none of its hand-offs is out: it
// may have to be sent to another host. All bodies together have a quarter of the machine's memory (bytes), counted before a
// body is read; long ones leave a part of that to short ones, so that a few clients that state long bodies and send nothing
// don't keep out all others. Who finds no room is refused at once.

const (
	shortBody = 64 << 10 // bytes
	firstPart = 4 << 10  // bytes of a body without a stated length that are made room for first
)

// stowage is the bytes that all bodies may have together, with one of this length (bytes) among them.
func (f *Fairway) stowage(length int64) int64 {
	all := int64(f.Boot.MemoryMB) << 20 / 4
	if length > shortBody {
		all -= all / 8
	}
	return all
}

// stow takes up so many bytes for a body, if they are there; length is what the body has, or has by now.
func (f *Fairway) stow(bytes, length int64) bool {
	for most := f.stowage(length); ; {
		held := f.held.Load()
		if held+bytes > most {
			return false
		}
		if f.held.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// stowed is what a request's body takes up, until the last who uses it leaves: the client's handler, and hand-offs. It has its
// owner's lock.
type stowed struct {
	in     *atomic.Int64
	weight int64 // bytes
	users  int
}

func (s *stowed) enter() { s.users++ }

func (s *stowed) leave() {
	if s.users--; s.users == 0 && s.in != nil {
		s.in.Add(-s.weight)
	}
}
