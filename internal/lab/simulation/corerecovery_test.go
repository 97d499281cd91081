package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"portflow/internal/control/server"
)

// Four of six members are lost, and the operator recovers with one of the remaining two as the only member. The other one joins, and
// so do two of the lost ones, which return with their old disks and are fenced. All agree on members and state, and no confirmed change
// is lost.
func TestCoreRecovered(t *testing.T) {
	for seed := range uint64(3) {
		withControls(t, 6, 20+seed, func(c *qt.C, cluster *Cluster) {
			writer := cluster.startWriter()
			time.Sleep(time.Second)
			status, raw := cluster.callOne(4, "core.recover", map[string]any{"confirm": ""})
			c.Check(status, qt.Equals, 400)
			c.Check(string(raw), qt.Contains, "a majority of the voting members is connected")
			for _, node := range cluster.Controls[:4] {
				node.Kill()
			}
			time.Sleep(4 * time.Second)
			writer.close()
			start := time.Now()
			status, _, _ = cluster.Call("configuration.modify", "", cluster.ChangeBody(false, unsafeRoute), 2*time.Second, 4)
			c.Check(status, qt.Equals, 0) // two of six can't commit
			at := 4
			if cluster.coreStatus(5).Index > cluster.coreStatus(4).Index {
				at = 5
			}
			var r server.CoreRecovery
			status, raw = cluster.callOne(at, "core.recover", map[string]any{})
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
			c.Assert(json.Unmarshal(raw, &r), qt.IsNil)
			c.Check(r.Done, qt.IsFalse)
			c.Check(r.Losses, qt.HasLen, 5) // four unreachable members, and the changes that only they may have
			old := cluster.coreStatus(at)
			c.Check(r.ConfirmPhrase, qt.Equals, fmt.Sprintf("epoch %d number %d", old.Epoch, old.Index))
			status, _ = cluster.callOne(at, "core.recover", map[string]any{"confirm": "epoch 1 number 1"})
			c.Check(status, qt.Equals, 400)
			for range 2 { // repeating the call succeeds
				status, raw = cluster.callOne(at, "core.recover", map[string]any{"confirm": r.ConfirmPhrase})
				c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
				c.Check(string(raw), qt.Contains, `"done":true`)
			}
			c.Check(cluster.coreStatus(at).Epoch > old.Epoch && cluster.coreStatus(at).Index > old.Index, qt.IsTrue)
			waitUntil(c, 5*time.Second, "the other one joins", func() bool { return cluster.converged(2) })
			change := unsafeRoute
			status, _, _ = cluster.Call("configuration.modify", "", cluster.ChangeBody(false, change), 2*time.Second, 9-at)
			c.Check(status, qt.Equals, 200)
			c.Logf("seed %d: %v from the call to the first confirmed change", seed, time.Since(start).Round(10*time.Millisecond))
			cluster.Controls[0].mustStart()
			cluster.Controls[1].mustStart()
			waitUntil(c, 10*time.Second, "two lost members join", func() bool { return cluster.converged(4) })
			for i := range cluster.Controls {
				if i < 2 || i > 3 {
					_, raw := cluster.callOne(i, "configuration.read", nil)
					c.Check(string(raw), qt.Contains, "/issue/")
					writer.checkConfirmed(c, i) // the two remaining members had every confirmed change
				}
			}
			for _, node := range cluster.Controls { // all of it must be on disk
				node.Kill()
			}
			time.Sleep(time.Second)
			for _, i := range []int{0, 1, 4, 5} {
				cluster.Controls[i].Disk.PowerLoss(i%2 == 0)
				cluster.Controls[i].mustStart()
			}
			waitUntil(c, 10*time.Second, "converged after the restart", func() bool { return cluster.converged(4) })
			cluster.Controls[2].mustStart()
			cluster.Controls[3].mustStart()
			waitUntil(c, 10*time.Second, "all six are members", func() bool { return cluster.converged(6) })
		})
	}
}

// The operator recovers by mistake, as the other members are only partitioned. These keep confirming changes under the old member list
// until they reconnect; then they adopt the recovered list. What they confirmed meanwhile is lost, as the response to the operator
// states.
func TestCoreRecoveredWhileOthersRun(t *testing.T) {
	withControls(t, 6, 31, func(c *qt.C, cluster *Cluster) {
		partition := func(on bool) {
			for a := range 4 {
				for b := 4; b < 6; b++ {
					cluster.Network.SetPartition(cluster.Controls[a].Settings.IP, cluster.Controls[b].Settings.IP, on)
				}
			}
		}
		partition(true)
		time.Sleep(4 * time.Second)
		status, confirmedBy, _ := cluster.Call("configuration.modify", "", cluster.ChangeBody(false, unsafeRoute), 2*time.Second, 0)
		c.Check(status, qt.Equals, 200)
		c.Check(confirmedBy < 4, qt.IsTrue)
		old := cluster.coreStatus(4)
		status, raw := cluster.callOne(4, "core.recover", map[string]any{"confirm": fmt.Sprintf("epoch %d number %d", old.Epoch, old.Index)})
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
		partition(false)
		waitUntil(c, 12*time.Second, "the cluster has converged", func() bool { return cluster.converged(6) })
		for i := range cluster.Controls {
			_, raw := cluster.callOne(i, "configuration.read", nil)
			c.Check(string(raw), qt.Not(qt.Contains), "/issue/")
			c.Check(cluster.coreStatus(i).Epoch > 1<<32, qt.IsTrue)
		}
	})
}

