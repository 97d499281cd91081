package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/syndtr/goleveldb/leveldb/storage"

	"portflow/internal/cluster/config"
	"portflow/internal/control/store"
)

// newIncompressibleItem returns a quota whose body is hardly compressible.
func newIncompressibleItem(rng *rand.Rand, n int, version uint64) config.Item {
	return config.Item{Kind: config.KindQuotas, Name: fmt.Sprint("tenant-", n), Version: version,
		Body: fmt.Appendf(nil, `{"name":"tenant-%d","x":"%x%x%x%x%x%x%x%x"}`, n, rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64(),
			rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64())}
}

// Compaction must not block writes. A change waits for its own sync, and occasionally for a full buffer to be flushed (two more syncs)
// and for an earlier flush that is still running (another two): the store may miss the signal that a buffer is full, and then flushes
// it only when the next one is full. Times are virtual. The disk usage stays far below the 64 MB of small sites.
func TestCompactionDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := NewDisk()
		d.SyncDelay = 5 * time.Millisecond
		st, _, _, _, err := store.Open(d.Open())
		c.Assert(err, qt.IsNil)
		rng := rand.New(rand.NewPCG(1, 1))
		var latencies []time.Duration
		maxDiskUsage, tables, lastTable := 0, 0, int64(0)
		write := func(items ...config.Item) {
			start := time.Now()
			c.Assert(st.Write(items, map[string][]byte{"number": fmt.Append(nil, len(latencies))}, false), qt.IsNil)
			latencies = append(latencies, time.Since(start))
			size := 0
			d.mu.Lock()
			for fd, f := range d.files {
				size += len(f.data)
				if fd.Type == storage.TypeTable && fd.Num > lastTable {
					tables, lastTable = tables+1, fd.Num
				}
			}
			d.mu.Unlock()
			maxDiskUsage = max(maxDiskUsage, size)
		}
		var all []config.Item
		for n := range 36200 {
			all = append(all, newIncompressibleItem(rng, n, 1))
		}
		for batch := range slices.Chunk(all, 500) {
			write(batch...)
		}
		maxLoading := slices.Max(latencies)
		latencies = nil
		for n := range 10000 {
			write(newIncompressibleItem(rng, rng.IntN(36200), uint64(n+2)))
		}
		c.Assert(st.Close(), qt.IsNil)
		slow := 0
		for _, x := range latencies {
			if x > d.SyncDelay {
				slow++
			}
		}
		slices.Sort(latencies)
		t.Logf("longest write: %v while loading, %v during 10,000 changes, %d of which took longer than one sync; %d tables written; disk usage at most %.1f MB",
			maxLoading, latencies[len(latencies)-1], slow, tables, float64(maxDiskUsage)/1e6)
		c.Check(maxLoading <= 5*d.SyncDelay, qt.IsTrue)
		c.Check(latencies[len(latencies)-1] <= 5*d.SyncDelay, qt.IsTrue)
		c.Check(slow <= 5, qt.IsTrue) // number of buffers that the changes fill
		c.Check(tables > 8, qt.IsTrue)
		c.Check(maxDiskUsage < 24<<20, qt.IsTrue, qt.Commentf("%d bytes", maxDiskUsage))
		time.Sleep(2 * time.Second)
	})
}
