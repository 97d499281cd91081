package flow

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
)

const second = int64(1e9)

// testSource is a CounterSource whose total the test advances.
type testSource struct{ total, taken Counts }

func (t *testSource) Take() Counts {
	d := Counts{t.total.Forward - t.taken.Forward, t.total.Reverse - t.taken.Reverse, t.total.Commands - t.taken.Commands}
	t.taken = t.total
	return d
}

type testConn struct {
	testSource
	flow *Flow
}

// Guards against records that are lost or counted twice: after each random step the ledger must balance and the backlog must be
// within its limit, and once all connections are closed, all traffic must be counted.
func TestLedgerBalances(t *testing.T) {
	runs := 10000
	if testing.Short() {
		runs = 200
	}
	for seed := range uint64(runs) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		now := int64(1e18)
		b := NewBacklog(recordBytes * (16 + rnd.IntN(40)))
		c := NewCache(Limits{Active: 60 * second, Idle: 15 * second, MaxConnections: 20}, now, b.Add)
		var open []*testConn
		var passed Counts
		ended := uint64(0)
		check := func(step int) {
			if !b.Account.Balanced() || b.Bytes() > recordBytes*b.maxRecords || c.Len() != len(open) {
				t.Fatalf("seed %d, step %d: %+v, %d bytes of %d, %d of %d open", seed, step, b.Account, b.Bytes(), recordBytes*b.maxRecords, c.Len(), len(open))
			}
		}
		for step := range 120 {
			now += rnd.Int64N(5 * second)
			switch p := rnd.IntN(10); {
			case p < 3:
				x := &testConn{}
				x.flow = c.Open(now, Label{Side: Side(rnd.IntN(2)), Carrier: uint16(rnd.IntN(3))}, netip.AddrPort{}, netip.AddrPort{}, &x.testSource)
				open = append(open, x)
			case p < 6 && len(open) > 0:
				x := open[rnd.IntN(len(open))]
				d := Counts{uint64(rnd.IntN(9000)), uint64(rnd.IntN(90000)), 1}
				x.total.Add(d)
				passed.Add(d)
				c.Relabel(now, x.flow, Label{Carrier: uint16(rnd.IntN(3)), Band: uint8(rnd.IntN(2))})
			case p < 7 && len(open) > 0:
				i := rnd.IntN(len(open))
				c.Close(now, open[i].flow, Ended, rnd.IntN(2) == 0)
				open = slices.Delete(open, i, i+1)
				ended++
			case p < 8:
				c.Tick(now)
			default:
				if n := len(b.Take(rnd.IntN(30))); rnd.IntN(3) > 0 { // else the collector is unavailable
					b.Sent(rnd.IntN(n + 1))
				}
			}
			check(step)
		}
		for _, x := range open {
			c.Close(now, x.flow, Forced, true)
			ended++
		}
		open = nil
		check(-1)
		if a := b.Account.Counted; a.Counts != passed || a.Connections != ended {
			t.Fatalf("seed %d: counted %+v, passed %+v; %d connections, %d ended", seed, a.Counts, passed, a.Connections, ended)
		}
	}
}

// A long connection must have periodic, non-overlapping records that add up to its traffic, also above 2^32 octets, and an
// inactive connection a record at the idle timeout.
func TestPeriodicRecords(t *testing.T) {
	now := int64(1e18)
	var all []Record
	c := NewCache(Limits{Active: 60 * second, Idle: 15 * second, MaxConnections: 10}, now, func(r Record) { all = append(all, r) })
	x := &testConn{}
	x.flow = c.Open(now, Label{Carrier: 1}, netip.AddrPort{}, netip.AddrPort{}, &x.testSource)
	for range 3600 {
		now += second
		x.total.Forward += 1 << 23
		x.total.Reverse++
		c.Tick(now)
	}
	activeRecords := len(all)
	for range 60 {
		now += second
		c.Tick(now)
	}
	c.Close(now, x.flow, Ended, false)
	var sum Counts
	for i, r := range all {
		sum.Add(r.Counts)
		if r.End < r.Start || i > 0 && r.Start < all[i-1].End {
			t.Error("periods overlap", r)
		}
	}
	if sum != x.total || activeRecords < 50 || activeRecords > 65 || all[len(all)-1].Reason != Ended || sum.Forward < 1<<32 {
		t.Errorf("%d records, total %+v, want %+v, last %+v", len(all), sum, x.total, all[len(all)-1])
	}
	y := &testConn{}
	y.flow = c.Open(now, Label{Carrier: 1}, netip.AddrPort{}, netip.AddrPort{}, &y.testSource)
	y.total.Forward = 5
	for range 40 {
		now += second
		c.Tick(now)
	}
	if r := all[len(all)-1]; r.Reason != Idle || r.Forward != 5 || r.Connections != 0 {
		t.Errorf("last record of an inactive connection: %+v", r)
	}
	c.Tick(now - 3600*second) // Tick must return after a clock jump
	c.Tick(now + 3600*second)
}

