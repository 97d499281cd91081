package retryguard

import (
	"container/heap"
	"math/rand/v2"
	"runtime"
	"testing"
)

// Reserve with path compression returns the same slots as a linear scan: the first one with capacity left.
func TestSchedule(t *testing.T) {
	for seed := range uint64(20) {
		rnd := rand.New(rand.NewPCG(seed, 2))
		s := NewSchedule(2 * second)
		now := int64(1e18)
		capacity := func(at int64) float64 { return float64(at/slot%7) / 7 }
		s.Forecast(now, capacity)
		for range 400 {
			earliest := now + int64(rnd.IntN(int(2*second)))
			want := int64(-1)
			for at := max(earliest/slot, s.firstSlot); at < s.firstSlot+int64(len(s.capacity)); at++ {
				if i := s.index(at); s.reserved[i] < s.capacity[i] {
					want = at * slot
					break
				}
			}
			due, ok := s.Reserve(earliest, 0.2)
			if ok != (want >= 0) || ok && due != want {
				t.Fatal(seed, due, ok, want)
			}
			if rnd.IntN(20) == 0 {
				s.Release(due, 0.2)
				now += int64(rnd.IntN(int(second / 5)))
				s.Forecast(now, capacity)
			}
		}
	}
}

// appointmentHeap is the alternative to Schedule in BenchmarkAppointments.
type appointmentHeap []struct{ at, fingerprint int64 }

func (a appointmentHeap) Len() int           { return len(a) }
func (a appointmentHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a appointmentHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *appointmentHeap) Push(x any)        { *a = append(*a, x.(struct{ at, fingerprint int64 })) }

func (a *appointmentHeap) Pop() any {
	x := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return x
}

const appointmentCount = 1_000_000

// bytesPerAppointment returns the heap memory of the value that fill returns, divided by appointmentCount.
func bytesPerAppointment(fill func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc-before.HeapAlloc) / appointmentCount
}

// Compares a schedule and fingerprints with a heap and a map, with a million appointments each.
func BenchmarkAppointments(b *testing.B) {
	now := int64(1e18)
	fillSchedule := func() any {
		s, f := NewSchedule(60*second), NewFingerprints(16<<20, 60*second)
		s.Forecast(now, func(int64) float64 { return 400 })
		for i := range appointmentCount {
			due, _ := s.Reserve(now, 1)
			f.Put(mix(uint64(i)), now, due)
		}
		return [2]any{s, f}
	}
	fillHeap := func() any {
		var h appointmentHeap
		at := make(map[int64]int64)
		for i := range appointmentCount {
			due := now + int64(i)*60000
			heap.Push(&h, struct{ at, fingerprint int64 }{due, int64(mix(uint64(i)))})
			at[int64(mix(uint64(i)))] = due
		}
		return [2]any{h, at}
	}
	for name, fill := range map[string]func() any{"schedule": fillSchedule, "heap": fillHeap} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				fill()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/appointmentCount, "ns/appointment")
			b.ReportMetric(bytesPerAppointment(fill), "B/appointment")
		})
	}
}
