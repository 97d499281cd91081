package simulation

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"portflow/internal/random"
)

// A member that is removed while it runs isn't added again by itself, also not after a restart; an operator's change adds it, or a
// new disk. A dry run changes nothing.
func TestCoreRemovedAndAdded(t *testing.T) {
	withControls(t, 6, 3, func(c *qt.C, cluster *Cluster) {
		name := cluster.Controls[2].Settings.Name
		coreStatus := cluster.coreStatus(1)
		c.Check(coreStatus.Tolerates, qt.Equals, 2)
		c.Check(coreStatus.ToleratedZones, qt.HasLen, 6)
		out, status, _ := cluster.changeCore(1, "remove", name, "", true, false)
		c.Check(status, qt.Equals, 200)
		c.Check(out.Done, qt.IsFalse)
		c.Check(out.Tolerates, qt.Equals, [2]int{2, 2})
		c.Check(cluster.coreStatus(1).Epoch, qt.Equals, coreStatus.Epoch)

		for range 2 { // again it finds that it stands
			out, status, raw := cluster.changeCore(1, "remove", name, "", false, false)
			c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
			c.Check(out.Done, qt.IsTrue)
		}
		out1 := func() bool {
			coreStatus := cluster.coreStatus(4)
			return len(coreStatus.Members) == 5 && slices.Contains(memberNames(coreStatus.Learners), name) && slices.Contains(memberNames(coreStatus.Excluded), name)
		}
		time.Sleep(8 * time.Second)
		c.Check(out1(), qt.IsTrue, qt.Commentf("%+v", cluster.coreStatus(4)))
		epoch := cluster.coreStatus(4).Epoch
		c.Check(epoch, qt.Equals, coreStatus.Epoch+1)
		cluster.Controls[2].Kill()
		cluster.Controls[2].mustStart()
		time.Sleep(8 * time.Second)
		c.Check(out1(), qt.IsTrue, qt.Commentf("%+v", cluster.coreStatus(4)))
		c.Check(cluster.coreStatus(2).Status, qt.Equals, "in touch")

		_, status, raw := cluster.changeCore(2, "add", name, "", false, false)
		c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
		waitUntil(c, time.Second, "it is in", func() bool { return cluster.converged(6) })
		c.Check(cluster.coreStatus(0).Excluded, qt.HasLen, 0)

		_, status, _ = cluster.changeCore(0, "remove", name, "", false, false)
		c.Check(status, qt.Equals, 200)
		cluster.Controls[2].Kill()
		cluster.Controls[2].Disk.Wipe()
		cluster.Controls[2].mustStart()
		waitUntil(c, 8*time.Second, "it is in with a new disk", func() bool { return cluster.converged(6) })
		for _, x := range []struct {
			do, who, with, says string
			status              int
		}{
			{"remove", "nobody", "", "no member or learner", 404},
			{"add", "nobody", "", "is not connected", 404},
			{"replace", name, "nobody", "is not connected", 404},
			{"burn", name, "", "must be remove, add or replace", 400},
		} {
			_, status, raw := cluster.changeCore(1, x.do, x.who, x.with, false, false)
			c.Check(status, qt.Equals, x.status, qt.Commentf("%s", raw))
			c.Check(string(raw), qt.Contains, x.says)
		}
	})
}

// What would leave no loss to bear is refused, and with --force done; what leaves no majority that is heard never is.
func TestCoreRemovalRefused(t *testing.T) {
	withControls(t, 3, 4, func(c *qt.C, cluster *Cluster) {
		_, status, raw := cluster.changeCore(0, "remove", cluster.Controls[2].Settings.IP, "", false, false)
		c.Check(status, qt.Equals, 400)
		c.Check(string(raw), qt.Contains, "would tolerate no loss")
		out, status, _ := cluster.changeCore(0, "remove", cluster.Controls[2].Settings.IP, "", false, true)
		c.Check(status, qt.Equals, 200)
		c.Check(out.Tolerates, qt.Equals, [2]int{1, 0})
		waitUntil(c, 2*time.Second, "one core of two", func() bool { return cluster.converged(2) })
		cluster.Controls[1].Kill()
		time.Sleep(2 * time.Second)
		_, status, _ = cluster.changeCore(0, "remove", cluster.Controls[0].Settings.IP, "", false, true)
		c.Check(status, qt.Equals, 503) // without a majority nothing is ordered
	})
	withControls(t, 3, 5, func(c *qt.C, cluster *Cluster) {
		cluster.Controls[1].Kill()
		time.Sleep(2 * time.Second)
		_, status, raw := cluster.changeCore(0, "remove", cluster.Controls[2].Settings.IP, "", false, true)
		c.Check(status, qt.Equals, 400)
		c.Check(string(raw), qt.Contains, "can't be committed")
		_, status, _ = cluster.changeCore(0, "remove", cluster.Controls[1].Settings.IP, "", false, true)
		c.Check(status, qt.Equals, 200) // the lost one goes: two of two
	})
}

