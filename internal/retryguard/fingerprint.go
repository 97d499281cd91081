package retryguard

import "github.com/cespare/xxhash/v2"

// FingerprintOf returns the fingerprint by which a retry is known, 0 for none. An idempotency key says which request it is; for
// others the class, customer and key do, as each try has a new trace id.
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
	bucketEntries = 4       // entries of a bucket; with two buckets a fingerprint, nine tenths fill before one is evicted
	entryBytes    = 8       // memory of an entry
	timeUnit      = 1 << 22 // nanoseconds, some 4 ms, of the times in an entry
	timeModulus   = 1 << 16 // after which times wrap around: 275 s
)

// maxLifetime bounds the age of entries: well before their times wrap around.
const maxLifetime = 200 * second

// entry is a tag of 32 bits, the time at which a request went unserved, and the units from then to its appointment, 0 for none.
// The entry 0 is free.
type entry uint64

func pack(tag uint64, rejectedAt, delay uint64) entry {
	return entry(tag<<32 | rejectedAt%timeModulus<<16 | min(delay, timeModulus-1))
}

func (e entry) tag() uint64        { return uint64(e) >> 32 }
func (e entry) rejectedAt() uint64 { return uint64(e) >> 16 % timeModulus }
func (e entry) delay() uint64      { return uint64(e) % timeModulus }

// Fingerprints remembers requests that lately went unserved, each for some time: a set-associative table with two buckets a
// fingerprint and 8 bytes an entry. Its memory is fixed: where both buckets are full, the oldest entry is evicted, and the retry
// that follows passes for a first try.
//
// A first try is taken for a retry with a probability of 2^-31 for each entry that it is compared with, eight at most: 4e-9. A
// map takes some 40 bytes an entry and must be walked to drop old ones.
type Fingerprints struct {
	entries    []entry
	mask       uint64 // of a bucket's number
	lifetime   uint64 // in units
	sweepIndex int    // the next entry for Sweep
	Evicted    uint64 // entries that were evicted before their time
}

// NewFingerprints makes a table of at most so many bytes that keeps each entry for a time, in nanoseconds, 200 s at most.
func NewFingerprints(bytes int, lifetime int64) *Fingerprints {
	buckets := 1
	for buckets*2*bucketEntries*entryBytes <= bytes {
		buckets *= 2
	}
	return &Fingerprints{
		entries:  make([]entry, buckets*bucketEntries),
		mask:     uint64(buckets - 1),
		lifetime: uint64(min(lifetime, maxLifetime) / timeUnit),
	}
}

// buckets are the two that may hold a fingerprint; its tag is never 0.
func (f *Fingerprints) buckets(fingerprint uint64) (tag uint64, buckets [2][]entry) {
	tag = fingerprint>>32 | 1
	return tag, [2][]entry{f.bucket(fingerprint & f.mask), f.bucket(mix(fingerprint) & f.mask)}
}

func (f *Fingerprints) bucket(n uint64) []entry {
	return f.entries[n*bucketEntries : (n+1)*bucketEntries]
}

// age is an entry's age in units, and whether it is free or too old. A clock that was set back makes all old.
func (f *Fingerprints) age(e entry, now uint64) (age uint64, expired bool) {
	age = (now - e.rejectedAt()) % timeModulus
	return age, e == 0 || age > f.lifetime
}

// Put remembers that a request went unserved, and the appointment of its client, 0 for none.
func (f *Fingerprints) Put(fingerprint uint64, now, due int64) {
	if fingerprint == 0 {
		return
	}
	tag, buckets := f.buckets(fingerprint)
	units := uint64(now / timeUnit)
	var target *entry
	var oldest uint64
	for _, bucket := range buckets {
		for i := range bucket {
			age, expired := f.age(bucket[i], units)
			if expired {
				age = timeModulus // beyond any age
			}
			if target == nil || age > oldest {
				target = &bucket[i]
				oldest = age
			}
		}
	}
	if oldest < timeModulus {
		f.Evicted++
	}
	*target = pack(tag, units, uint64(max(0, due-now)/timeUnit))
}

// Take forgets the oldest entry of a fingerprint, and returns when its request went unserved and its appointment, 0 for none.
func (f *Fingerprints) Take(fingerprint uint64, now int64) (rejectedAt, due int64, ok bool) {
	if fingerprint == 0 {
		return 0, 0, false
	}
	found, age := f.oldest(fingerprint, uint64(now/timeUnit))
	if found == nil {
		return 0, 0, false
	}
	rejectedAt = now - int64(age)*timeUnit
	if delay := found.delay(); delay > 0 {
		due = rejectedAt + int64(delay)*timeUnit
	}
	*found = 0
	return rejectedAt, due, true
}

// oldest is the oldest entry of a fingerprint with its age, nil if there is none.
func (f *Fingerprints) oldest(fingerprint, now uint64) (found *entry, oldest uint64) {
	tag, buckets := f.buckets(fingerprint)
	for _, bucket := range buckets {
		for i := range bucket {
			age, expired := f.age(bucket[i], now)
			if expired || bucket[i].tag() != tag {
				continue
			}
			if found == nil || age > oldest {
				found = &bucket[i]
				oldest = age
			}
		}
	}
	return found, oldest
}

// Sweep frees some entries that are too old; all of them within 26 s of ticks, so that none lives until times wrap around.
func (f *Fingerprints) Sweep(now int64) {
	units := uint64(now / timeUnit)
	for range min(len(f.entries), max(64, len(f.entries)/256)) {
		if _, expired := f.age(f.entries[f.sweepIndex], units); expired {
			f.entries[f.sweepIndex] = 0
		}
		f.sweepIndex = (f.sweepIndex + 1) % len(f.entries)
	}
}

// Bytes is the memory of the table.
func (f *Fingerprints) Bytes() int { return entryBytes * len(f.entries) }
