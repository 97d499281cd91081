package simulation

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/control/server"
	"portflow/internal/random"
)

var historyRuns = flag.Int("histories", 8, "drawn histories of shares to play")

// quotaChangeBody returns the body of a change that sets quotas, in requests per second by caller.
func quotaChangeBody(version string, all map[string]float64) []byte {
	rows := [][]any{}
	for caller, perSecond := range all {
		rows = append(rows, []any{"s-" + caller, "desk", "X-Agency", caller, perSecond, perSecond, version})
	}
	raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{"shares": map[string]any{
		"table-columns": []string{"name", "service", "caller-header", "caller", "per-s", "burst", "version"}, "table-rows": rows}}})
	return raw
}

// playPeakLoad runs a load in which two callers stay within their quotas and a third sends rushRate requests per second; quotas are
// configured if quotas is set. If loseZone is set, a zone fails halfway. It returns the tallies of the two callers and of the third.
func playPeakLoad(t *testing.T, quotas bool, rushRate float64, loseZone bool) (quiet, rushing *Tally) {
	quiet, rushing = &Tally{}, &Tally{}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := Layout{Zones: 4, ProxiesPerZone: 2, HostsPerZone: 2, Services: []string{"desk"}, ServiceTime: 80 * time.Millisecond, Concurrency: 3, Seed: 3} // 300 a second
		cluster := startCluster(c, layout)
		if quotas {
			configure(c, cluster, quotaChangeBody("00000002", map[string]float64{"rush": 30, "one": 60, "two": 60}), 0)
		}
		time.Sleep(2 * time.Second)
		duration := 9 * time.Second
		if testing.Verbose() {
			duration = 14 * time.Second
		}
		for z := range layout.Zones {
			for _, caller := range []string{"one", "two", "rush"} {
				for _, r := range []Route{safeRoute, unsafeRoute} {
					r.Name, r.Caller = r.Name+"-"+caller, caller
					if caller == "rush" {
						cluster.GenerateTraffic(rushing, z, r, rushRate/8, duration)
					} else {
						cluster.GenerateTraffic(quiet, z, r, 5, duration)
					}
				}
			}
		}
		if loseZone {
			time.Sleep(duration/2 - time.Second)
			for _, node := range cluster.Controls[3:] {
				node.Kill()
				cluster.Network.SetPoweredOff(node.Settings.IP, true)
			}
			for _, px := range cluster.Proxies[6:] {
				px.Kill()
			}
			for _, host := range cluster.Hosts {
				if host.Zone == zoneName(3) {
					host.Crash()
				}
			}
			time.Sleep(duration/2 + time.Second)
		} else {
			time.Sleep(duration)
		}
		if quotas { // the quotas that control reports
			_, _, raw := cluster.Call("harbour.read", "", nil, time.Second, 0)
			var s server.ClusterStatus
			c.Assert(json.Unmarshal(raw, &s), qt.IsNil)
			c.Assert(s.Quotas, qt.HasLen, 3)
			for _, x := range s.Quotas {
				if x.Caller == "rush" && rushRate > 100 {
					c.Check(x.Used > 15 && x.Used < 45, qt.IsTrue, qt.Commentf("%+v", x))
					c.Check(len(x.Zones) >= 3, qt.IsTrue, qt.Commentf("%+v", x))
				}
			}
			c.Check(len(s.Callers["desk"]) >= 3, qt.IsTrue, qt.Commentf("%+v", s.Callers))
		}
		time.Sleep(5 * time.Second)
		c.Check(cluster.Verify(), qt.HasLen, 0)
	})
	return quiet, rushing
}

