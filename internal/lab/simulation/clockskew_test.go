package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/update"
	"portflow/internal/decision"
)

// A control process that restarts during a rollout with its clock an hour off must not make the rollout end early or late.
func TestClockSkew(t *testing.T) {
	for at := range 2 {
		for _, skew := range []time.Duration{time.Hour, -time.Hour} {
			t.Run(fmt.Sprint(at, skew), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					layout := smallLayout
					layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone = 6, 1, 1
					cluster := startCluster(c, layout)
					begin := []byte(`{"service":"desk","target-version":"v2","duration-s":20}`)
					status, _, reply := cluster.Call("rollouts.begin", "", begin, 3*time.Second, 2)
					c.Assert(status, qt.Equals, 200, qt.Commentf("%s", reply))
					time.Sleep(2 * time.Second)
					node := cluster.Controls[at] // 0 is the proposer, 1 is not
					node.Kill()
					node.ClockSkew = skew
					node.mustStart()
					rolloutStatus := func() string {
						var v map[string]string
						_, _, raw := cluster.Call("rollouts.read", "desk", nil, 3*time.Second, 4)
						json.Unmarshal(raw, &v)
						return v["server-state"]
					}
					time.Sleep(10 * time.Second)
					c.Check(rolloutStatus(), qt.Equals, "running")
					time.Sleep(12 * time.Second)
					c.Check(rolloutStatus(), qt.Equals, "rolled_back") // timed out without votes
				})
			})
		}
	}
}

// startRollout starts a cluster of three control processes, calls before to prepare it, and begins a rollout of 20 s. rolloutStatus
// returns the state of the rollout.
func startRollout(c *qt.C, layout Layout, before func(cluster *Cluster)) (cluster *Cluster, rolloutStatus func() string) {
	layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone = 3, 1, 1
	cluster = startCluster(c, layout)
	before(cluster)
	status, _, reply := cluster.Call("rollouts.begin", "", []byte(`{"service":"desk","target-version":"v2","duration-s":20}`), 5*time.Second, 0)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", reply))
	return cluster, func() string {
		var v map[string]string
		_, _, raw := cluster.Call("rollouts.read", "desk", nil, 3*time.Second, 0)
		json.Unmarshal(raw, &v)
		return v["server-state"]
	}
}

// A rollout begins while only two of three control processes are connected and their clocks are an hour apart, so that they can't
// agree on the time of day. It still runs for its full duration, whether or not the third process returns.
func TestClocksDisagree(t *testing.T) {
	for _, skew := range []time.Duration{time.Hour, -time.Hour} {
		for _, back := range []bool{true, false} {
			t.Run(fmt.Sprint(skew, back), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					cluster, rolloutStatus := startRollout(c, smallLayout, func(cluster *Cluster) {
						node := cluster.Controls[1]
						node.Kill()
						node.ClockSkew = skew
						node.mustStart()
						time.Sleep(2 * time.Second)
						cluster.setPartition(cluster.Controls[2], true)
						time.Sleep(4 * time.Second)
					})
					time.Sleep(time.Second)
					if back {
						cluster.setPartition(cluster.Controls[2], false)
					}
					for range 15 {
						time.Sleep(time.Second)
						c.Assert(rolloutStatus(), qt.Equals, "running")
					}
					time.Sleep(6 * time.Second)
					c.Check(rolloutStatus(), qt.Equals, "rolled_back") // timed out without votes
				})
			})
		}
	}
}

// All control processes restart during a rollout, so that none has measured its whole duration. If their clocks agree, the rollout
// ends by the time of day; otherwise its duration starts anew, so that it ends late rather than early.
func TestAllRestartedDuringRollout(t *testing.T) {
	for _, skewed := range []bool{false, true} {
		t.Run(fmt.Sprint("apart ", skewed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				layout := smallLayout
				layout.SkewClocks = skewed
				cluster, rolloutStatus := startRollout(c, layout, func(*Cluster) {})
				time.Sleep(8 * time.Second)
				for _, node := range cluster.Controls {
					node.Kill()
				}
				time.Sleep(time.Second)
				for _, node := range cluster.Controls {
					node.mustStart()
				}
				time.Sleep(6 * time.Second)
				c.Check(rolloutStatus(), qt.Equals, "running")
				time.Sleep(7 * time.Second) // 22 s after the rollout began, 13 s after the restart
				c.Check(rolloutStatus(), qt.Equals, map[bool]string{false: "rolled_back", true: "running"}[skewed])
				time.Sleep(9 * time.Second)
				c.Check(rolloutStatus(), qt.Equals, "rolled_back")
			})
		})
	}
}

// Once one control process reports a rollout as completed, no other may report another outcome, not even one that was partitioned
// when the rollout ended: the outcome is agreed on by consensus and not derived from local clocks.
func TestCompletionIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster, _ := startRollout(c, Layout{Services: []string{"desk"}, Seed: 4}, func(*Cluster) {})
		partitioned := cluster.Controls[2]
		read := func(at int) string {
			var v map[string]string
			_, raw := cluster.callOneFor(at, "rollouts.read", "desk", nil)
			json.Unmarshal(raw, &v)
			return v["server-state"]
		}
		time.Sleep(15 * time.Second)
		cluster.setPartition(partitioned, true)
		completed := false
		for range 60 {
			for _, px := range cluster.Proxies[:2] {
				px.Running.SendVote(update.Vote{Service: "desk", Number: 1, Verdict: uint8(decision.Advance)})
			}
			time.Sleep(100 * time.Millisecond)
			for at := range 2 {
				if s := read(at); completed {
					c.Assert(s, qt.Equals, "completed")
				} else {
					completed = s == "completed"
				}
			}
		}
		c.Assert(completed, qt.IsTrue)
		cluster.setPartition(partitioned, false)
		answers := 0
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			if s := read(2); s != "" { // no state in a 503, which it answers until it has caught up
				answers++
				c.Assert(s, qt.Equals, "completed")
			}
		}
		c.Check(answers > 0, qt.IsTrue)
	})
}
