package retryguard

import "github.com/cespare/xxhash/v2"

// FingerprintOf is the fingerprint by which a further try is known: a referenced command's mark says which command it is; of
// others, the band, carrier and key do, as each try has a new id. 0 is none.
func FingerprintOf(class, customer int, key uint64, idempotencyKey string) uint64 {
	x := key
	if idempotencyKey != "" {
		x = xxhash.Sum64String(idempotencyKey)
	} else if key == 0 {
		return 0
	}
	return max(1, mix(x^mix(uint64(class)<<32|uint64(uint32(customer)))))
}

// mix spreads a number's bits (the finisher of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	bucketEntries = 4       // entries a bucket; with two buckets a print they fill to nine tenths before one is lost
	timeUnit      = 1 << 22 // nanoseconds, some 4 ms, of the times in an entry; they come round after 275 s
	timeUnits     = 1 << 16 // units until then
)

// entry is a tag of 32 bits, when its command went unserved, and how many units later its appointment is.
type entry uint64

func pack(tag uint64, made, after uint64) entry {
	return entry(tag<<32 | made%timeUnits<<16 | min(after, timeUnits-1))
}

func (e entry) tag() uint64        { return uint64(e) >> 32 }
func (e entry) rejectedAt() uint64 { return uint64(e) >> 16 % timeUnits }
func (e entry) delay() uint64      { return uint64(e) % timeUnits }

// Fingerprints remembers commands that lately went unserved, each for a while, in 8 bytes; a set-associative table with two
// buckets a print, whose entries age. It takes the bytes it is given and no more: where both buckets are full, the
// oldest is lost, and the try that follows passes for a first one.
//
// A try that never came before is taken for a further one with a chance of 2^-31 for each entry that it meets, eight
// at most: 4e-9. A plain map takes some 40 bytes an entry and has to be walked to age.
type Fingerprints struct {
	entries   []entry
	mask      uint64
	lifetime  uint64 // units
	nextSwept int    // the next entry to be looked at for its age
	Evicted   uint64 // entries that gave way before their time
}

// NewFingerprints makes a table of at most so many bytes that keeps each entry for a time, 200 s at the most.
func NewFingerprints(bytes int, keep int64) *Fingerprints {
	buckets := 1
	for buckets*2*bucketEntries*8 <= bytes {
		buckets *= 2
	}
	return &Fingerprints{entries: make([]entry, buckets*bucketEntries), mask: uint64(buckets - 1),
		lifetime: uint64(min(keep, 200*second) / timeUnit)}
}

// buckets are the two that may hold a print; the tag is never 0, which marks an entry that is free.
func (p *Fingerprints) buckets(fingerprint uint64) (tag uint64, at [2][]entry) {
	tag = fingerprint>>32 | 1
	i, j := fingerprint&p.mask, mix(fingerprint)&p.mask
	return tag, [2][]entry{p.entries[i*bucketEntries : i*bucketEntries+bucketEntries], p.entries[j*bucketEntries : j*bucketEntries+bucketEntries]}
}

// expired tells an entry's age in units, and whether it counts no more. A clock that was set back makes all old.
func (p *Fingerprints) expired(e entry, now uint64) (uint64, bool) {
	age := (now - e.rejectedAt()) % timeUnits
	return age, e == 0 || age > p.lifetime
}

// Put remembers that a command went unserved, and until when its client is expected; due is 0 where it is not.
func (p *Fingerprints) Put(fingerprint uint64, now, due int64) {
	if fingerprint == 0 {
		return
	}
	tag, at := p.buckets(fingerprint)
	unitNow := uint64(now / timeUnit)
	var target *entry
	var oldest uint64
	for _, bucket := range at {
		for i := range bucket {
			age, free := p.expired(bucket[i], unitNow)
			if free {
				age = timeUnits
			}
			if target == nil || age > oldest {
				target, oldest = &bucket[i], age
			}
		}
	}
	if oldest < timeUnits {
		p.Evicted++
	}
	*target = pack(tag, unitNow, uint64(max(0, due-now)/timeUnit))
}

// Take forgets the oldest entry of a print and tells when its command went unserved and is due, 0 for no appointment.
func (p *Fingerprints) Take(fingerprint uint64, now int64) (rejectedAt, due int64, ok bool) {
	if fingerprint == 0 {
		return 0, 0, false
	}
	tag, at := p.buckets(fingerprint)
	units := uint64(now / timeUnit)
	var found *entry
	var oldest uint64
	for _, bucket := range at {
		for i := range bucket {
			if age, free := p.expired(bucket[i], units); !free && bucket[i].tag() == tag && (found == nil || age > oldest) {
				found, oldest = &bucket[i], age
			}
		}
	}
	if found == nil {
		return 0, 0, false
	}
	rejectedAt = now - int64(oldest)*timeUnit
	if after := found.delay(); after > 0 {
		due = rejectedAt + int64(after)*timeUnit
	}
	*found = 0
	return rejectedAt, due, true
}

// Sweep clears some entries whose time is over, so that none lives until the times come round.
func (p *Fingerprints) Sweep(now int64) {
	units := uint64(now / timeUnit)
	for range min(len(p.entries), max(64, len(p.entries)/256)) { // all within 26 s of ticks
		if _, old := p.expired(p.entries[p.nextSwept], units); old {
			p.entries[p.nextSwept] = 0
		}
		p.nextSwept = (p.nextSwept + 1) % len(p.entries)
	}
}

// Bytes is what the table takes.
func (p *Fingerprints) Bytes() int { return 8 * len(p.entries) }