// Two processes that are partitioned from each other are both recovered as the only member, and each confirms changes alone. Once they
// reconnect, the one whose random draw gave it the higher epoch and index prevails, and the other discards what it had confirmed.
func TestCoreRecoveredTwice(t *testing.T) {
	for seed := range uint64(4) {
		withControls(t, 6, 40+seed, func(c *qt.C, cluster *Cluster) {
			for _, node := range cluster.Controls[:4] {
				node.Kill()
			}
			cluster.Network.SetPartition(cluster.Controls[4].Settings.IP, cluster.Controls[5].Settings.IP, true)
			time.Sleep(4 * time.Second)
			for at := 4; at < 6; at++ {
				coreStatus := cluster.coreStatus(at)
				status, raw := cluster.callOne(at, "core.recover", map[string]any{"confirm": fmt.Sprintf("epoch %d number %d", coreStatus.Epoch, coreStatus.Index)})
				c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
				status, raw = cluster.callOne(at, "configuration.modify", json.RawMessage(cluster.ChangeBody(false,
					Route{Name: fmt.Sprint("at-", at), Prefix: fmt.Sprintf("/at/%d/", at), Service: "desk", Version: "00000009"})))
				c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
			}
			a, b := cluster.coreStatus(4), cluster.coreStatus(5)
			c.Check(a.Epoch != b.Epoch && (a.Epoch > b.Epoch) == (a.Index > b.Index), qt.IsTrue, qt.Commentf("%+v %+v", a, b))
			later := lo.Ternary(a.Epoch > b.Epoch, 4, 5)
			cluster.Network.SetPartition(cluster.Controls[4].Settings.IP, cluster.Controls[5].Settings.IP, false)
			for _, node := range cluster.Controls[:4] {
				node.mustStart()
			}
			waitUntil(c, 15*time.Second, "the cluster has converged", func() bool { return cluster.converged(6) })
			for i := range cluster.Controls {
				_, raw := cluster.callOne(i, "configuration.read", nil)
				c.Check(string(raw), qt.Contains, fmt.Sprintf("/at/%d/", later))
				c.Check(string(raw), qt.Not(qt.Contains), fmt.Sprintf("/at/%d/", 9-later))
			}
		})
	}
}

// After a recovery all proxies adopt the state of the recovered member. Those that had followed the other members discard what only
// these had confirmed: new routes as well as higher versions.
func TestCoreRecoveredProxies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := New(Layout{Zones: 6, ProxiesPerZone: 1, Services: []string{"desk"}, Seed: 33})
		c.Assert(cluster.Start(), qt.IsNil)
		defer cluster.Stop()
		time.Sleep(2 * time.Second)
		configure(c, cluster, cluster.ChangeBody(true, safeRoute), 0)
		waitUntil(c, 10*time.Second, "all are members", func() bool { return cluster.converged(6) })
		partition := func(on bool) {
			for a := range 4 {
				for b := 4; b < 6; b++ {
					cluster.Network.SetPartition(cluster.Controls[a].Settings.IP, cluster.Controls[b].Settings.IP, on)
				}
			}
		}
		partition(true)
		time.Sleep(4 * time.Second)
		changed := safeRoute
		changed.Version, changed.Prefix = "00000007", "/looked/"
		status, _, _ := cluster.Call("configuration.modify", "", cluster.ChangeBody(false, unsafeRoute, changed), 2*time.Second, 0)
		c.Check(status, qt.Equals, 200)
		time.Sleep(2 * time.Second)
		c.Check(cluster.Proxies[0].Running.RouteVersions(), qt.DeepEquals, map[string]uint64{"safe-look": 7, "issue": 1})
		old := cluster.coreStatus(4)
		status, raw := cluster.callOne(4, "core.recover", map[string]any{"confirm": fmt.Sprintf("epoch %d number %d", old.Epoch, old.Index)})
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
		partition(false)
		waitUntil(c, 12*time.Second, "the cluster has converged", func() bool { return cluster.converged(6) })
		time.Sleep(3 * time.Second)
		for _, px := range cluster.Proxies {
			c.Check(px.Running.RouteVersions(), qt.DeepEquals, map[string]uint64{"safe-look": 1}, qt.Commentf(px.Settings.Name))
		}
		status, _, _ = cluster.Call("configuration.modify", "", cluster.ChangeBody(false, unsafeRoute), 2*time.Second, 1)
		c.Check(status, qt.Equals, 200)
		time.Sleep(2 * time.Second)
		for _, px := range cluster.Proxies {
			c.Check(px.Running.RouteVersions(), qt.DeepEquals, map[string]uint64{"safe-look": 1, "issue": 1}, qt.Commentf(px.Settings.Name))
		}
	})
}

