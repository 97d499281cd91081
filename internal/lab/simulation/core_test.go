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

// A voting member that is removed while it runs doesn't rejoin by itself, even after a restart; it returns when an operator adds it or
// when it starts with an empty disk. A dry run changes nothing.
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

		for range 2 { // repeating the call succeeds and changes nothing
			out, status, raw := cluster.changeCore(1, "remove", name, "", false, false)
			c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
			c.Check(out.Done, qt.IsTrue)
		}
		removedAndLearner := func() bool {
			coreStatus := cluster.coreStatus(4)
			return len(coreStatus.Members) == 5 && slices.Contains(memberNames(coreStatus.Learners), name) && slices.Contains(memberNames(coreStatus.Excluded), name)
		}
		time.Sleep(8 * time.Second)
		c.Check(removedAndLearner(), qt.IsTrue, qt.Commentf("%+v", cluster.coreStatus(4)))
		epoch := cluster.coreStatus(4).Epoch
		c.Check(epoch, qt.Equals, coreStatus.Epoch+1)
		cluster.Controls[2].Kill()
		cluster.Controls[2].mustStart()
		time.Sleep(8 * time.Second)
		c.Check(removedAndLearner(), qt.IsTrue, qt.Commentf("%+v", cluster.coreStatus(4)))
		c.Check(cluster.coreStatus(2).Status, qt.Equals, "in touch")

		_, status, raw := cluster.changeCore(2, "add", name, "", false, false)
		c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
		waitUntil(c, time.Second, "it is a member again", func() bool { return cluster.converged(6) })
		c.Check(cluster.coreStatus(0).Excluded, qt.HasLen, 0)

		_, status, _ = cluster.changeCore(0, "remove", name, "", false, false)
		c.Check(status, qt.Equals, 200)
		cluster.Controls[2].Kill()
		cluster.Controls[2].Disk.Wipe()
		cluster.Controls[2].mustStart()
		waitUntil(c, 8*time.Second, "it is a member again with an empty disk", func() bool { return cluster.converged(6) })
		for _, x := range []struct {
			action, member, replacement, reason string
			status                              int
		}{
			{"remove", "nobody", "", "no member or learner", 404},
			{"add", "nobody", "", "is not connected", 404},
			{"replace", name, "nobody", "is not connected", 404},
			{"burn", name, "", "must be remove, add or replace", 400},
		} {
			_, status, raw := cluster.changeCore(1, x.action, x.member, x.replacement, false, false)
			c.Check(status, qt.Equals, x.status, qt.Commentf("%s", raw))
			c.Check(string(raw), qt.Contains, x.reason)
		}
	})
}

// A removal that would leave the voting members without fault tolerance is rejected unless forced. One that would leave no connected
// majority is rejected even then.
func TestCoreRemovalRefused(t *testing.T) {
	withControls(t, 3, 4, func(c *qt.C, cluster *Cluster) {
		_, status, raw := cluster.changeCore(0, "remove", cluster.Controls[2].Settings.IP, "", false, false)
		c.Check(status, qt.Equals, 400)
		c.Check(string(raw), qt.Contains, "would tolerate no loss")
		out, status, _ := cluster.changeCore(0, "remove", cluster.Controls[2].Settings.IP, "", false, true)
		c.Check(status, qt.Equals, 200)
		c.Check(out.Tolerates, qt.Equals, [2]int{1, 0})
		waitUntil(c, 2*time.Second, "converged with two members", func() bool { return cluster.converged(2) })
		cluster.Controls[1].Kill()
		time.Sleep(2 * time.Second)
		_, status, _ = cluster.changeCore(0, "remove", cluster.Controls[0].Settings.IP, "", false, true)
		c.Check(status, qt.Equals, 503) // nothing is committed without a majority
	})
	withControls(t, 3, 5, func(c *qt.C, cluster *Cluster) {
		cluster.Controls[1].Kill()
		time.Sleep(2 * time.Second)
		_, status, raw := cluster.changeCore(0, "remove", cluster.Controls[2].Settings.IP, "", false, true)
		c.Check(status, qt.Equals, 400)
		c.Check(string(raw), qt.Contains, "can't be committed")
		_, status, _ = cluster.changeCore(0, "remove", cluster.Controls[1].Settings.IP, "", false, true)
		c.Check(status, qt.Equals, 200) // removing the lost member leaves two of two
	})
}

// An operator replaces a lost member by a machine in another zone, which would not become a voting member by itself.
func TestCoreReplacedByOperator(t *testing.T) {
	withControls(t, 6, 6, func(c *qt.C, cluster *Cluster) {
		lost := cluster.Controls[5].Settings
		cluster.Controls[5].Replace()
		node := cluster.Controls[5]
		node.Settings.Zone, node.Settings.Region = cluster.Controls[4].Settings.Zone, cluster.Controls[4].Settings.Region
		node.mustStart()
		caughtUpLearner := func() bool { // its zone already has a member, so it stays a learner
			coreStatus := cluster.coreStatus(0)
			return len(coreStatus.Members) == 6 && len(coreStatus.Learners) == 1 && coreStatus.Learners[0].Name == node.Settings.Name && coreStatus.Learners[0].CaughtUp
		}
		waitUntil(c, 8*time.Second, "it is a learner that has caught up", caughtUpLearner)
		time.Sleep(6 * time.Second)
		c.Check(caughtUpLearner(), qt.IsTrue, qt.Commentf("%+v", cluster.coreStatus(0)))
		_, status, raw := cluster.changeCore(3, "replace", lost.Name, node.Settings.Name, false, false)
		c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
		waitUntil(c, 2*time.Second, "the cluster has converged", func() bool { return cluster.converged(6) })
		c.Check(memberNames(cluster.coreStatus(0).Excluded), qt.DeepEquals, []string{lost.Name})
	})
}