// A lost machine is replaced by order, at once: its successor is in another zone, so that it wouldn't go by itself.
func TestCoreReplacedByOrder(t *testing.T) {
	withControls(t, 6, 6, func(c *qt.C, cluster *Cluster) {
		lost := cluster.Controls[5].Settings
		cluster.Controls[5].Replace()
		node := cluster.Controls[5]
		node.Settings.Zone, node.Settings.Region = cluster.Controls[4].Settings.Zone, cluster.Controls[4].Settings.Region
		node.mustStart()
		standsBy := func() bool { // its zone has a member: it is ready, and isn't voted in by itself
			coreStatus := cluster.coreStatus(0)
			return len(coreStatus.Members) == 6 && len(coreStatus.Learners) == 1 && coreStatus.Learners[0].Name == node.Settings.Name && coreStatus.Learners[0].CaughtUp
		}
		waitUntil(c, 8*time.Second, "it stands by", standsBy)
		time.Sleep(6 * time.Second)
		c.Check(standsBy(), qt.IsTrue, qt.Commentf("%+v", cluster.coreStatus(0)))
		_, status, raw := cluster.changeCore(3, "replace", lost.Name, node.Settings.Name, false, false)
		c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
		waitUntil(c, 2*time.Second, "one core", func() bool { return cluster.converged(6) })
		c.Check(memberNames(cluster.coreStatus(0).Excluded), qt.DeepEquals, []string{lost.Name})
	})
}

// The time from a loss until the core bears as much as before it, as it is and as a process counts it.
func TestCoreTolerance(t *testing.T) {
	for name, x := range map[string]struct {
		harm func(cluster *Cluster) // at process 3
		back func(cluster *Cluster)
	}{
		"killed, and started after 1 s": {func(cluster *Cluster) { cluster.Controls[3].Kill() }, func(cluster *Cluster) { time.Sleep(time.Second); cluster.Controls[3].mustStart() }},
		"without power, and started after 10 s": {func(cluster *Cluster) {
			cluster.Network.SetPoweredOff(cluster.Controls[3].Settings.IP, true)
			cluster.Controls[3].Kill()
		}, func(cluster *Cluster) {
			time.Sleep(10 * time.Second)
			cluster.Network.SetPoweredOff(cluster.Controls[3].Settings.IP, false)
			cluster.Controls[3].mustStart()
		}},
		"wiped, and started at once": {func(cluster *Cluster) { cluster.Controls[3].Kill(); cluster.Controls[3].Disk.Wipe() }, func(cluster *Cluster) { cluster.Controls[3].mustStart() }},
		"replaced by a new machine at once": {func(cluster *Cluster) {
			cluster.Network.SetPoweredOff(cluster.Controls[3].Settings.IP, true)
			cluster.Controls[3].Replace()
		}, func(cluster *Cluster) { cluster.Controls[3].mustStart() }},
		"replaced by a new machine after 10 s": {func(cluster *Cluster) {
			cluster.Network.SetPoweredOff(cluster.Controls[3].Settings.IP, true)
			cluster.Controls[3].Replace()
		}, func(cluster *Cluster) { time.Sleep(10 * time.Second); cluster.Controls[3].mustStart() }},
		"lost for good, and removed by order": {func(cluster *Cluster) {
			cluster.Network.SetPoweredOff(cluster.Controls[3].Settings.IP, true)
			cluster.Controls[3].Kill()
		}, func(cluster *Cluster) {
			time.Sleep(10 * time.Second)
			cluster.changeCore(0, "remove", cluster.Controls[3].Settings.Name, "", false, false)
		}},
		"frozen for 8 s": {func(cluster *Cluster) { cluster.Network.Freeze(cluster.Controls[3].Settings.IP, true) }, func(cluster *Cluster) {
			time.Sleep(8 * time.Second)
			cluster.Network.Freeze(cluster.Controls[3].Settings.IP, false)
		}},
	} {
		withControls(t, 6, 80, func(c *qt.C, cluster *Cluster) {
			writer := cluster.startWriter()
			time.Sleep(time.Second)
			start := time.Now()
			x.harm(cluster)
			cluster.background.Go(func() { x.back(cluster) })
			seen := waitUntil(c, 5*time.Second, name+": the loss is seen", func() bool {
				coreStatus := cluster.coreStatus(1)
				return coreStatus.Tolerance.SinceSeconds > 0 || coreStatus.Tolerance.LastSeconds > 0
			})
			waitUntil(c, 30*time.Second, name+": the margin is back", func() bool {
				coreStatus := cluster.coreStatus(1)
				return coreStatus.Tolerates == 2 && coreStatus.Tolerance.LastSeconds > 0
			})
			restored := time.Since(start)
			time.Sleep(4 * time.Second)
			coreStatus := cluster.coreStatus(1)
			writer.close()
			c.Check(coreStatus.Tolerance.SinceSeconds, qt.Equals, 0.0)
			c.Check(coreStatus.Tolerance.LastSeconds > 0 && coreStatus.Tolerance.LastSeconds <= restored.Seconds()+0.2, qt.IsTrue, qt.Commentf("%+v", coreStatus.Tolerance))
			c.Logf("%s: seen after %v, margin back after %v (counted: %.2f s), %d members at the end; longest without a confirmed order %v", name,
				seen.Round(10*time.Millisecond), restored.Round(10*time.Millisecond), coreStatus.Tolerance.LastSeconds, len(coreStatus.Members), writer.longestGap(start).Round(10*time.Millisecond))
			for i, node := range cluster.Controls {
				if node.cancel != nil {
					writer.checkConfirmed(c, i)
				}
			}
		})
	}
}

