package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/stream"
	"portflow/internal/control/server"
)

func TestNoFaults(t *testing.T) {
	playScenario(t, smallLayout, 6*time.Second, func(c *qt.C, cluster *Cluster) {}, 1)
}

func TestProxyRestarts(t *testing.T) {
	playScenario(t, smallLayout, 10*time.Second, func(c *qt.C, cluster *Cluster) {
		for _, px := range cluster.Proxies[:3] {
			px.Kill()
			time.Sleep(500 * time.Millisecond)
			c.Assert(px.Start(), qt.IsNil)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		for _, px := range cluster.Proxies {
			c.Check(px.Running.Ready(), qt.IsTrue)
		}
	}, 0.95)
}

// A change must survive if the control process that acknowledged it loses its disk and all others lose power. The process with the
// wiped disk must not count towards the quorum before it has caught up.
func TestWipedAfterAcknowledging(t *testing.T) {
	playScenario(t, smallLayout, 14*time.Second, func(c *qt.C, cluster *Cluster) {
		changed := unsafeRoute
		changed.Version, changed.Prefix = "00000005", "/issued/"
		status, by, _ := cluster.Call("configuration.modify", "", cluster.ChangeBody(false, changed), 3*time.Second, 2)
		c.Assert(status, qt.Equals, 200)
		for i, node := range cluster.Controls {
			node.Kill()
			if i == by {
				node.Disk.Wipe()
			} else {
				node.Disk.PowerLoss(i%2 == 0)
			}
		}
		time.Sleep(time.Second)
		c.Assert(cluster.Controls[by].Start(), qt.IsNil)
		time.Sleep(time.Second)
		c.Check(cluster.Controls[by].Status(), qt.Equals, "adrift") // it has no state and no peer to catch up from
		for i, node := range cluster.Controls {
			if i != by {
				c.Assert(node.Start(), qt.IsNil)
			}
		}
		time.Sleep(3 * time.Second)
		for _, node := range cluster.Controls {
			c.Check(node.Status(), qt.Equals, "in touch")
		}
		for i := range cluster.Controls {
			status, at, reply := cluster.Call("configuration.read", "", nil, time.Second, i)
			c.Check(status, qt.Equals, 200)
			c.Check(at, qt.Equals, i)
			c.Check(string(reply), qt.Contains, "/issued/")
		}
	}, 0.5)
}

// A control process that is partitioned from the others must not accept changes, and after the partition it must not report outdated
// states of hosts. Hosts of its zone send their heartbeats to other control processes meanwhile, so that all hosts stay usable.
func TestControlProcessCutOff(t *testing.T) {
	layout := smallLayout
	layout.Zones = 6
	playScenario(t, layout, 19*time.Second, func(c *qt.C, cluster *Cluster) {
		partition := func(on bool) {
			for i := range 5 {
				cluster.Network.SetPartition(cluster.Controls[5].Settings.IP, cluster.Controls[i].Settings.IP, on)
			}
		}
		partition(true)
		time.Sleep(7 * time.Second)
		c.Check(cluster.Controls[5].Status(), qt.Equals, "alone")
		status, by, _ := cluster.Call("evacuation.begin", "z0", nil, 3*time.Second, 5)
		c.Check(status, qt.Equals, 200)
		c.Check(by, qt.Not(qt.Equals), 5)
		time.Sleep(time.Second)
		partition(false)
		for range 12 {
			time.Sleep(500 * time.Millisecond)
			for _, px := range cluster.Proxies {
				usable := px.Running.UsableHosts("desk")
				c.Check(usable >= 10, qt.IsTrue, qt.Commentf("%s: %d of 12 hosts", px.Settings.Name, usable))
			}
		}
	}, 0.96)
}

// A version whose requests fail must be rolled back, and a healthy one completed in time, though a control process fails during the
// rollout. The new version must not receive requests before its rollout begins, and only a limited number during it.
func TestRollouts(t *testing.T) {
	for name, bad := range map[string]bool{"good": false, "bad": true} {
		t.Run(name, func(t *testing.T) {
			playScenario(t, smallLayout, 22*time.Second, func(c *qt.C, cluster *Cluster) {
				var trial []*Host
				for z := range cluster.Zones {
					host := cluster.StartHost("desk", z, "v2", time.Second)
					host.FailAll = bad
					trial = append(trial, host)
				}
				time.Sleep(2 * time.Second)
				for _, host := range trial {
					c.Check(host.Executions(), qt.Equals, 0, qt.Commentf("before the rollout"))
				}
				status, _, _ := cluster.Call("rollouts.begin", "", []byte(`{"service":"desk","target-version":"v2","duration-s":14}`), 2*time.Second, 1)
				c.Assert(status, qt.Equals, 200)
				time.Sleep(5 * time.Second)
				reports := 0 // reports of voting proxies, with the outcomes that their votes are based on
				for i := range cluster.Controls {
					_, _, reply := cluster.Call("harbour.read", "", nil, time.Second, i)
					var s server.ClusterStatus
					c.Assert(json.Unmarshal(reply, &s), qt.IsNil)
					for _, r := range s.Rollouts {
						for _, j := range r.Proxies {
							reports++
							c.Check(j.AgeSeconds < 5 && j.Outcomes[0] > 0, qt.IsTrue, qt.Commentf("%+v", j))
							c.Check(j.Excess[0]-j.Error[0] > j.Threshold[0], qt.Equals, bad, qt.Commentf("%+v", j))
						}
					}
				}
				c.Check(reports >= 2, qt.IsTrue, qt.Commentf("got %d reports of voting proxies, want at least 2", reports))
				cluster.Controls[0].Kill()
				time.Sleep(4 * time.Second)
				runs := 0
				for _, host := range trial {
					runs += host.Executions()
				}
				c.Check(runs > 5 && runs < 90, qt.IsTrue, qt.Commentf("got %d executions by the new version, want 6 to 89", runs))
				time.Sleep(5 * time.Second)
				_, _, reply := cluster.Call("rollouts.read", "desk", nil, 2*time.Second, 2)
				want := map[bool]string{false: "completed", true: "rolled_back"}[bad]
				c.Check(string(reply), qt.Contains, want)
			}, 0.95)
		})
	}
}

// A host that fails most requests, although its heartbeats report it as ready, must be ejected based on the combined observations of the
// zone's proxies, as each proxy alone observes too few requests. It must get no requests until its probation, and must be used again
// once it is healthy. Skewed clocks must not change this.
func TestPartlyFailingHost(t *testing.T) {
	layout := Layout{Zones: 3, ProxiesPerZone: 8, HostsPerZone: 4, Services: []string{"desk"}, ServiceTime: 80 * time.Millisecond, Concurrency: 3, Rate: 20, Seed: 5}
	for _, layout.SkewClocks = range []bool{false, true} {
		t.Run(fmt.Sprint("skewed clocks ", layout.SkewClocks), func(t *testing.T) { playFailingHost(t, layout) })
	}
}

func playFailingHost(t *testing.T, layout Layout) {
	playScenario(t, layout, 18*time.Second, func(c *qt.C, cluster *Cluster) {
		host := cluster.Hosts[0]
		setFailRate := func(rate float64) {
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			host.FailRate = rate
		}
		state := func() string {
			for i := range cluster.Controls {
				_, _, reply := cluster.Call("harbour.read", "", nil, time.Second, i)
				var s server.ClusterStatus
				c.Assert(json.Unmarshal(reply, &s), qt.IsNil)
				for _, x := range s.Instances {
					if x.ID == host.ID && x.State != "ready" {
						return x.State
					}
				}
			}
			return "ready"
		}
		c.Check(state(), qt.Equals, "ready")
		setFailRate(0.9)
		start := time.Now()
		for state() != "ready, set aside" && time.Since(start) < 8*time.Second {
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(time.Since(start) < 5*time.Second, qt.IsTrue, qt.Commentf("ejected after %v, want less than 5s", time.Since(start)))
		setFailRate(0)
		time.Sleep(300 * time.Millisecond)
		ran := host.Executions()
		time.Sleep(2 * time.Second)
		c.Check(host.Executions(), qt.Equals, ran, qt.Commentf("executions while the host is ejected"))
		time.Sleep(6 * time.Second)
		c.Check(state(), qt.Equals, "ready")
		c.Check(host.Executions() > ran+5, qt.IsTrue, qt.Commentf("got %d executions after the ejection, want more than 5 above %d", host.Executions(), ran))
	}, 0.97)
}

// The hosts of a zone return cold while the zone's proxies restart: together, the proxies must not exceed the request rate limit of the
// cold hosts, although their quotas are reallocated. The last two seeds use skewed clocks.
func TestZoneReturnsCold(t *testing.T) {
	layout := smallLayout
	layout.ProxiesPerZone, layout.Rate, layout.ServiceTime = 3, 16, 40*time.Millisecond
	for seed := range uint64(6) {
		layout.Seed, layout.SkewClocks = seed+1, seed >= 4
		playScenario(t, layout, 16*time.Second, func(c *qt.C, cluster *Cluster) {
			var zoneHosts []*Host
			for _, host := range cluster.Hosts {
				if host.Zone == "z1" {
					zoneHosts = append(zoneHosts, host)
				}
			}
			for _, host := range zoneHosts {
				host.Crash()
			}
			for _, px := range cluster.Proxies[3:6] {
				px.Kill()
			}
			time.Sleep(4 * time.Second)
			for range zoneHosts {
				cluster.StartHost("desk", 1, "v1", 4*time.Second)
			}
			for _, px := range cluster.Proxies[3:6] {
				time.Sleep(300 * time.Millisecond)
				c.Assert(px.Start(), qt.IsNil)
			}
			time.Sleep(6 * time.Second)
		}, 0.8)
	}
}

// Malformed client requests must get the right error status in bounded time without delaying other requests. Malformed frames on the
// internal ports must be dropped and counted, and malformed calls rejected.
func TestBadInput(t *testing.T) {
	playScenario(t, smallLayout, 20*time.Second, func(c *qt.C, cluster *Cluster) {
		px := cluster.Proxies[0]
		p := cluster.Network.Process("10.1.201.1")
		long := strings.Repeat("x", 20000)
		for name, x := range map[string]struct {
			raw  string
			want string
		}{
			"fine":                        {"GET /look/x HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: safe-1\r\n\r\n", "200"},
			"no route":                    {"GET /nowhere HTTP/1.1\r\nHost: desk.example\r\n\r\n", "404"},
			"no host":                     {"GET /look/x HTTP/1.1\r\n\r\n", "400"},
			"not HTTP":                    {"what is this\r\n\r\n", "400"},
			"Time-Remaining not a number": {"GET /look/x HTTP/1.1\r\nHost: desk.example\r\nTime-Remaining: soon\r\n\r\n", "400"},
			"conflicting lengths":         {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", "400"},
			"repeated length":             {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", "400"},
			"length and chunked coding":   {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
			"body too long":               {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 99999999\r\n\r\nab", "413"},
			"header too long":             {"GET /look/x HTTP/1.1\r\nHost: desk.example\r\nX: " + long + "\r\n\r\n", "431"},
			"malformed chunk size":        {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
			"truncated header":            {"GET /look/x HT", "400"},
			"truncated body":              {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 20\r\n\r\nab", "400"},
			"nothing":                     {"", "end"},
			"unknown transfer coding":     {"POST /issue/x HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: gzip\r\n\r\nab", "501"},
			"space after the field name":  {"GET /look/x HTTP/1.1\r\nHost : desk.example\r\n\r\n", "400"},
		} {
			cluster.mu.Lock()
			cluster.outcomes["safe-1"] = "200" // sent below, not by GenerateTraffic
			cluster.mu.Unlock()
			start := time.Now()
			conn, err := p.Dial(context.Background(), "tcp", px.Settings.ListenAddresses["front"])
			c.Assert(err, qt.IsNil)
			conn.Write([]byte(x.raw))
			statusLine := make([]byte, 12)
			conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			got := "end"
			if _, err := io.ReadFull(conn, statusLine); err == nil {
				got = string(statusLine[9:])
			}
			conn.Close()
			c.Check(got, qt.Equals, x.want, qt.Commentf(name))
			c.Check(time.Since(start) < 6*time.Second, qt.IsTrue, qt.Commentf("%s took %v", name, time.Since(start)))
		}
		before := stream.MalformedFrames.Load()
		conn, err := p.Dial(context.Background(), "tcp", net.JoinHostPort(cluster.Controls[0].Settings.IP, strconv.Itoa(firstInternalPort)))
		c.Assert(err, qt.IsNil)
		conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		time.Sleep(time.Second)
		conn.Close()
		c.Check(stream.MalformedFrames.Load()-before, qt.Equals, int64(1))
		for call, want := range map[string]int{"nothing.known": 404, "instances.heartbeat": 400, "configuration.modify": 400, "rollouts.begin": 400} {
			status, _, _ := cluster.Call(call, "i", []byte(`{"half":`), time.Second, 0)
			c.Check(status, qt.Equals, want, qt.Commentf(call))
		}
	}, 0.99)
}

// A long response must reach the client completely. If the host aborts it, the client must see the truncation, and the request must not
// be retried at another host.
func TestLongResponses(t *testing.T) {
	for _, abortAfter := range []int{0, 3 << 20} {
		playScenario(t, smallLayout, 4*time.Second, func(c *qt.C, cluster *Cluster) {
			px := cluster.Proxies[0]
			for _, host := range cluster.Hosts {
				host.Crash()
			}
			time.Sleep(4 * time.Second)
			for z := range cluster.Zones {
				host := cluster.StartHost("desk", z, "v1", 0)
				host.ResponseBytes, host.AbortAfterBytes = 10<<20, abortAfter
			}
			time.Sleep(2 * time.Second)
			client := cluster.httpClient(cluster.Network.Process("10.1.201.2"), 0)
			defer client.CloseIdleConnections()
			req, _ := http.NewRequest("GET", "http://"+px.Settings.ListenAddresses["front"]+"/look/x", nil)
			req.Host = "desk.example"
			req.Header.Set("Attempt-Id", "safe-long")
			cluster.mu.Lock()
			cluster.outcomes["safe-long"] = "200"
			cluster.mu.Unlock()
			resp, err := client.Do(req)
			c.Assert(err, qt.IsNil)
			n, err := io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			c.Check(err == nil, qt.Equals, abortAfter == 0, qt.Commentf("%v", err))
			c.Check(n == 10<<20, qt.Equals, abortAfter == 0, qt.Commentf("%d bytes", n))
			cluster.mu.Lock()
			defer cluster.mu.Unlock()
			c.Check(cluster.executions["safe-long"], qt.Equals, 1)
		}, 0)
	}
}

// A configuration change that is accepted while the control processes are still connecting to each other must reach all proxies within
// about a second, including those whose control process missed the change itself.
func TestChangeWhileStreamsConnect(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			layout := smallLayout
			layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone, layout.Seed = 3, 1, 0, seed
			cluster := New(layout)
			cluster.Network.Delay = func(a, b string) time.Duration { return 100 * time.Microsecond }
			c.Assert(cluster.Start(), qt.IsNil)
			defer cluster.Stop()
			time.Sleep(time.Duration(seed) * 3 * time.Millisecond)
			status, _, reply := cluster.Call("configuration.modify", "", cluster.ChangeBody(true, safeRoute, unsafeRoute), 5*time.Second, int(seed)%3)
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", reply))
			time.Sleep(1100 * time.Millisecond)
			for _, px := range cluster.Proxies {
				c.Check(px.Running.RouteVersions(), qt.HasLen, 2, qt.Commentf("seed %d: %s", seed, px.Settings.Name))
			}
		})
	}
}
