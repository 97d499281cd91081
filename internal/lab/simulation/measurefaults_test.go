package simulation

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// measureStart measures how long a new cluster takes to accept its first change, and to tolerate two failures.
func measureStart(t *testing.T) {
	var taken, members []time.Duration
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			cluster := New(newLayout(6, 0, 0, seed+1))
			defer cluster.Stop()
			b := newBenchmark(c, cluster)
			for _, i := range b.rng.Perm(6) { // in random order, within about 0.3 s
				c.Assert(cluster.Controls[i].Start(), qt.IsNil)
				b.sleepAbout(50 * time.Millisecond)
			}
			start := time.Now()
			b.pending.Go(func() {
				o := b.callUntilAnswered(0, "configuration.modify", "", cluster.ChangeBody(true, safeRoute, unsafeRoute))
				taken = append(taken, o.latency)
			})
			for time.Since(start) < 60*time.Second {
				if s := b.readCore(0); s.Status == "in touch" && len(s.Voters) >= 5 && s.tolerance(6) >= 2 {
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			members = append(members, time.Since(start))
			b.close()
		})
	}
	t.Log("| after the last process of a new cluster started, random order, 20 seeds | p50 ms | p99 ms | worst ms |")
	t.Logf("| until the first change is acknowledged | %s |", percentiles(taken))
	t.Logf("| until two failures are tolerated | %s |", percentiles(members))
}