// With the same capacity, folding must keep all traffic where a queue that drops its oldest records loses most of it.
func TestFoldingKeepsTotals(t *testing.T) {
	b := NewBacklog(recordBytes * 200)
	rnd := rand.New(rand.NewPCG(1, 1))
	dropped, kept := uint64(0), []uint64{}
	for i := range 10000 {
		n := uint64(math.Exp(4 + 8*rnd.Float64()))
		b.Add(Record{Label: Label{Carrier: uint16(i % 3), Band: uint8(i % 2), Host: string(rune('a' + i%5))}, Counts: Counts{Forward: n, Commands: 1}, Connections: 1,
			Source: netip.MustParseAddrPort("[::1]:1"), Reason: Ended})
		if kept = append(kept, n); len(kept) > 200 {
			dropped += kept[0]
			kept = kept[1:]
		}
	}
	a := b.Account
	if a.Lost.Records != 0 || !a.Balanced() || a.Folded.Records < 9000 {
		t.Errorf("%+v", a)
	}
	if dropped < a.Counted.Forward/2 {
		t.Error("a queue without folding drops only", dropped, "of", a.Counted.Forward)
	}
	for i := range 500 { // more labels than fit: the oldest records are dropped
		b.Add(Record{Label: Label{Host: string(rune(1000 + i))}, Connections: 1})
	}
	if a := b.Account; a.Lost.Records == 0 || !a.Balanced() || b.Bytes() > 200*recordBytes {
		t.Errorf("ledger %+v, %d bytes", a, b.Bytes())
	}
}

// Compares with an exact count: each ID above N/k must be found, and each estimate must be within its error. Old counts must decay.
func TestHeavyHitters(t *testing.T) {
	for _, s := range []float64{1.01, 1.1, 1.3} {
		const k, n = 256, 300000
		z := rand.NewZipf(rand.New(rand.NewPCG(2, 1)), s, 1, 1e6)
		top, exact := NewHeavyHitters(k, 10*second), map[uint64]uint64{}
		for range n {
			id := z.Uint64()
			exact[id]++
			top.Add(second, id, 1)
		}
		got := map[uint64]Estimate{}
		for _, x := range top.Largest(second, k) {
			got[x.ID] = x
			if x.Sum < exact[x.ID] || x.Sum-x.Error > exact[x.ID] || x.Error > n/k {
				t.Fatalf("s %v: estimate %+v, exact count %d", s, x, exact[x.ID])
			}
		}
		for id, m := range exact {
			if m > n/k && got[id].Sum == 0 {
				t.Errorf("s %v: ID %d has count %d and was not found", s, id, m)
			}
		}
	}
	top := NewHeavyHitters(4, 10*second)
	top.Add(second, 1, 100)
	top.Add(12*second, 2, 10)
	if x := top.Largest(16*second, 2); x[0].ID != 1 || x[0].Sum >= 100 || x[0].Sum < 10 {
		t.Error("estimates after half a window", x)
	}
	if x := top.Largest(60*second, 2); len(x) != 0 {
		t.Error("estimates after several windows", x)
	}
}

func BenchmarkHeavyHitters(b *testing.B) {
	z := rand.NewZipf(rand.New(rand.NewPCG(2, 1)), 1.1, 1, 1e6)
	ids := make([]uint64, 1<<20)
	for i := range ids {
		ids[i] = z.Uint64()
	}
	b.Run("top", func(b *testing.B) {
		top, i := NewHeavyHitters(256, 10*second), 0
		for b.Loop() {
			i++
			top.Add(second, ids[i%len(ids)], 1)
		}
	})
	b.Run("map", func(b *testing.B) {
		exact, i := map[uint64]uint64{}, 0
		for b.Loop() {
			i++
			exact[ids[i%len(ids)]]++
		}
	})
}
