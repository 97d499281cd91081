package simulation

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func measureAck(t *testing.T) {
	t.Log("| acknowledgement | changes | p50 ms | p99 ms | worst ms | retried | unacknowledged |")
	const n = 300
	zones := []int{0, 1, 2, 3, 4, 5}
	for _, x := range []struct {
		name string
		do   func(b *benchmark)
		at   []int // the processes that receive changes
	}{
		{"calm", func(b *benchmark) {}, []int{0, 1, 5}},
		{"one process down for 5 s", func(b *benchmark) { b.setPoweredOff(1, true); time.Sleep(5 * time.Second) }, []int{0, 5}},
		{"the proposer down for 5 s", func(b *benchmark) { b.setPoweredOff(0, true); time.Sleep(5 * time.Second) }, []int{1, 5}},
		{"a region down for 5 s (not the proposer's)", func(b *benchmark) { b.setPoweredOff(4, true); b.setPoweredOff(5, true); time.Sleep(5 * time.Second) }, []int{0, 2}},
		{"the proposer's region down for 5 s", func(b *benchmark) { b.setPoweredOff(0, true); b.setPoweredOff(1, true); time.Sleep(5 * time.Second) }, []int{2, 4}},
		{"slow disk (125 ms) at the proposer", func(b *benchmark) { b.setDisk(0, 125*time.Millisecond, false) }, []int{0, 5}},
		{"slow disk (125 ms) at another process", func(b *benchmark) { b.setDisk(3, 125*time.Millisecond, false) }, []int{0, 3, 5}},
		{"failing disk at the proposer", func(b *benchmark) { b.setDisk(0, 5*time.Millisecond, true) }, []int{0, 5}},
		{"failing disk at another process", func(b *benchmark) { b.setDisk(3, 5*time.Millisecond, true) }, []int{0, 3, 5}},
	} {
		for _, at := range x.at {
			runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
				x.do(b)
				t.Log(tableRow(fmt.Sprintf("%s; at process %d", x.name, at), b.sendChanges(at, n, 100*time.Millisecond)))
			})
		}
	}
	// the first two seconds after a failure, over many failures
	for _, x := range []struct {
		name  string
		lost  []int
		zones []int
	}{{"one process just lost power", []int{1}, []int{0, 2, 3, 4, 5}}, {"the proposer just lost power", []int{0}, zones[1:]},
		{"a region just lost power (not the proposer's)", []int{4, 5}, zones[:4]}, {"the proposer's region just lost power", []int{0, 1}, zones[2:]}} {
		runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
			var all []callResult
			for range 15 {
				for _, i := range x.lost {
					b.setPoweredOff(i, true)
				}
				all = append(all, b.streamChanges(10, 2*time.Second, x.zones...)()...)
				time.Sleep(4 * time.Second)
				for _, i := range x.lost {
					b.setPoweredOff(i, false)
				}
				time.Sleep(8 * time.Second)
				b.sleepAbout(time.Second)
			}
			t.Log(tableRow(x.name, all))
		})
	}
	runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
		var all []callResult
		var mu sync.Mutex
		var each sync.WaitGroup
		for w := range 8 {
			each.Go(func() {
				for range 60 {
					o := b.callUntilAnswered(w%6, "configuration.modify", "", b.nextChange(fmt.Sprintf("worker-%d", w)))
					mu.Lock()
					all = append(all, o)
					mu.Unlock()
				}
			})
		}
		each.Wait()
		t.Log(tableRow("eight concurrent changes, at all processes", all))
	})
	for _, perSecond := range []float64{40, 100} {
		runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
			t.Log(tableRow(fmt.Sprintf("%.0f changes/s for 30 s, at all processes", perSecond), b.streamChanges(perSecond, 30*time.Second, zones...)()))
		})
	}
}

func measureReads(t *testing.T) {
	t.Log("| reads | calls | p50 ms | p99 ms | worst ms | retried | not 200 |")
	for _, x := range []struct {
		name string
		do   func(b *benchmark)
		at   []int
	}{
		{"calm", func(b *benchmark) {}, []int{0, 5}},
		{"40 changes a second", func(b *benchmark) { b.streamChanges(40, 120*time.Second, 0, 1, 2, 3, 4, 5) }, []int{0, 5}},
		{"a region down for 5 s (not the proposer's)", func(b *benchmark) { b.setPoweredOff(4, true); b.setPoweredOff(5, true); time.Sleep(5 * time.Second) }, []int{0, 2}},
		{"the proposer's region down for 5 s", func(b *benchmark) { b.setPoweredOff(0, true); b.setPoweredOff(1, true); time.Sleep(5 * time.Second) }, []int{2, 4}},
	} {
		for _, at := range x.at {
			runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
				o := b.callUntilAnswered(0, "rollouts.begin", "", []byte(`{"service":"desk","target-version":"v2","duration-s":80000}`))
				b.c.Assert(o.status, qt.Equals, 200)
				x.do(b)
				for _, call := range []string{"configuration.read", "rollouts.read"} {
					var all []callResult
					for range 300 {
						b.sleepAbout(100 * time.Millisecond)
						all = append(all, b.callUntilAnswered(at, call, "desk", nil))
					}
					t.Log(tableRow(fmt.Sprintf("%s; %s; at process %d", call, x.name, at), all))
				}
			})
		}
	}
	runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
		var all []callResult
		for range 15 {
			b.setPoweredOff(4, true)
			b.setPoweredOff(5, true)
			for range 20 {
				b.sleepAbout(50 * time.Millisecond)
				all = append(all, b.callUntilAnswered(len(all)%4, "configuration.read", "", nil))
			}
			time.Sleep(4 * time.Second)
			b.setPoweredOff(4, false)
			b.setPoweredOff(5, false)
			time.Sleep(8 * time.Second)
		}
		t.Log(tableRow("configuration.read; a region just lost power", all))
	})
}

// measureRaces has two operators send different contents for the same version of a route to two processes.
func measureRaces(t *testing.T) {
	runBenchmark(t, newLayout(6, 0, 0, 1), func(b *benchmark) {
		firstStatuses := map[string]int{}
		finalStatuses := map[string]int{}
		for n := range 1000 {
			firstAt, secondAt := n%6, (n+1+n/6%5)%6
			send := func(at int, prefix string) (int, callResult) {
				x := b.cluster.ChangeBody(false, Route{Name: fmt.Sprintf("race-%d", n%50), Prefix: fmt.Sprintf("/%s/%d/", prefix, n), Service: "desk", Version: fmt.Sprintf("%08x", n/50+1)})
				status, _ := b.callOnce(at, at, "configuration.modify", "", x)
				if status == 200 || status == 409 {
					return status, callResult{status: status}
				}
				return status, b.callUntilAnswered(at, "configuration.modify", "", x)
			}
			var first, second int
			var a, z callResult
			var each sync.WaitGroup
			each.Go(func() { first, a = send(firstAt, "left") })
			skew := time.Duration(b.float64() * float64(100*time.Millisecond))
			each.Go(func() { time.Sleep(skew); second, z = send(secondAt, "right") })
			each.Wait()
			x := []int{first, second}
			slices.Sort(x)
			firstStatuses[fmt.Sprint(x)]++
			x = []int{a.status, z.status}
			slices.Sort(x)
			finalStatuses[fmt.Sprint(x)]++
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("| 1,000 pairs of conflicting changes, 0 to 100 ms apart | first responses %v | after retries %v |", firstStatuses, finalStatuses)
	})
}