// measureLoss measures the latency of changes around the failure or replacement of a member, and the time until the cluster tolerates
// two failures again. Changes are sent to the other processes, 20 a second from 1 s before the event to 11 s after it.
func measureLoss(t *testing.T) {
	t.Log("| event, 10 seeds each | changes after it | p50 ms | p99 ms | worst ms | retried | unacknowledged | longest time without an acknowledgement ms (p50, p99, worst) | until two failures are tolerated again s (p50, worst) | start of that longest time and of the slowest change, s after the event |")
	type faultCase struct {
		name  string
		do    func(b *benchmark) // causes the failure
		after time.Duration      // from the failure to its repair
		back  func(b *benchmark) // repairs it
		lost  int                // the process that fails
	}
	freeze := func(b *benchmark, at int, on bool) bool {
		x, ok := any(b.cluster.Network).(interface{ Freeze(string, bool) })
		if ok {
			x.Freeze(b.cluster.Controls[at].Settings.IP, on)
		}
		return ok
	}
	for _, x := range []faultCase{
		{"nothing", func(b *benchmark) {}, 0, func(b *benchmark) {}, 5},
		{"the proposer is killed, and restarted after 3 s", func(b *benchmark) { b.cluster.Controls[0].Kill() }, 3 * time.Second, func(b *benchmark) { b.cluster.Controls[0].mustStart() }, 0},
		{"the proposer loses power for 3 s", func(b *benchmark) { b.setPoweredOff(0, true) }, 3 * time.Second, func(b *benchmark) { b.setPoweredOff(0, false) }, 0},
		{"the proposer is partitioned for 6 s", func(b *benchmark) { b.setPartition(true, 0) }, 6 * time.Second, func(b *benchmark) { b.setPartition(false, 0) }, 0},
		{"the proposer is frozen for 6 s", func(b *benchmark) { freeze(b, 0, true) }, 6 * time.Second, func(b *benchmark) { freeze(b, 0, false) }, 0},
		{"another process is killed, and restarted after 3 s", func(b *benchmark) { b.cluster.Controls[5].Kill() }, 3 * time.Second, func(b *benchmark) { b.cluster.Controls[5].mustStart() }, 5},
		{"another process loses its disk, and is restarted at once", func(b *benchmark) { b.cluster.Controls[5].Kill(); b.cluster.Controls[5].Disk.Wipe() }, 100 * time.Millisecond, func(b *benchmark) { b.cluster.Controls[5].mustStart() }, 5},
		{"the proposer loses its disk, and is restarted at once", func(b *benchmark) { b.cluster.Controls[0].Kill(); b.cluster.Controls[0].Disk.Wipe() }, 100 * time.Millisecond, func(b *benchmark) { b.cluster.Controls[0].mustStart() }, 0},
		{"another process is replaced by a new machine after 3 s", func(b *benchmark) { b.setPoweredOff(5, true) }, 3 * time.Second, func(b *benchmark) {
			any(b.cluster.Controls[5]).(interface{ Replace() }).Replace()
			b.cluster.Controls[5].mustStart()
		}, 5},
		{"the proposer is replaced by a new machine after 3 s", func(b *benchmark) { b.setPoweredOff(0, true) }, 3 * time.Second, func(b *benchmark) {
			any(b.cluster.Controls[0]).(interface{ Replace() }).Replace()
			b.cluster.Controls[0].mustStart()
		}, 0},
	} {
		_, replaces := any(&ControlNode{}).(interface{ Replace() })
		_, freezes := any(&Network{}).(interface{ Freeze(string, bool) })
		if !replaces && strings.Contains(x.name, "replaced") || !freezes && strings.Contains(x.name, "frozen") {
			t.Logf("| %s | not measured: not supported by this emulator |", x.name)
			continue
		}
		var all []callResult
		var gaps, repaired []time.Duration
		longest, slowest, longestStart, slowestStart := time.Duration(0), time.Duration(0), time.Duration(0), time.Duration(0)
		for seed := range uint64(10) {
			runBenchmark(t, newLayout(6, 0, 0, seed+1), func(b *benchmark) {
				zones := slices.DeleteFunc([]int{0, 1, 2, 3, 4, 5}, func(z int) bool { return z == x.lost })
				b.sleepAbout(time.Second)
				wait := b.streamChanges(20, 12*time.Second, zones...)
				time.Sleep(time.Second)
				at := time.Now()
				x.do(b)
				b.pending.Go(func() {
					time.Sleep(x.after)
					x.back(b)
				})
				watcher := 2
				b.pending.Go(func() {
					// the failure must be detected before the repair counts
					down := false
					for time.Since(at) < 40*time.Second {
						s := b.readCore(watcher)
						if n := s.tolerance(6); s.Status == "in touch" && n >= 2 && (down || time.Since(at) > x.after+4*time.Second) && b.cluster.Controls[x.lost].Status() == "in touch" {
							if !down && x.name == "nothing" {
								return
							}
							repaired = append(repaired, time.Since(at))
							return
						} else if n < 2 {
							down = true
						}
						time.Sleep(50 * time.Millisecond)
					}
					repaired = append(repaired, 40*time.Second)
				})
				results := wait()
				var ends []time.Time
				for _, o := range results {
					if o.sent.After(at) {
						all = append(all, o)
						if o.latency > slowest {
							slowest, slowestStart = o.latency, o.sent.Sub(at)
						}
					}
					if o.status == 200 {
						ends = append(ends, o.sent.Add(o.latency))
					}
				}
				slices.SortFunc(ends, time.Time.Compare)
				worst := time.Duration(0)
				for i := range ends[1:] {
					if ends[i+1].After(at) {
						worst = max(worst, ends[i+1].Sub(ends[i]))
						if worst > longest {
							longest, longestStart = worst, ends[i].Sub(at)
						}
					}
				}
				gaps = append(gaps, worst)
			})
		}
		slices.Sort(repaired)
		until := "-"
		if len(repaired) > 0 {
			until = fmt.Sprintf("%.1f, %.1f", repaired[(len(repaired)-1)/2].Seconds(), repaired[len(repaired)-1].Seconds())
		}
		t.Logf("%s %s | %s | %.1f, %.1f |", tableRow(x.name, all), strings.ReplaceAll(percentiles(gaps), " | ", ", "), until, longestStart.Seconds(), slowestStart.Seconds())
	}
}

// measurePartitions measures how long a control process that is partitioned from all others still answers, and how long proxies
// stay subscribed to it: with calls of all kinds, and with calls only from hosts and clients of the directory, where it sends little
// to the other processes.
func measurePartitions(t *testing.T) {
	t.Log("| last success after a partition from all others, 20 seeds | p50 ms | p99 ms | worst ms |")
	for _, x := range []struct {
		name       string
		withCalls  bool
		ackTimeout time.Duration // after which connections with unacknowledged data fail
	}{{"", true, 1500 * time.Millisecond}, {"no reads or changes there: ", false, 1500 * time.Millisecond},
		{"connections never time out: ", true, time.Hour}} {
		last := map[string][]time.Duration{}
		for seed := range uint64(20) {
			runBenchmark(t, newLayout(6, 2, 1, seed+1), func(b *benchmark) {
				b.cluster.Network.AckTimeout = x.ackTimeout
				b.measurePartition(5, x.withCalls, last)
			})
		}
		for _, name := range slices.Sorted(maps.Keys(last)) {
			t.Logf("| %s%s | %s |", x.name, name, percentiles(last[name]))
		}
	}
}

