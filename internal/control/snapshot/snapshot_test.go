package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

func items(n int) []config.Item {
	set := config.NewSet()
	for k := range n {
		i := config.Item{Kind: config.KindRoutes, Name: fmt.Sprint("route-", k), Version: uint64(k * k), Body: fmt.Appendf(nil, `{"name":"route-%d","path-prefix":"/p%d/"}`, k, k)}
		switch k % 5 {
		case 1:
			i.Deleted, i.Body = true, nil
		case 2:
			i.Kind = config.KindQuotas
		}
		set.Merge(i)
	}
	return set.All()
}

func newHeader(c testing.TB, all []config.Item, number uint64) Header {
	h, err := NewHeader(all, 3, number)
	qt.Assert(c, err, qt.IsNil)
	return h
}

// chunks returns all chunks of a snapshot, in order.
func chunks(all []config.Item, h Header) (raws [][]byte) {
	for from, done := 0, false; !done; {
		var raw []byte
		raw, from, done = EncodeChunk(all, h, from)
		raws = append(raws, raw)
	}
	return raws
}

// Snapshots of all sizes must survive encoding and decoding unchanged, in chunks of at most MaxChunkBytes.
func TestRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 2, 700, 5000} {
		c := qt.New(t)
		all := items(n)
		h := newHeader(c, all, 41)
		var assembler Assembler
		got := []config.Item{}
		for _, raw := range chunks(all, h) {
			c.Check(len(raw) <= MaxChunkBytes, qt.IsTrue)
			c.Check(assembler.Done(), qt.IsFalse)
			added, err := assembler.Add(raw)
			c.Assert(err, qt.IsNil)
			got = append(got, added...)
		}
		c.Check(assembler.Done(), qt.IsTrue)
		c.Check(got, qt.DeepEquals, all)
		same, _ := assembler.Header()
		c.Check(same, qt.Equals, h)
		c.Check(same.Epoch, qt.Equals, uint64(3))
		c.Check(h.OlderThan(newHeader(c, all, 42)), qt.IsTrue)
	}
}

// Repeated, early, corrupted and foreign chunks must not change the Assembler: a transfer that continues at Received must complete with
// all items and the right checksum.
func TestUnreliableTransfers(t *testing.T) {
	all, other := items(3000), items(2999)
	h, x := newHeader(t, all, 7), newHeader(t, other, 8)
	good, foreign := chunks(all, h), chunks(other, x)
	chunkAt := map[int]int{} // index of a chunk, by the index of its first item
	for from, at := 0, 0; from < len(all); at++ {
		chunkAt[from] = at
		_, from, _ = EncodeChunk(all, h, from)
	}
	for seed := range uint64(100) {
		c := qt.New(t)
		rng := rand.New(rand.NewPCG(seed, 5))
		var assembler Assembler
		var got []config.Item
		for step := 0; !assembler.Done() && step < 1000; step++ {
			raw := good[chunkAt[assembler.Received()]] // the next chunk
			switch rng.IntN(6) {
			case 0:
				raw = good[rng.IntN(len(good))]
			case 1:
				raw = bytes.Clone(raw)
				raw[rng.IntN(len(raw))] ^= byte(1 + rng.IntN(255))
			case 2:
				raw = raw[:rng.IntN(len(raw))]
			case 3:
				if _, started := assembler.Header(); started {
					raw = foreign[rng.IntN(len(foreign))]
				}
			}
			added, err := assembler.Add(raw)
			if err != nil {
				c.Assert(added, qt.HasLen, 0)
			}
			got = append(got, added...)
			c.Assert(assembler.Received(), qt.Equals, len(got))
		}
		again, err := NewHeader(got, h.Epoch, h.Index)
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.Equals, h)
	}
}

