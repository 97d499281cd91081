package simulation

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var smallLayout = Layout{Zones: 4, ProxiesPerZone: 2, HostsPerZone: 2, Services: []string{"desk"}, ServiceTime: 80 * time.Millisecond, Concurrency: 3, Rate: 4, Seed: 1}

var (
	safeRoute   = Route{Name: "safe-look", Prefix: "/look/", Service: "desk", Version: "00000001", Idempotent: true}
	unsafeRoute = Route{Name: "issue", Prefix: "/issue/", Service: "desk", Version: "00000001"}
)

// startCluster starts a cluster and configures safeRoute and unsafeRoute. The cluster is stopped when the test ends.
func startCluster(c *qt.C, layout Layout) *Cluster {
	cluster := New(layout)
	c.Assert(cluster.Start(), qt.IsNil)
	c.Cleanup(cluster.Stop)
	time.Sleep(2 * time.Second)
	configure(c, cluster, cluster.ChangeBody(true, safeRoute, unsafeRoute), 0)
	return cluster
}

// configure sends a configuration change to the control processes in turn, beginning with index first, and requires status 200.
func configure(c *qt.C, cluster *Cluster, change []byte, first int) {
	status, _, reply := cluster.Call("configuration.modify", "", change, 5*time.Second, first)
	c.Assert(status, qt.Equals, 200, qt.Commentf("%s", reply))
}

// playScenario starts and configures a cluster in virtual time, generates traffic in all zones for duration and calls scenario
// meanwhile. At the end the cluster must not have violated an invariant, and at least the fraction minSuccessRatio of the requests must
// have succeeded.
func playScenario(t *testing.T, layout Layout, duration time.Duration, scenario func(c *qt.C, cluster *Cluster), minSuccessRatio float64) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := startCluster(c, layout)
		time.Sleep(2 * time.Second)
		var tally Tally
		for z := range layout.Zones {
			cluster.GenerateTraffic(&tally, z, safeRoute, 2*layout.Rate, duration)
			cluster.GenerateTraffic(&tally, z, unsafeRoute, layout.Rate, duration)
		}
		time.Sleep(time.Second)
		scenario(c, cluster)
		cluster.background.Go(func() { time.Sleep(duration + 4*time.Second) })
		time.Sleep(duration + 4*time.Second)
		served, requests, outcome := tally.Counts()
		c.Logf("%d of %d requests succeeded: %s", served, requests, outcome)
		c.Check(cluster.Verify(), qt.HasLen, 0)
		c.Check(float64(served) >= minSuccessRatio*float64(requests), qt.IsTrue, qt.Commentf("%d of %d requests succeeded: %s", served, requests, outcome))
	})
}

// startDraining announces to one control process that a host drains, with call "instances.leave" or "instances.heartbeat". It returns the
// status of the response and its latency.
func (cl *Cluster) startDraining(at int, host *Host, sequence int, call string) (int, time.Duration) {
	body, _ := json.Marshal(map[string]any{"address": host.Address, "information": map[string]any{"service": host.Service, "version": host.Version, "zone-name": host.Zone,
		"slot-count": 3}, "current-status": map[string]any{"server-state": "draining", "sequence": sequence, "cold-remaining-s": 0}})
	if call == "instances.leave" {
		body = nil
	}
	start := time.Now()
	status, _ := cl.callOneFor(at, call, host.ID, body)
	return status, time.Since(start)
}

// setPartition partitions a control process from all others, or ends the partition.
func (cl *Cluster) setPartition(node *ControlNode, partitioned bool) {
	for _, x := range cl.Controls {
		if x != node {
			cl.Network.SetPartition(node.Settings.IP, x.Settings.IP, partitioned)
		}
	}
}

// connectedControl reports whether a machine has a connection to the first internal port of another.
func (cl *Cluster) connectedControl(from, to string) bool {
	cl.Network.mu.Lock()
	defer cl.Network.mu.Unlock()
	for x := range cl.Network.conns {
		if x.local.IP.String() == from && x.remote.IP.String() == to && x.remote.Port == firstInternalPort {
			return true
		}
	}
	return false
}