// A machine that was replaced long ago is switched on again with its old disk, and a member is started from a disk image that is
// hundreds of changes old. Neither counts towards a quorum until it has caught up, and no change is lost. (If the two were a majority
// of the old members, as with three members, they could form a quorum, because a restored disk has lost its vote on later member
// lists; see docs/operate/core.md.)
func TestCoreOldDisk(t *testing.T) {
	withControls(t, 4, 95, func(c *qt.C, cluster *Cluster) {
		w := cluster.recordMemberships(c)
		image := copyDisk(cluster.Controls[1].Disk)
		old := &ControlNode{cluster: cluster, Settings: cluster.Controls[2].Settings, Disk: cluster.Controls[2].Disk}
		cluster.Controls[2].Replace()
		cluster.Controls[2].mustStart()
		waitUntil(c, 10*time.Second, "replaced", func() bool { return cluster.converged(4) })
		writer := cluster.startWriter()
		time.Sleep(150 * time.Second) // more changes than the log keeps
		writer.mu.Lock()
		confirmed := len(writer.confirmedAt)
		writer.mu.Unlock()
		c.Check(confirmed > 560, qt.IsTrue, qt.Commentf("%d", confirmed))

		cluster.Controls[1].Kill()
		image.SyncDelay = 5 * time.Millisecond
		cluster.Controls[1].Disk = image
		for _, node := range cluster.Controls {
			if node != cluster.Controls[1] {
				cluster.Network.SetPartition(cluster.Controls[1].Settings.IP, node.Settings.IP, true)
				cluster.Network.SetPartition(old.Settings.IP, node.Settings.IP, true)
			}
		}
		old.mustStart()
		cluster.Controls[1].mustStart()
		time.Sleep(4 * time.Second) // the two on their own
		c.Check(old.Status(), qt.Equals, "adrift")
		c.Check(cluster.Controls[1].Status(), qt.Equals, "adrift")
		status, _ := cluster.callOne(1, "configuration.modify", json.RawMessage(cluster.ChangeBody(false, unsafeRoute)))
		c.Check(status, qt.Equals, 503)
		for _, node := range cluster.Controls {
			if node != cluster.Controls[1] {
				cluster.Network.SetPartition(cluster.Controls[1].Settings.IP, node.Settings.IP, false)
				cluster.Network.SetPartition(old.Settings.IP, node.Settings.IP, false)
			}
		}
		cluster.Controls = append(cluster.Controls, old)
		waitUntil(c, 10*time.Second, "all have caught up, the replaced machine as a learner", func() bool {
			learners := cluster.coreStatus(0).Learners
			return cluster.sameMembership(4, false) && len(learners) == 1 && learners[0].IP == old.Settings.IP
		})
		writer.close()
		waitUntil(c, 2*time.Second, "all have the same index", func() bool { return cluster.converged(4) })
		for i := range cluster.Controls {
			writer.checkConfirmed(c, i)
		}
		w.close()
	})
}

// A recovery is not acknowledged, even if the call is repeated, until it is on the disk of the process that becomes the only member.
func TestRecoveryIsAcknowledgedFromDisk(t *testing.T) {
	withControls(t, 3, 41, func(c *qt.C, h *Cluster) {
		for _, m := range h.Controls[1:] {
			m.Kill()
		}
		time.Sleep(4 * time.Second)
		old := h.coreStatus(0)
		confirm := map[string]any{"confirm": fmt.Sprintf("epoch %d number %d", old.Epoch, old.Index)}
		h.Controls[0].Disk.setHanging(true)
		for range 3 {
			status, raw := h.callOne(0, "core.recover", confirm)
			c.Check(status, qt.Not(qt.Equals), 200, qt.Commentf("%s", raw))
		}
		h.Controls[0].Disk.setHanging(false)
		time.Sleep(time.Second)
		status, raw := h.callOne(0, "core.recover", confirm)
		c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
		h.Controls[0].Kill()
		h.Controls[0].Disk.PowerLoss(false)
		h.Controls[0].mustStart()
		waitUntil(c, 5*time.Second, "converged with one member", func() bool { return h.converged(1) })
		c.Check(h.coreStatus(0).Epoch > old.Epoch, qt.IsTrue)
	})
}