// Valid chunks that do not form one snapshot must be rejected.
func TestInconsistentChunks(t *testing.T) {
	c := qt.New(t)
	all := items(3000)
	h := newHeader(c, all, 7)
	good := chunks(all, h)
	c.Assert(len(good) > 2, qt.IsTrue)
	changed := append([]config.Item(nil), all...)
	changed[len(changed)-1].Version++
	for name, x := range map[string]struct {
		raws    [][]byte
		wantErr string
	}{
		"item with another version": {append(append([][]byte(nil), good[:len(good)-1]...), chunks(changed, h)[len(good)-1]), "the checksum of all items.*"},
		"out of order": {[][]byte{func() []byte {
			raw, _, _ := EncodeChunk([]config.Item{all[1], all[0]}, h, 0)
			return raw
		}()}, ".*out of order"},
		"across":      {[][]byte{good[0], func() []byte { raw, _, _ := EncodeChunk(all, h, 9); return raw }()}, ".*does not follow.*"},
		"after a gap": {good[1:], ".*does not follow.*"},
		"other":       {[][]byte{good[0], chunks(all, newHeader(c, all, 8))[1]}, ".*another snapshot.*"},
	} {
		t.Run(name, func(t *testing.T) {
			var assembler Assembler
			var err error
			for _, raw := range x.raws {
				if _, err = assembler.Add(raw); err != nil {
					break
				}
			}
			qt.Check(t, err, qt.ErrorMatches, x.wantErr)
			qt.Check(t, assembler.Done(), qt.IsFalse)
		})
	}
}

// NewHeader must reject items that exceed a limit or are out of order, and name the item.
func TestHeaderLimits(t *testing.T) {
	c := qt.New(t)
	_, err := NewHeader([]config.Item{{Kind: "routes", Name: "long", Body: make([]byte, maxItemBytes)}}, 1, 1)
	c.Check(err, qt.ErrorMatches, "routes long: .* bytes exceed the maximum of .*")
	_, err = NewHeader([]config.Item{{Kind: "routes", Name: "b"}, {Kind: "routes", Name: "a"}}, 1, 1)
	c.Check(err, qt.ErrorMatches, "routes a: out of order")
	_, err = NewHeader([]config.Item{{Kind: "routes", Name: "b"}, {Kind: "routes", Name: "b"}}, 1, 1)
	c.Check(err, qt.ErrorMatches, "routes b: out of order")
	var many []config.Item
	for n := range 80 {
		many = append(many, config.Item{Kind: "routes", Name: fmt.Sprintf("%03d", n), Body: make([]byte, maxItemBytes-100)})
	}
	_, err = NewHeader(many, 1, 1)
	c.Check(err, qt.ErrorMatches, "more than .* bytes of items")
}

// Arbitrary bytes must not crash Add, and the items of an accepted snapshot must have the header that was received.
func FuzzAssembler(f *testing.F) {
	for _, n := range []int{0, 1, 9} {
		all := items(n)
		for _, raw := range chunks(all, newHeader(f, all, 4)) {
			f.Add(raw, uint16(8), byte(1))
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte, at uint16, x byte) {
		for range 2 { // first the input itself, then a modified one with a valid checksum
			var assembler Assembler
			got, err := assembler.Add(raw)
			if h, started := assembler.Header(); err == nil && started && assembler.Done() {
				again, err := NewHeader(got, h.Epoch, h.Index)
				if err != nil || again != h {
					t.Fatalf("received header %v, header of its items %v: %v", h, again, err)
				}
			}
			if len(raw) < 10 {
				return
			}
			raw = bytes.Clone(raw)
			raw[int(at)%(len(raw)-4)] ^= x
			raw = appendChecksum(raw[:len(raw)-4])
		}
	})
}