// A caller at twenty times its quota must not displace callers that stay within theirs, also when a zone fails; it still gets its
// quota and unused capacity. Without quotas it does displace them.
func TestPeak(t *testing.T) {
	losses := []bool{true}
	if testing.Verbose() {
		losses = []bool{false, true}
	}
	for _, lose := range losses {
		c := qt.New(t)
		servedFraction := func(x *Tally) (float64, string) {
			good, requests, outcome := x.Counts()
			return float64(good) / float64(requests), fmt.Sprintf("%d of %d, p99 %v: %s", good, requests, x.p99(), outcome)
		}
		normal, _ := playPeakLoad(t, true, 20, lose)
		withQuotas, rushing := playPeakLoad(t, true, 600, lose)
		withoutQuotas, rushingWithoutQuotas := playPeakLoad(t, false, 600, lose)
		a, textA := servedFraction(normal)
		b, textB := servedFraction(withQuotas)
		d, textD := servedFraction(withoutQuotas)
		r, textR := servedFraction(rushing)
		_, textT := servedFraction(rushingWithoutQuotas)
		t.Logf("zone lost: %v\nother callers, normal load: %s\nother callers, peak with quotas: %s\nother callers, peak without quotas: %s\nheavy caller, with quotas: %s\nheavy caller, without quotas: %s", lose, textA, textB, textD, textR, textT)
		c.Check(b > a-0.04, qt.IsTrue)
		c.Check(b > d, qt.IsTrue)
		c.Check(r > 0.04, qt.IsTrue)                                // its quota is a twentieth of its demand
		c.Check(withQuotas.p99() < 400*time.Millisecond, qt.IsTrue) // half of the latency target
	}
}

// playQuotaHistory runs a few seconds in which callers exceed their quotas while one or two random faults occur. No unsafe request may
// run twice, and none that was rejected with Retry-After may run at all.
func playQuotaHistory(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := New(Layout{Zones: 3, ProxiesPerZone: 1, HostsPerZone: 1, Services: []string{"desk"}, ServiceTime: 80 * time.Millisecond, Concurrency: 2, Seed: seed})
		c.Assert(cluster.Start(), qt.IsNil)
		defer cluster.Stop()
		time.Sleep(time.Second)
		configure(c, cluster, cluster.ChangeBody(true, safeRoute, unsafeRoute), 0)
		configure(c, cluster, quotaChangeBody("00000002", map[string]float64{"a": 8, "b": 4}), 1)
		rng := random.Source{Seed: seed * 31}
		n := func(n int) int { return int(rng.Float64() * float64(n)) }
		var tally Tally
		for z := range cluster.Zones {
			for _, caller := range []string{"a", "b", ""} {
				r := unsafeRoute
				r.Name, r.Caller = fmt.Sprint(r.Name, "-", caller), caller
				cluster.GenerateTraffic(&tally, z, r, 4+20*rng.Float64(), 2500*time.Millisecond)
			}
		}
		time.Sleep(time.Duration(300+n(900)) * time.Millisecond)
		for range 1 + n(2) {
			z := n(3)
			switch n(7) {
			case 0:
				cluster.Proxies[z].Kill()
			case 1:
				cluster.Controls[z].Kill()
			case 2:
				cluster.Hosts[z].Crash()
			case 3:
				cluster.Hosts[z].Drain()
			case 4: // responses are lost
				cluster.Network.SetPartition(cluster.Proxies[z].Settings.IP, cluster.Hosts[n(3)].IP(), true)
			case 5:
				cluster.Network.SetPartition(cluster.Proxies[z].Settings.IP, cluster.Controls[z].Settings.IP, true)
			case 6:
				cluster.mu.Lock()
				cluster.Hosts[z].FailAll = true
				cluster.mu.Unlock()
			}
		}
		time.Sleep(6 * time.Second)
		_, requests, outcome := tally.Counts()
		c.Check(requests > 20, qt.IsTrue)
		c.Check(cluster.Verify(), qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, outcome))
		quotaOutcomes.add(tally.Outcomes)
	})
}

// outcomeCounts counts requests by outcome.
type outcomeCounts map[string]int

func (c outcomeCounts) add(all map[string]int) {
	for outcome, n := range all {
		c[outcome] += n
	}
}

var quotaOutcomes = outcomeCounts{}

// Use -args -histories 10000 to run more histories.
func TestQuotaHistories(t *testing.T) {
	for seed := range *historyRuns {
		playQuotaHistory(t, uint64(*firstSeed+seed))
	}
	t.Log("requests by outcome", quotaOutcomes)
	if quotaOutcomes["429"] == 0 || quotaOutcomes["200"] == 0 {
		t.Error("no request was rejected with 429, or none was served")
	}
}