func (b *benchmark) measurePartition(at int, withCalls bool, last map[string][]time.Duration) {
	o := b.callUntilAnswered(0, "rollouts.begin", "", []byte(`{"service":"desk","target-version":"v2","duration-s":80000}`))
	b.c.Assert(o.status, qt.Equals, 200)
	b.sleepAbout(2 * time.Second)
	b.setPartition(true, at)
	cut := time.Now()
	const duration = 12 * time.Second
	var mu sync.Mutex
	record := func(name string, elapsed time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		last[name] = append(last[name], elapsed)
	}
	probe := func(name string, every time.Duration, ask func() bool) {
		b.pending.Go(func() {
			b.sleepAbout(20 * time.Millisecond)
			elapsed := time.Duration(0)
			for time.Since(cut) < duration {
				if ask() {
					elapsed = time.Since(cut)
				}
				time.Sleep(every)
			}
			record(name, elapsed)
		})
	}
	call := func(call, object string, body func() []byte) func() bool {
		return func() bool {
			status, _ := b.callOnce(at, at, call, object, body())
			return status == 200
		}
	}
	empty := func() []byte { return nil }
	if withCalls {
		probe("configuration.read", 20*time.Millisecond, call("configuration.read", "", empty))
		probe("rollouts.read", 20*time.Millisecond, call("rollouts.read", "desk", empty))
		probe("configuration.modify", 20*time.Millisecond, call("configuration.modify", "", func() []byte { return b.nextChange("cut") }))
	}
	probe("instances.heartbeat", 20*time.Millisecond, b.countHeartbeats(at))
	probe("directory", 20*time.Millisecond, func() bool {
		resp, err := b.clients[at].Get("http://" + b.cluster.Controls[at].Settings.ListenAddresses["directory"] + "/-/resolution?zone-name=" + zoneName(at))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode == 200
	})
	b.pending.Go(func() { // a proxy that left may subscribe again for a while when it probes the process
		leftAfter, subscribed := time.Duration(0), time.Duration(0)
		for time.Since(cut) < duration {
			if b.dialStream(at) {
				subscribed += 5 * time.Millisecond
			} else if leftAfter == 0 {
				leftAfter = time.Since(cut)
			}
			time.Sleep(5 * time.Millisecond)
		}
		record("subscription of a proxy of its zone: until it first ends", leftAfter)
		record("subscription of a proxy of its zone: total within 12 s", subscribed)
	})
}

// countHeartbeats returns a function that sends the process a heartbeat of an additional host, with the next sequence number, and
// reports whether it was accepted.
func (b *benchmark) countHeartbeats(at int) func() bool {
	n := 0
	return func() bool {
		n++
		body, _ := json.Marshal(map[string]any{"address": fmt.Sprintf("10.%d.64.250:9000", at+1), "information": map[string]any{"service": "desk",
			"version": "v1", "zone-name": zoneName(at), "slot-count": 3}, "current-status": map[string]any{"server-state": "ready", "sequence": n,
			"cold-remaining-s": 0}})
		status, _ := b.callOnce(at, at, "instances.heartbeat", "i-more", body)
		return status == 200
	}
}

// dialStream reports whether the second proxy of a zone is connected to its control process.
func (b *benchmark) dialStream(at int) bool {
	to, from := b.cluster.Controls[at].Settings.IP, fmt.Sprintf("10.%d.0.2", at+1)
	b.cluster.Network.mu.Lock()
	defer b.cluster.Network.mu.Unlock()
	for x := range b.cluster.Network.conns {
		if x.local.IP.String() == from && x.remote.IP.String() == to && x.remote.Port == firstInternalPort {
			return true
		}
	}
	return false
}