// A transfer of 3,200 routes and 33,000 quotas must need little more memory at a time than a chunk, in addition to the items.
func TestAtSize(t *testing.T) {
	c := qt.New(t)
	set := config.NewSet()
	for n := range 36200 {
		i := config.Item{Kind: config.KindQuotas, Name: fmt.Sprint("tenant-", n), Version: uint64(n)}
		i.Body, _ = json.Marshal(map[string]any{"name": i.Name, "service": fmt.Sprint("service-", n%220), "caller-header": "X-Agency", "caller": fmt.Sprint("agency-", n), "per-s": 2.5, "burst": 5})
		if n < 3200 {
			i.Kind = config.KindRoutes
			i.Body, _ = json.Marshal(map[string]any{"name": i.Name, "host-name": fmt.Sprintf("h%d.example", n%400), "path-prefix": fmt.Sprintf("/p%d/", n), "route-kind": "safe_method",
				"timeout-s": 1.5, "target-s": 0.6, "priority-level": 2, "service": fmt.Sprint("service-", n%220), "maximum-attempts": 2, "home-regions": []string{}})
		}
		set.Merge(i)
	}
	all := set.All()
	began := time.Now()
	h := newHeader(c, all, 10000)
	took := time.Since(began)
	var assembler Assembler
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before, peak, allocated := m.HeapAlloc, uint64(0), m.TotalAlloc
	bytes, longest, n := 0, 0, 0
	began = time.Now()
	for from, done := 0, false; !done; n++ {
		var raw []byte
		raw, from, done = EncodeChunk(all, h, from)
		_, err := assembler.Add(raw)
		c.Assert(err, qt.IsNil)
		bytes, longest = bytes+len(raw), max(longest, len(raw))
		if n%10 == 0 {
			runtime.GC()
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc-min(before, m.HeapAlloc))
		}
	}
	c.Check(assembler.Done(), qt.IsTrue)
	runtime.ReadMemStats(&m)
	perChunk := (m.TotalAlloc - allocated) / uint64(n) // bytes allocated by both sides
	c.Logf("%d items: header in %v, %d chunks in %v, %d bytes in total, longest chunk %d bytes, peak heap growth %d KB, %d KB allocated per chunk", len(all), took, n, time.Since(began), bytes, longest, peak>>10, perChunk>>10)
	c.Check(perChunk < 3<<20, qt.IsTrue)
	c.Check(peak < 2<<20, qt.IsTrue, qt.Commentf("heap grew by %d bytes", peak))
	c.Check(longest < 64<<10, qt.IsTrue)
	runtime.KeepAlive(all)
	runtime.KeepAlive(set)
}

// A reader must be able to complete a cached snapshot while the items change. An expired snapshot is served only if the current items are
// the same, and the cache never exceeds maxCached.
func TestCache(t *testing.T) {
	c := qt.New(t)
	var cache Cache
	all, number := items(3000), uint64(5)
	current := func() ([]config.Item, uint64, uint64) { return all, 3, number }
	first, err := cache.Serve(0, ReadRequest{}, current)
	c.Assert(err, qt.IsNil)
	old := all
	all, number = items(2000), 6
	var assembler Assembler
	got, err := assembler.Add(first.Chunk)
	c.Assert(err, qt.IsNil)
	for resp := first; !resp.Done; {
		resp, err = cache.Serve(int64(time.Second), ReadRequest{Snapshot: first.Snapshot, FirstItem: resp.NextItem}, current)
		c.Assert(err, qt.IsNil)
		added, err := assembler.Add(resp.Chunk)
		c.Assert(err, qt.IsNil)
		got = append(got, added...)
	}
	c.Check(assembler.Done(), qt.IsTrue)
	c.Check(got, qt.DeepEquals, old)

	_, err = cache.Serve(int64(40*time.Second), ReadRequest{Snapshot: first.Snapshot, FirstItem: 100}, current)
	c.Check(apierror.KindOf(err), qt.Equals, apierror.NotFound)
	all, number = old, 5
	_, err = cache.Serve(int64(40*time.Second), ReadRequest{Snapshot: first.Snapshot, FirstItem: 100}, current)
	c.Check(err, qt.IsNil)
	_, err = cache.Serve(int64(40*time.Second), ReadRequest{FirstItem: 3001}, current)
	c.Check(apierror.KindOf(err), qt.Equals, apierror.Invalid)
	for number = range 9 {
		_, err = cache.Serve(int64(41*time.Second), ReadRequest{}, current)
		c.Assert(err, qt.IsNil)
		c.Check(len(cache.snapshots) <= maxCached, qt.IsTrue)
	}
}

