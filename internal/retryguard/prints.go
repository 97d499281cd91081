package retryguard

import "github.com/cespare/xxhash/v2"

// Print is the fingerprint by which a further try is known: a referenced command's mark says which command it is; of
// others, the band, carrier and key do, as each try has a new id. 0 is none.
func Print(band, carrier int, key uint64, mark string) uint64 {
	x := key
	if mark != "" {
		x = xxhash.Sum64String(mark)
	} else if key == 0 {
		return 0
	}
	return max(1, mix(x^mix(uint64(band)<<32|uint64(uint32(carrier)))))
}

// mix spreads a number's bits (the finisher of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	ways = 4       // entries a bucket; with two buckets a print they fill to nine tenths before one is lost
	unit = 1 << 22 // nanoseconds, some 4 ms, of the times in an entry; they come round after 275 s
	span = 1 << 16 // units until then
)

// entry is a tag of 32 bits, when its command went unserved, and how many units later its appointment is.
type entry uint64

func pack(tag uint64, made, after uint64) entry {
	return entry(tag<<32 | made%span<<16 | min(after, span-1))
}

func (e entry) tag() uint64   { return uint64(e) >> 32 }
func (e entry) made() uint64  { return uint64(e) >> 16 % span }
func (e entry) after() uint64 { return uint64(e) % span }

// Prints remembers commands that lately went unserved, each for a while, in 8 bytes; a set-associative table with two
// buckets a print, whose entries age. It takes the bytes it is given and no more: where both buckets are full, the
// oldest is lost, and the try that follows passes for a first one.
//
// A try that never came before is taken for a further one with a chance of 2^-31 for each entry that it meets, eight
// at most: 4e-9. A plain map takes some 40 bytes an entry and has to be walked to age.
type Prints struct {
	entries []entry
	mask    uint64
	keep    uint64 // units
	sweep   int    // the next entry to be looked at for its age
	Lost    uint64 // entries that gave way before their time
}

// NewPrints makes a table of at most so many bytes that keeps each entry for a time, 200 s at the most.
func NewPrints(bytes int, keep int64) *Prints {
	buckets := 1
	for buckets*2*ways*8 <= bytes {
		buckets *= 2
	}
	return &Prints{entries: make([]entry, buckets*ways), mask: uint64(buckets - 1),
		keep: uint64(min(keep, 200*second) / unit)}
}

// buckets are the two that may hold a print; the tag is never 0, which marks an entry that is free.
func (p *Prints) buckets(print uint64) (tag uint64, at [2][]entry) {
	tag = print>>32 | 1
	i, j := print&p.mask, mix(print)&p.mask
	return tag, [2][]entry{p.entries[i*ways : i*ways+ways], p.entries[j*ways : j*ways+ways]}
}

// old tells an entry's age in units, and whether it counts no more. A clock that was set back makes all old.
func (p *Prints) old(e entry, now uint64) (uint64, bool) {
	age := (now - e.made()) % span
	return age, e == 0 || age > p.keep
}

// Put remembers that a command went unserved, and until when its client is expected; due is 0 where it is not.
func (p *Prints) Put(print uint64, now, due int64) {
	if print == 0 {
		return
	}
	tag, at := p.buckets(print)
	made := uint64(now / unit)
	var place *entry
	var oldest uint64
	for _, bucket := range at {
		for i := range bucket {
			age, free := p.old(bucket[i], made)
			if free {
				age = span
			}
			if place == nil || age > oldest {
				place, oldest = &bucket[i], age
			}
		}
	}
	if oldest < span {
		p.Lost++
	}
	*place = pack(tag, made, uint64(max(0, due-now)/unit))
}

// Take forgets the oldest entry of a print and tells when its command went unserved and is due, 0 for no appointment.
func (p *Prints) Take(print uint64, now int64) (made, due int64, ok bool) {
	if print == 0 {
		return 0, 0, false
	}
	tag, at := p.buckets(print)
	units := uint64(now / unit)
	var found *entry
	var oldest uint64
	for _, bucket := range at {
		for i := range bucket {
			if age, free := p.old(bucket[i], units); !free && bucket[i].tag() == tag && (found == nil || age > oldest) {
				found, oldest = &bucket[i], age
			}
		}
	}
	if found == nil {
		return 0, 0, false
	}
	made = now - int64(oldest)*unit
	if after := found.after(); after > 0 {
		due = made + int64(after)*unit
	}
	*found = 0
	return made, due, true
}

// Age clears some entries whose time is over, so that none lives until the times come round.
func (p *Prints) Age(now int64) {
	units := uint64(now / unit)
	for range min(len(p.entries), max(64, len(p.entries)/256)) { // all within 26 s of ticks
		if _, old := p.old(p.entries[p.sweep], units); old {
			p.entries[p.sweep] = 0
		}
		p.sweep = (p.sweep + 1) % len(p.entries)
	}
}

// Bytes is what the table takes.
func (p *Prints) Bytes() int { return 8 * len(p.entries) }
