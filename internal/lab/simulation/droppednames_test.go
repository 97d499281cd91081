package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
)

const (
	droppedPerChange = 370
	dropChanges      = 28 // in all more than 10,000 names
)

// dropBody returns a change that drops routes at a version.
func dropBody(version string, names ...string) []byte {
	drops := make([]map[string]any, 0, len(names))
	for _, name := range names {
		drops = append(drops, map[string]any{"name": name, "version": version})
	}
	return mustMarshal(map[string]any{"set-items": map[string]any{}, "drop-names": map[string]any{"routes": drops}})
}

// addAndDrop sends a change that adds routes, and one that drops them again. No name is used twice.
func (cl *Cluster) addAndDrop(c *qt.C, round int) {
	var routes []Route
	var names []string
	for n := range droppedPerChange {
		name := fmt.Sprintf("r-%d-%d", round, n)
		names = append(names, name)
		routes = append(routes, Route{Name: name, Prefix: "/" + name + "/", Service: "desk", Version: "00000010", Idempotent: true})
	}
	configure(c, cl, cl.ChangeBody(false, routes...), round%len(cl.Controls))
	configure(c, cl, dropBody("00000012", names...), (round+1)%len(cl.Controls))
}

// A dropped route came back when an older change of it arrived again after more than 10,000 other names had been dropped. It must
// stay dropped however many names were dropped since, at each control process and proxy, also after restarts and on a new machine.
func TestOlderChangeAfterManyDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := New(Layout{Zones: 3, ProxiesPerZone: 1, Services: []string{"desk"}, Seed: 63})
		c.Assert(cluster.Start(), qt.IsNil)
		defer cluster.Stop()
		time.Sleep(2 * time.Second)
		configure(c, cluster, cluster.ChangeBody(true, safeRoute), 0)
		waitUntil(c, 10*time.Second, "all are members", func() bool { return cluster.converged(3) })

		late := Route{Name: "r-late", Prefix: "/late/", Service: "desk", Version: "00000008", Idempotent: true}
		older := cluster.ChangeBody(false, late)
		configure(c, cluster, older, 0)
		configure(c, cluster, dropBody("00000009", late.Name), 0)
		for round := range dropChanges {
			cluster.addAndDrop(c, round)
		}

		sendOlder := func(when string) {
			for at := range cluster.Controls {
				status, raw := cluster.callOneFor(at, "configuration.modify", "", older)
				c.Check(status, qt.Equals, 200, qt.Commentf("%s: %s", when, raw))
			}
			time.Sleep(2 * time.Second)
			for at := range cluster.Controls {
				_, raw := cluster.callOneFor(at, "configuration.read", "", nil)
				c.Check(string(raw), qt.Contains, safeRoute.Name, qt.Commentf("%s: control process %d", when, at))
				c.Check(string(raw), qt.Not(qt.Contains), late.Name, qt.Commentf("%s: control process %d", when, at))
			}
			for _, node := range cluster.Proxies {
				item, known := node.Running.Item(config.Key{Kind: config.KindRoutes, Name: late.Name})
				c.Check(known && !item.Deleted, qt.IsFalse, qt.Commentf("%s: %s routes %s", when, node.Settings.Name, late.Name))
			}
		}
		sendOlder("at once")

		for _, node := range cluster.Controls {
			node.Kill()
		}
		for _, node := range cluster.Controls {
			c.Assert(node.Start(), qt.IsNil)
		}
		waitUntil(c, 20*time.Second, "the restarted processes have converged", func() bool { return cluster.converged(3) })
		time.Sleep(5 * time.Second)
		sendOlder("after a restart of all control processes")

		cluster.Controls[2].Replace()
		c.Assert(cluster.Controls[2].Start(), qt.IsNil)
		waitUntil(c, 60*time.Second, "the new machine is a member", func() bool { return cluster.converged(3) })
		cluster.Proxies[0].Kill()
		c.Assert(cluster.Proxies[0].Start(), qt.IsNil)
		time.Sleep(5 * time.Second)
		sendOlder("with a new machine and a new proxy")
		c.Check(cluster.Violations, qt.HasLen, 0)
	})
}