// Out-of-order and repeated chunks of a restore must not be added, the items must be returned only once, and a chunk retransmitted after
// Finish must get the outcome. Another restore must be rejected until the first one was idle for idleTimeout.
func TestUpload(t *testing.T) {
	c := qt.New(t)
	all, other := items(3000), items(10)
	h, x := newHeader(c, all, 7), newHeader(c, other, 8)
	raws := chunks(all, h)
	var upload Upload
	resp, _, _, err := upload.AddChunk(1, raws[1])
	c.Assert(err, qt.IsNil)
	c.Check(resp.ReceivedItems, qt.Equals, 0)
	resp, _, _, err = upload.AddChunk(1, raws[0])
	c.Assert(err, qt.IsNil)
	received := resp.ReceivedItems
	resp, _, _, _ = upload.AddChunk(2, raws[2])
	c.Check(resp, qt.Equals, RestoreResponse{Snapshot: h.String(), ReceivedItems: received})
	_, _, _, err = upload.AddChunk(3, chunks(other, x)[0])
	c.Check(apierror.KindOf(err), qt.Equals, apierror.InProgress)
	_, _, _, err = upload.AddChunk(3, raws[1][:40])
	c.Check(apierror.KindOf(err), qt.Equals, apierror.Invalid)
	var got []config.Item
	for _, raw := range raws[1:] {
		c.Assert(got, qt.HasLen, 0)
		if resp, got, _, err = upload.AddChunk(4, raw); err != nil {
			t.Fatal(err)
		}
	}
	c.Check(got, qt.DeepEquals, all)
	c.Check(resp, qt.Equals, RestoreResponse{Snapshot: h.String(), ReceivedItems: len(all)})
	resp, got, _, err = upload.AddChunk(5, raws[len(raws)-1]) // before Finish
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.HasLen, 0)
	c.Check(resp.InForce, qt.IsFalse)
	c.Check(resp.ReceivedItems, qt.Equals, len(all))
	upload.Finish(x, true) // another snapshot: ignored
	upload.Finish(h, true)
	resp, got, _, err = upload.AddChunk(5, raws[len(raws)-1])
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.HasLen, 0)
	c.Check(resp, qt.Equals, RestoreResponse{Snapshot: h.String(), ReceivedItems: len(all), InForce: true})
	upload.Finish(h, false)
	resp, _, _, _ = upload.AddChunk(6, raws[len(raws)-1]) // not applied: starts over
	c.Check(resp.ReceivedItems, qt.Equals, 0)
	upload.AddChunk(6, raws[0])
	resp, got, _, err = upload.AddChunk(6+int64(idleTimeout)+1, chunks(other, x)[0]) // the first restore has timed out
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.HasLen, len(other))
	c.Check(resp.Snapshot, qt.Equals, x.String())
}

func TestValidateItem(t *testing.T) {
	c := qt.New(t)
	c.Check(ValidateItem(config.Item{Kind: config.KindRoutes, Name: "r", Deleted: true}), qt.IsNil)
	c.Check(ValidateItem(config.Item{Kind: config.KindCore, Name: "10.1.0.1", Body: []byte(`{"name":"a"}`)}), qt.IsNil)
	c.Check(ValidateItem(config.Item{Kind: config.KindRoutes, Name: "r", Body: []byte(`{"name":"r","path-prefix":"x"}`)}), qt.ErrorMatches, `(?s)routes r: .*path-prefix.*`)
	c.Check(errors.Is(ValidateItem(config.Item{Kind: strings.Repeat(" ", 0), Name: "r"}), nil), qt.IsFalse)
}
