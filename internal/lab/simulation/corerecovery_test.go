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

// Four of six never come back. The operator recovers with one of the other two as the only member; the other joins, two of the lost
// ones come back after all with their disks, are fenced, and join: there is one set of members with one state, and changes are
// confirmed.
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
			c.Check(status, qt.Equals, 0) // two of six take nothing
			at := 4
			if cluster.coreStatus(5).Index > cluster.coreStatus(4).Index {
				at = 5
			}
			var r server.CoreRecovery
			status, raw = cluster.callOne(at, "core.recover", map[string]any{})
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
			c.Assert(json.Unmarshal(raw, &r), qt.IsNil)
			c.Check(r.Done, qt.IsFalse)
			c.Check(r.Losses, qt.HasLen, 5) // four silent, and what only they hold
			old := cluster.coreStatus(at)
			c.Check(r.ConfirmPhrase, qt.Equals, fmt.Sprintf("epoch %d number %d", old.Epoch, old.Index))
			status, _ = cluster.callOne(at, "core.recover", map[string]any{"confirm": "epoch 1 number 1"})
			c.Check(status, qt.Equals, 400)
			for range 2 { // the same once more finds that it is done
				status, raw = cluster.callOne(at, "core.recover", map[string]any{"confirm": r.ConfirmPhrase})
				c.Check(status, qt.Equals, 200, qt.Commentf("%s", raw))
				c.Check(string(raw), qt.Contains, `"done":true`)
			}
			c.Check(cluster.coreStatus(at).Epoch > old.Epoch && cluster.coreStatus(at).Index > old.Index, qt.IsTrue)
			waitUntil(c, 5*time.Second, "the other joins", func() bool { return cluster.converged(2) })
			change := unsafeRoute
			status, _, _ = cluster.Call("configuration.modify", "", cluster.ChangeBody(false, change), 2*time.Second, 9-at)
			c.Check(status, qt.Equals, 200)
			c.Logf("seed %d: %v from the call to the first confirmed order", seed, time.Since(start).Round(10*time.Millisecond))
			cluster.Controls[0].mustStart()
			cluster.Controls[1].mustStart()
			waitUntil(c, 10*time.Second, "two old ones join", func() bool { return cluster.converged(4) })
			for i := range cluster.Controls {
				if i < 2 || i > 3 {
					_, raw := cluster.callOne(i, "configuration.read", nil)
					c.Check(string(raw), qt.Contains, "/issue/")
					writer.checkConfirmed(c, i) // the two had all that was confirmed
				}
			}
			for _, node := range cluster.Controls { // and all of it is on disk
				node.Kill()
			}
			time.Sleep(time.Second)
			for _, i := range []int{0, 1, 4, 5} {
				cluster.Controls[i].Disk.PowerLoss(i%2 == 0)
				cluster.Controls[i].mustStart()
			}
			waitUntil(c, 10*time.Second, "one core again", func() bool { return cluster.converged(4) })
			cluster.Controls[2].mustStart()
			cluster.Controls[3].mustStart()
			waitUntil(c, 10*time.Second, "all six", func() bool { return cluster.converged(6) })
		})
	}
}

// The members are partitioned, not lost, and the operator recovered by mistake: the four go on with the old members, and confirm
// changes, until they are in contact with the recovered one. Then they give way, and nothing is confirmed by the old members any
// more; what they confirmed meanwhile is lost, as the answer to the operator says.
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
		status, by, _ := cluster.Call("configuration.modify", "", cluster.ChangeBody(false, unsafeRoute), 2*time.Second, 0)
		c.Check(status, qt.Equals, 200)
		c.Check(by < 4, qt.IsTrue)
		old := cluster.coreStatus(4)
		status, raw := cluster.callOne(4, "core.recover", map[string]any{"confirm": fmt.Sprintf("epoch %d number %d", old.Epoch, old.Index)})
		c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
		partition(false)
		waitUntil(c, 12*time.Second, "one core", func() bool { return cluster.converged(6) })
		for i := range cluster.Controls {
			_, raw := cluster.callOne(i, "configuration.read", nil)
			c.Check(string(raw), qt.Not(qt.Contains), "/issue/")
			c.Check(cluster.coreStatus(i).Epoch > 1<<32, qt.IsTrue)
		}
	})
}

// Two are recovered at once, each as the only member, in a partition from each other. Both confirm changes by themselves until they
// are in contact: the one with the higher random draw has the later epoch and index, and the other gives way with all that it had
// confirmed.
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
			waitUntil(c, 15*time.Second, "one core", func() bool { return cluster.converged(6) })
			for i := range cluster.Controls {
				_, raw := cluster.callOne(i, "configuration.read", nil)
				c.Check(string(raw), qt.Contains, fmt.Sprintf("/at/%d/", later))
				c.Check(string(raw), qt.Not(qt.Contains), fmt.Sprintf("/at/%d/", 9-later))
			}
		})
	}
}

// Routers go by the core that was recovered, also those that had followed the others: what only those had confirmed goes,
// new routes and higher versions alike.
func TestCoreRecoveredRouters(t *testing.T) {
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
		waitUntil(c, 12*time.Second, "one core", func() bool { return cluster.converged(6) })
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

// A machine that was replaced long ago is switched on again with its disk, and a member is started from an image of its disk that
// was made hundreds of changes ago. Neither misleads another: their states are behind and don't count until they have caught up,
// and no change is lost. (Were the two more than half of the old members, as of three, they would be a quorum again: a restored
// disk has forgotten its vote on the members that came after. docs/operate/core.md says so.)
func TestCoreOldDisk(t *testing.T) {
	withControls(t, 4, 95, func(c *qt.C, cluster *Cluster) {
		w := cluster.recordMemberships(c)
		image := copyDisk(cluster.Controls[1].Disk)
		old := &ControlNode{cluster: cluster, Settings: cluster.Controls[2].Settings, Disk: cluster.Controls[2].Disk}
		cluster.Controls[2].Replace()
		cluster.Controls[2].mustStart()
		waitUntil(c, 10*time.Second, "replaced", func() bool { return cluster.converged(4) })
		writer := cluster.startWriter()
		time.Sleep(150 * time.Second) // more changes than are kept
		writer.mu.Lock()
		many := len(writer.confirmedAt)
		writer.mu.Unlock()
		c.Check(many > 560, qt.IsTrue, qt.Commentf("%d", many))

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
		time.Sleep(4 * time.Second) // the two by themselves
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
		waitUntil(c, 10*time.Second, "all are in touch, the old one stands by", func() bool {
			learners := cluster.coreStatus(0).Learners
			return cluster.sameMembership(4, false) && len(learners) == 1 && learners[0].IP == old.Settings.IP
		})
		writer.close()
		waitUntil(c, 2*time.Second, "with one state", func() bool { return cluster.converged(4) })
		for i := range cluster.Controls {
			writer.checkConfirmed(c, i)
		}
		w.close()
	})
}

// The disk of the process that is to be the only member hangs: as long as the recovery isn't on it, the call isn't acknowledged,
// however often it is sent.
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
		waitUntil(c, 5*time.Second, "one core of one", func() bool { return h.converged(1) })
		c.Check(h.coreStatus(0).Epoch > old.Epoch, qt.IsTrue)
	})
}