// After a loss, fault tolerance is restored, and the control processes report correctly how long that took.
func TestCoreTolerance(t *testing.T) {
	for name, x := range map[string]struct {
		fail    func(cluster *Cluster) // applied to control process 3
		restore func(cluster *Cluster)
	}{
		"killed, and started after 1 s": {func(cluster *Cluster) { cluster.Controls[3].Kill() }, func(cluster *Cluster) { time.Sleep(time.Second); cluster.Controls[3].mustStart() }},
		"powered off, and started after 10 s": {func(cluster *Cluster) {
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
		"lost for good, and removed by an operator": {func(cluster *Cluster) {
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
			x.fail(cluster)
			cluster.background.Go(func() { x.restore(cluster) })
			detected := waitUntil(c, 5*time.Second, name+": the loss is detected", func() bool {
				coreStatus := cluster.coreStatus(1)
				return coreStatus.Tolerance.SinceSeconds > 0 || coreStatus.Tolerance.LastSeconds > 0
			})
			waitUntil(c, 30*time.Second, name+": fault tolerance is restored", func() bool {
				coreStatus := cluster.coreStatus(1)
				return coreStatus.Tolerates == 2 && coreStatus.Tolerance.LastSeconds > 0
			})
			restored := time.Since(start)
			time.Sleep(4 * time.Second)
			coreStatus := cluster.coreStatus(1)
			writer.close()
			c.Check(coreStatus.Tolerance.SinceSeconds, qt.Equals, 0.0)
			c.Check(coreStatus.Tolerance.LastSeconds > 0 && coreStatus.Tolerance.LastSeconds <= restored.Seconds()+0.2, qt.IsTrue, qt.Commentf("%+v", coreStatus.Tolerance))
			c.Logf("%s: detected after %v, tolerance restored after %v (reported: %.2f s), %d members at the end; longest time without a confirmed change %v", name,
				detected.Round(10*time.Millisecond), restored.Round(10*time.Millisecond), coreStatus.Tolerance.LastSeconds, len(coreStatus.Members), writer.longestGap(start).Round(10*time.Millisecond))
			for i, node := range cluster.Controls {
				if node.cancel != nil {
					writer.checkConfirmed(c, i)
				}
			}
		})
	}
}

func (r *membershipRecorder) close() int { close(r.stop); r.pending.Wait(); return len(r.byEpoch) }

// The control processes of a new cluster start in any order, up to seconds apart, and a seed node may start only after changes have
// been accepted. They form a single member list, which includes all of them in the end, and no confirmed change is lost.
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
				late = n(3) // a seed node that starts late
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
			elapsed := waitUntil(c, 20*time.Second, "converged with the running processes", func() bool { return len(cluster.coreStatus(first).Members) == up && cluster.converged(up) })
			status, _, raw := cluster.Call("configuration.modify", "", cluster.ChangeBody(true, safeRoute), 5*time.Second, first)
			c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
			writer := cluster.startWriter()
			time.Sleep(2 * time.Second)
			if late >= 0 {
				cluster.Controls[late].mustStart()
			}
			waitUntil(c, 20*time.Second, "all are members", func() bool { return cluster.sameMembership(len(order), false) })
			writer.close()
			waitUntil(c, 2*time.Second, "all have the same index", func() bool { return cluster.converged(len(order)) })
			for i := range cluster.Controls {
				writer.checkConfirmed(c, i)
			}
			c.Logf("seed %d: %d processes started in the order %v, up to %d ms apart, seed node %d late: converged %v after the last start, %d epochs; finished %v after it",
				seed, len(order), order, apart, late, elapsed.Round(10*time.Millisecond), w.close(), time.Since(start).Round(time.Second))
		})
	})
}

// A control process that isn't a seed node is discovered quickly even among many proxies, of which each process knows only a few,
// because it connects to the seed nodes.
func TestCoreDiscoveredAmongMany(t *testing.T) {
	for _, proxies := range []int{15, 40} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			cluster := New(Layout{Zones: 6, ProxiesPerZone: proxies, Services: []string{"desk"}, Seed: uint64(proxies)})
			c.Assert(cluster.Start(), qt.IsNil)
			defer cluster.Stop()
			elapsed := waitUntil(c, 3*time.Second, "all are members", func() bool { return cluster.sameMembership(6, false) })
			c.Logf("%d proxies: %v", 6*proxies, elapsed)
		})
	}
}
