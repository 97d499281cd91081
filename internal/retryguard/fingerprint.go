package retryguard

import "github.com/cespare/xxhash/v2"

// FingerprintOf returns the fingerprint by which a retry of the request is recognized, or 0 if the request has neither an
// idempotency key nor a key. The fingerprint covers class, customer and the idempotency key if there is one, otherwise key.
// The trace ID is of no use here, as each retry has a new one.
func FingerprintOf(class, customer int, key uint64, idempotencyKey string) uint64 {
	x := key
	if idempotencyKey != "" {
		x = xxhash.Sum64String(idempotencyKey)
	} else if key == 0 {
		return 0
	}
	return max(1, mix(x^mix(uint64(class)<<32|uint64(uint32(customer)))))
}

// mix is a 64-bit hash, the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	bucketEntries = 4       // per bucket; with two buckets per fingerprint, the table is about 90% full before the first eviction
	entryBytes    = 8       // size of an entry
	timeUnit      = 1 << 22 // resolution of the times in an entry: 4.2 ms, in nanoseconds
	timeModulus   = 1 << 16 // times in an entry are modulo timeModulus units, 275 s
)

// maxLifetime is the longest lifetime of an entry, well below the 275 s after which its time wraps around.
const maxLifetime = 200 * second

// entry packs a 32-bit tag, the 16-bit time at which the request was rejected or abandoned, and the 16-bit delay from then to
// its appointment, 0 for none. Times are in units of timeUnit. The value 0 is a free entry.
type entry uint64

func pack(tag uint64, rejectedAt, delay uint64) entry {
	return entry(tag<<32 | rejectedAt%timeModulus<<16 | min(delay, timeModulus-1))
}

func (e entry) tag() uint64        { return uint64(e) >> 32 }
func (e entry) rejectedAt() uint64 { return uint64(e) >> 16 % timeModulus }
func (e entry) delay() uint64      { return uint64(e) % timeModulus }

// Fingerprints is the set of requests that were recently rejected or abandoned, with their appointments. It is a set-associative
// table with two buckets per fingerprint and 8 bytes per entry. Its memory is fixed: if both buckets are full, the oldest entry
// is evicted, and a later retry of that request counts as a first try.
//
// Each comparison of a first try with an entry has a false positive rate of 2^-31; with at most eight entries compared, a first
// try counts as a retry with a probability of 4e-9. A map would take some 40 bytes per entry and a full scan to expire entries.
type Fingerprints struct {
	entries    []entry
	mask       uint64 // masks a hash to a bucket index
	lifetime   uint64 // in units of timeUnit
	sweepIndex int    // index of the next entry that Sweep checks
	Evicted    uint64 // entries that were evicted before they expired
}

// NewFingerprints returns an empty table of at most the given size, rounded down to a power of two and at least one bucket.
// Entries expire after lifetime nanoseconds, at most 200 s.
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

// buckets returns the tag of a fingerprint, which is never 0, and the two buckets that may contain it.
func (f *Fingerprints) buckets(fingerprint uint64) (tag uint64, buckets [2][]entry) {
	tag = fingerprint>>32 | 1
	return tag, [2][]entry{f.bucket(fingerprint & f.mask), f.bucket(mix(fingerprint) & f.mask)}
}

func (f *Fingerprints) bucket(n uint64) []entry {
	return f.entries[n*bucketEntries : (n+1)*bucketEntries]
}

// age returns the age of an entry in units of timeUnit and whether the entry is free or expired. Ages are modulo timeModulus:
// if the clock is set back a little, entries with later times have a large age and count as expired.
func (f *Fingerprints) age(e entry, now uint64) (age uint64, expired bool) {
	age = (now - e.rejectedAt()) % timeModulus
	return age, e == 0 || age > f.lifetime
}

// Put records that a request was rejected or abandoned at now, with its appointment at due, 0 for none. A fingerprint of 0 is
// ignored.
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
				age = timeModulus // greater than any age
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

// Take removes the oldest entry of a fingerprint and returns the time at which the request was rejected or abandoned and its
// appointment, 0 for none. ok is false if there is no such entry.
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

// oldest returns the oldest unexpired entry of a fingerprint and its age, or nil if there is none.
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

// Sweep frees the expired entries in the next part of the table. Called once per tick, it covers the table in at most 26 s, so
// that no expired entry remains until its time wraps around.
func (f *Fingerprints) Sweep(now int64) {
	units := uint64(now / timeUnit)
	for range min(len(f.entries), max(64, len(f.entries)/256)) {
		if _, expired := f.age(f.entries[f.sweepIndex], units); expired {
			f.entries[f.sweepIndex] = 0
		}
		f.sweepIndex = (f.sweepIndex + 1) % len(f.entries)
	}
}

// Bytes returns the size of the table's entries in memory, which never changes.
func (f *Fingerprints) Bytes() int { return entryBytes * len(f.entries) }
