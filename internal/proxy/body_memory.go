package proxy

import "sync/atomic"

// A request's body is held completely until the request has its final answer and none of its attempts is in flight, as it may have to
// be sent to another host. All bodies together have a quarter of the machine's memory, reserved before a body is read; long
// bodies leave a part of that to short ones, so that a few clients that state long bodies and send nothing don't keep out all others.
// A body that finds no memory is refused at once.

const (
	bodyMemoryDivisor = 4        // of the machine's memory, for all bodies
	shortBodyDivisor  = 8        // of the bodies' memory, for short bodies alone
	shortBodyBytes    = 64 << 10 // up to which a body is short
	firstChunkBytes   = 4 << 10  // reserved first for a body without a stated length
)

// bodyMemoryLimit is how many bytes all bodies may have together, with one of this length (bytes) among them.
func (p *Proxy) bodyMemoryLimit(length int64) int64 {
	limit := int64(p.Settings.MemoryMB) << 20 / bodyMemoryDivisor
	if length > shortBodyBytes {
		limit -= limit / shortBodyDivisor
	}
	return limit
}

// reserveBody reserves so many bytes for a body, if they are free; length is what the body has, or has by now.
func (p *Proxy) reserveBody(bytes, length int64) bool {
	limit := p.bodyMemoryLimit(length)
	for {
		reserved := p.heldBodyBytes.Load()
		if reserved+bytes > limit {
			return false
		}
		if p.heldBodyBytes.CompareAndSwap(reserved, reserved+bytes) {
			return true
		}
	}
}

// bodyReservation is the memory of a request's body, until the last of its holders releases it: the client's handler, and attempts.
// Its owner's lock guards it.
type bodyReservation struct {
	total   *atomic.Int64 // of all bodies, bytes
	bytes   int64
	holders int
}

func (r *bodyReservation) retain() { r.holders++ }

func (r *bodyReservation) release() {
	r.holders--
	if r.holders == 0 && r.total != nil {
		r.total.Add(-r.bytes)
	}
}
