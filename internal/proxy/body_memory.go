package proxy

import "sync/atomic"

// Memory of requests' bodies. A body is held whole until its request has its final answer and none of its hand-offs is out: it
// may have to be sent to another host. All bodies together have a quarter of the machine's memory (bytes), counted before a
// body is read; long ones leave a part of that to short ones, so that a few clients that state long bodies and send nothing
// don't keep out all others. Who finds no room is refused at once.

const (
	shortBodyBytes  = 64 << 10 // bytes
	firstChunkBytes = 4 << 10  // bytes of a body without a stated length that are made room for first
)

// bodyMemoryLimit is the bytes that all bodies may have together, with one of this length (bytes) among them.
func (p *Proxy) bodyMemoryLimit(length int64) int64 {
	all := int64(p.Settings.MemoryMB) << 20 / 4
	if length > shortBodyBytes {
		all -= all / 8
	}
	return all
}

// reserveBody takes up so many bytes for a body, if they are there; length is what the body has, or has by now.
func (p *Proxy) reserveBody(bytes, length int64) bool {
	for most := p.bodyMemoryLimit(length); ; {
		held := p.heldBodyBytes.Load()
		if held+bytes > most {
			return false
		}
		if p.heldBodyBytes.CompareAndSwap(held, held+bytes) {
			return true
		}
	}
}

// bodyReservation is what a request's body takes up, until the last who uses it leaves: the client's handler, and hand-offs. It has its
// owner's lock.
type bodyReservation struct {
	total   *atomic.Int64
	bytes   int64 // bytes
	holders int
}

func (r *bodyReservation) retain() { r.holders++ }

func (r *bodyReservation) release() {
	if r.holders--; r.holders == 0 && r.total != nil {
		r.total.Add(-r.bytes)
	}
}
