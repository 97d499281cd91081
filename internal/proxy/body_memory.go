package proxy

import "sync/atomic"

// A request body stays in memory until the request has its final response and no attempt is in flight, because a retry needs all of it.
// All bodies together may use a quarter of the machine's memory, which is reserved before a body is read. Long bodies must leave part of
// that to short ones, so that a few clients that announce long bodies and send nothing don't block all others. A body that doesn't fit is
// rejected at once.

const (
	bodyMemoryDivisor = 4        // bodies may use 1/4 of the machine's memory
	shortBodyDivisor  = 8        // 1/8 of the memory for bodies is reserved for short ones
	shortBodyBytes    = 64 << 10 // maximum length of a short body
	firstChunkBytes   = 4 << 10  // initial buffer for a body of unknown length
)

// bodyMemoryLimit returns the number of bytes that all bodies together may use once a body of this length in bytes is added.
func (p *Proxy) bodyMemoryLimit(length int64) int64 {
	limit := int64(p.Settings.MemoryMB) << 20 / bodyMemoryDivisor
	if length > shortBodyBytes {
		limit -= limit / shortBodyDivisor
	}
	return limit
}

// reserveBody reserves memory for a body and reports whether there was enough. length is the length of the body, or of what has been read so
// far plus the new buffer if the length is unknown.
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

// bodyReservation is the memory reserved for a request's body. It is reference-counted: the client's handler and each attempt hold a
// reference, and the last release returns the memory. It is guarded by the mu of its clientRequest.
type bodyReservation struct {
	total   *atomic.Int64 // bytes reserved for all bodies; nil if nothing is accounted
	bytes   int64
	holders int // reference count
}

func (r *bodyReservation) retain() { r.holders++ }

func (r *bodyReservation) release() {
	r.holders--
	if r.holders == 0 && r.total != nil {
		r.total.Add(-r.bytes)
	}
}
