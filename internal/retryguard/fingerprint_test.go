package retryguard

import (
	"testing"
)

// The table keeps its size under a flood of fingerprints, finds recent ones, and drops expired ones before times wrap around.
func TestFingerprints(t *testing.T) {
	table := NewFingerprints(64<<10, 5*second)
	now := int64(1e18)
	found := 0
	for i := range 1_000_000 {
		now += second / 100_000
		table.Put(mix(uint64(i)+1), now, 0)
		if i >= 1000 && i%100 == 0 {
			if _, _, ok := table.Take(mix(uint64(i-1000)+1), now); ok {
				found++
			}
		}
	}
	if table.Bytes() != 64<<10 || table.Evicted == 0 || found < 9900 {
		t.Error(table.Bytes(), table.Evicted, found)
	}
	falsePositives := 0
	for i := range 1_000_000 {
		if _, _, ok := table.Take(mix(uint64(i)+1e9), now); ok {
			falsePositives++
		}
	}
	if falsePositives > 2 {
		t.Error(falsePositives, "false positives in a million lookups")
	}
	table.Put(5, now, now+3*second)
	if rejectedAt, due, ok := table.Take(5, now+second); !ok || rejectedAt-now > timeUnit || now-rejectedAt > timeUnit || due-now-3*second > 2*timeUnit || now+3*second-due > 2*timeUnit {
		t.Error(rejectedAt-now, due-now, ok)
	}
	if _, _, ok := table.Take(5, now+second); ok {
		t.Error("found twice")
	}
	table.Put(6, now, 0)
	if _, _, ok := table.Take(6, now+6*second); ok {
		t.Error("found after it expired")
	}
	table.Put(7, now, 0)
	for i := range int64(300) { // longer than times take to wrap around
		for range 10 {
			table.Sweep(now + i*second)
		}
	}
	if _, _, ok := table.Take(7, now+timeModulus*timeUnit); ok {
		t.Error("found after times wrapped around")
	}
}

// Compares the table with a map, both with half a million entries: each fingerprint is taken half a million puts after its own.
func BenchmarkFingerprints(b *testing.B) {
	const half = 500_000
	now := int64(1e18)
	b.Run("table", func(b *testing.B) {
		table := NewFingerprints(16<<20, 60*second)
		i := uint64(0)
		for b.Loop() {
			i++
			table.Put(mix(i), now, 0)
			table.Take(mix(i-min(i, half)), now)
		}
	})
	b.Run("map", func(b *testing.B) {
		entries := map[uint64]int64{}
		i := uint64(0)
		for b.Loop() {
			i++
			entries[mix(i)] = now
			delete(entries, mix(i-min(i, half)))
		}
	})
}