func (r *membershipRecorder) close() int { close(r.stop); r.pending.Wait(); return len(r.byEpoch) }

// A first start in any order of the machines, up to seconds apart, with a seed that starts late or only after changes have been
// accepted: there is one set of members, of all in the end, and nothing that was confirmed is lost.
func TestCoreFirstStart(t *testing.T) {
	runSeeds(t, 24, func(t *testing.T, seed int) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			rng := random.Source{Seed: uint64(seed)*31 + 7}
			n := func(n int) int { return int(rng.Float64() * float64(n)) }
			cluster := New(Layout{Zones: 3 + n(5), Services: []string{"desk"}, Seed: uint64(seed)})
			defer cluster.Stop()
			w := cluster.recordMemberships(c)
			order := make([]int, len(cluster.Controls))
			for i := range order {
				order[i] = i
			}
			for i := range order {
				j := i + n(len(order)-i)
				order[i], order[j] = order[j], order[i]
			}
			late, apart := -1, []int{1, 300, 3000}[n(3)]
			if n(2) == 0 {
				late = n(3) // a seed that stays down
			}
			for _, i := range order {
				if i != late {
					time.Sleep(time.Duration(n(apart)) * time.Millisecond)
					cluster.Controls[i].mustStart()
				}
			}
			start := time.Now()
			up := len(order) - lo.Ternary(late >= 0, 1, 0)
			first := order[0]
			if first == late {
				first = order[1]
			}
			elapsed := waitUntil(c, 20*time.Second, "a core of those that are up", func() bool { return len(cluster.coreStatus(first).Members) == up && cluster.converged(up) })
			status, _, raw := cluster.Call("configuration.modify", "", cluster.ChangeBody(true, safeRoute), 5*time.Second, first)
			c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
			writer := cluster.startWriter()
			time.Sleep(2 * time.Second)
			if late >= 0 {
				cluster.Controls[late].mustStart()
			}
			waitUntil(c, 20*time.Second, "a core of all", func() bool { return cluster.sameMembership(len(order), false) })
			writer.close()
			waitUntil(c, 2*time.Second, "with one state", func() bool { return cluster.converged(len(order)) })
			for i := range cluster.Controls {
				writer.checkConfirmed(c, i)
			}
			c.Logf("seed %d: %d processes in the order %v, up to %d ms apart, seed %d down: one core %v after the last start, %d epochs; at the end %v after its start",
				seed, len(order), order, apart, late, elapsed.Round(10*time.Millisecond), w.close(), time.Since(start).Round(time.Second))
		})
	})
}

// Among many proxies, of which each process knows a few, a member that the settings don't name is found at once all the same: it
// connects to those that they name.
func TestCoreDiscoveredAmongMany(t *testing.T) {
	for _, routers := range []int{15, 40} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			cluster := New(Layout{Zones: 6, ProxiesPerZone: routers, Services: []string{"desk"}, Seed: uint64(routers)})
			c.Assert(cluster.Start(), qt.IsNil)
			defer cluster.Stop()
			elapsed := waitUntil(c, 3*time.Second, "all are members", func() bool { return cluster.sameMembership(6, false) })
			c.Logf("%d routers: %v", 6*routers, elapsed)
		})
	}
}
