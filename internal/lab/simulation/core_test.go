package simulation

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"portflow/internal/control/server"
	"portflow/internal/random"
)

// steadyWriter sends one small order after another, and keeps which were confirmed and when: what was confirmed must stand at the
// end, and the longest time between two of them is what a change of the core cost its callers.
type steadyWriter struct {
	cluster     *Cluster
	mu          sync.Mutex
	confirmed   [writerRoutes]uint64 // the highest version of each route
	sent        [writerRoutes]uint64
	confirmedAt []time.Time
	stop        chan bool
	done        chan bool
}

const writerRoutes = 20

func (cl *Cluster) startWriter() *steadyWriter {
	writer := &steadyWriter{cluster: cl, stop: make(chan bool), done: make(chan bool)}
	client := cl.httpClient(cl.Network.Process("10.200.0.30"), time.Second)
	go func() {
		defer close(writer.done)
		defer client.CloseIdleConnections()
		for n, to := 0, 0; ; n++ {
			select {
			case <-writer.stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			r, v := n%writerRoutes, uint64(n+10)
			change := cl.ChangeBody(false, Route{Name: fmt.Sprint("pulse-", r), Prefix: fmt.Sprintf("/pulse/%d/", r), Service: "desk", Version: fmt.Sprintf("%08d", v), Idempotent: true})
			writer.mu.Lock()
			writer.sent[r] = v
			writer.mu.Unlock()
			for range len(cl.Controls) {
				if status, _, err := callRPC(cl.ctx, client, cl.controlAddress(to), "configuration.modify", "", change); err == nil && status == 200 {
					writer.mu.Lock()
					writer.confirmed[r] = v
					writer.confirmedAt = append(writer.confirmedAt, time.Now())
					writer.mu.Unlock()
					break
				}
				to = (to + 1) % len(cl.Controls)
			}
		}
	}()
	return writer
}

// longestGap is the longest time without a confirmed order from a moment on.
func (w *steadyWriter) longestGap(from time.Time) (longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	last := from
	for _, at := range w.confirmedAt {
		if at.After(from) {
			longest, last = max(longest, at.Sub(last)), at
		}
	}
	return max(longest, time.Since(last))
}

func (w *steadyWriter) close() { close(w.stop); <-w.done }

// checkConfirmed checks at one process that all that was confirmed stands.
func (w *steadyWriter) checkConfirmed(c *qt.C, control int) {
	_, raw := w.cluster.callOne(control, "configuration.read", nil)
	for route, version := range w.confirmed {
		match := regexp.MustCompile(fmt.Sprintf(`"pulse-%d"[^\]]*"(\d{8})"\]`, route)).FindSubmatch(raw)
		if version == 0 {
			continue
		}
		stored := uint64(0)
		if match != nil {
			stored, _ = strconv.ParseUint(string(match[1]), 10, 64)
		}
		c.Check(stored >= version && stored <= w.sent[route], qt.IsTrue, qt.Commentf("at %d: route %d stands at %d, confirmed %d, sent %d", control, route, stored, version, w.sent[route]))
	}
}

// callOne makes one call to one process.
func (cl *Cluster) callOne(at int, call string, body any) (int, []byte) {
	raw := []byte(nil)
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	return cl.callOneFor(at, call, "", raw)
}

func (cl *Cluster) callOneFor(at int, call, target string, raw []byte) (int, []byte) {
	client := cl.httpClient(cl.Network.Process("10.200.0.31"), 2*time.Second)
	defer client.CloseIdleConnections()
	status, reply, err := callRPC(context.Background(), client, cl.controlAddress(at), call, target, raw)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return status, reply
}

func (cl *Cluster) coreStatus(at int) (coreStatus server.CoreStatus) {
	_, raw := cl.callOne(at, "core.read", nil)
	json.Unmarshal(raw, &coreStatus)
	return coreStatus
}

func (cl *Cluster) changeCore(at int, do, who, with string, dry, force bool) (out server.CoreChangeResult, status int, raw []byte) {
	status, raw = cl.callOne(at, "core.change", server.CoreChange{Action: do, Member: who, Replacement: with, DryRun: dry, Force: force})
	json.Unmarshal(raw, &out)
	return out, status, raw
}

func memberNames(all []server.CoreMember) []string {
	return lo.Map(all, func(x server.CoreMember, _ int) string { return x.Name })
}

// waitUntil waits for something, and tells how long that took; it fails after a while.
func waitUntil(c *qt.C, limit time.Duration, label string, condition func() bool) time.Duration {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			c.Errorf("%s: not within %v", label, limit)
			return limit
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}

// withControls plays something in a harbour of control processes alone, a zone each.
func withControls(t *testing.T, zones int, seed uint64, scenario func(c *qt.C, cluster *Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := New(Layout{Zones: zones, Services: []string{"desk"}, Seed: seed})
		c.Assert(cluster.Start(), qt.IsNil)
		defer cluster.Stop()
		time.Sleep(2 * time.Second)
		configure(c, cluster, cluster.ChangeBody(true, safeRoute), 0)
		waitUntil(c, 10*time.Second, "all are members", func() bool {
			return len(cluster.coreStatus(0).Members) == zones && cluster.coreStatus(0).Tolerates == zones-zones/2-1
		})
		scenario(c, cluster)
	})
}

// converged tells whether all that run have one list and one number, are in touch and whole; nothing may be ordered meanwhile.
func (cl *Cluster) converged(members int) bool { return cl.sameMembership(members, true) }

// sameMembership is one, with the number or without it.
func (cl *Cluster) sameMembership(members int, number bool) bool {
	first := server.CoreStatus{}
	for at, node := range cl.Controls {
		if node.cancel == nil {
			continue
		}
		coreStatus := cl.coreStatus(at)
		if coreStatus.Status != "in touch" || !coreStatus.Current || len(coreStatus.Members) != members {
			return false
		}
		if first.Node == "" {
			first = coreStatus
		}
		if coreStatus.Epoch != first.Epoch || number && coreStatus.Index != first.Index {
			return false
		}
	}
	return true
}

// A member that is let go while it lives isn't voted in again by itself, also not after a restart; it is by an order, or
// with a new disk. A dry run changes nothing.
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
			{"add", "nobody", "", "is not heard", 404},
			{"replace", name, "nobody", "is not heard", 404},
			{"burn", name, "", "not remove, add or replace", 400},
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
		c.Check(string(raw), qt.Contains, "would bear no loss")
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
		c.Check(string(raw), qt.Contains, "can't be taken over")
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

// Four of six never come back. The operator makes one of the other two the whole core; the other joins, two of the lost
// come back after all with their disks, are fenced, and join: one core, one state, orders are confirmed.
func TestCoreRecovered(t *testing.T) {
	for seed := range uint64(3) {
		withControls(t, 6, 20+seed, func(c *qt.C, cluster *Cluster) {
			writer := cluster.startWriter()
			time.Sleep(time.Second)
			status, raw := cluster.callOne(4, "core.recover", map[string]any{"confirm": ""})
			c.Check(status, qt.Equals, 400)
			c.Check(string(raw), qt.Contains, "more than half of the members are heard")
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

// The disk of the process that is to be the whole core hangs: as long as nothing of the recovery is on it, the call isn't
// acknowledged, however often it is sent.
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

// The core is parted, not lost, and the operator was wrong: the four go on by the old list, and confirm, until they hear the
// recovered one. Then they give way, and nothing is confirmed by the old list any more; what they confirmed meanwhile is
// lost, as the call says.
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

// Two are made the whole core at once, behind a cut from each other. Both confirm orders by themselves, until they meet:
// the one with the higher draw is the later by epoch and by number, and the other gives way with all that it had confirmed.
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

// A control process that is told to end: it is voted out where the core then bears a loss more, so an even number becomes an
// odd one; else it stays counted. Either way orders go on, and it comes back by itself.
func TestCoreLeaving(t *testing.T) {
	for zones := 3; zones <= 7; zones++ {
		for _, at := range []int{0, 2} { // who proposes for the others, and another
			withControls(t, zones, uint64(50+zones), func(c *qt.C, cluster *Cluster) {
				out := zones > 3 && zones%2 == 0
				writer := cluster.startWriter()
				time.Sleep(3 * time.Second)
				idle, start := writer.longestGap(time.Now().Add(-3*time.Second)), time.Now()
				cluster.Controls[at].Shutdown()
				left := time.Since(start)
				time.Sleep(5 * time.Second)
				gap := writer.longestGap(start)
				coreStatus := cluster.coreStatus(1)
				c.Check(coreStatus.Members, qt.HasLen, zones-lo.Ternary(out, 1, 0))
				c.Check(coreStatus.Tolerates, qt.Equals, lo.Ternary(out, (zones-1)/2, zones-1-zones/2-1))
				c.Check(left < 3*time.Second, qt.IsTrue, qt.Commentf("%v", left))
				c.Check(gap < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", gap))
				back := time.Now()
				cluster.Controls[at].mustStart()
				joined := waitUntil(c, 8*time.Second, "it is back", func() bool {
					coreStatus := cluster.coreStatus(1)
					return len(coreStatus.Members) == zones && coreStatus.Tolerates == zones-zones/2-1
				})
				time.Sleep(2 * time.Second)
				gapBack := writer.longestGap(back)

				cluster.Controls[at].Kill() // the same without a word
				killed := time.Now()
				time.Sleep(5 * time.Second)
				gapKilled := writer.longestGap(killed)
				cluster.Controls[at].mustStart()
				time.Sleep(5 * time.Second)
				writer.close()
				c.Logf("%d members, at %d: voted out %v in %v; without a confirmed order: calm %v, leaving %v, coming back %v (after %v), killed %v; %d orders",
					zones, at, out, left.Round(time.Millisecond), idle.Round(time.Millisecond), gap.Round(time.Millisecond), gapBack.Round(time.Millisecond),
					joined.Round(time.Millisecond), gapKilled.Round(time.Millisecond), len(writer.confirmedAt))
				waitUntil(c, 5*time.Second, "one core", func() bool { return cluster.converged(zones) })
				for i := range cluster.Controls {
					writer.checkConfirmed(c, i)
				}
			})
		}
	}
}

// Two are told to end at once: they go one after the other, and the second only if that gains something. All at once: at
// most one is voted out, and when all are started again there is one core with all that was confirmed, also if one stays away.
func TestCoreLeavingTogether(t *testing.T) {
	for seed := range uint64(4) {
		for _, many := range []int{2, 6} {
			withControls(t, 6, 70+seed, func(c *qt.C, cluster *Cluster) {
				writer := cluster.startWriter()
				time.Sleep(time.Second)
				var all sync.WaitGroup
				for i := range many {
					all.Go(func() {
						time.Sleep(time.Duration(i) * time.Duration(seed) * 7 * time.Millisecond)
						cluster.Controls[i].Shutdown()
					})
				}
				all.Wait()
				time.Sleep(3 * time.Second)
				if many == 2 {
					coreStatus := cluster.coreStatus(4)
					c.Check(coreStatus.Members, qt.HasLen, 5)
					c.Check(coreStatus.Tolerates, qt.Equals, 1)
					c.Check(coreStatus.Current, qt.IsTrue)
				}
				writer.close()
				away := 1 + int(seed)
				for i, node := range cluster.Controls {
					if i != away && node.cancel == nil {
						node.mustStart()
					}
				}
				waitUntil(c, 10*time.Second, "one core without one", func() bool {
					coreStatus := cluster.coreStatus((away + 1) % 6)
					return coreStatus.Status == "in touch" && coreStatus.Current && coreStatus.Tolerates >= 1
				})
				c.Check(len(cluster.coreStatus((away+1)%6).Members) >= 5, qt.IsTrue) // one at most was voted out
				for i, node := range cluster.Controls {
					if node.cancel != nil {
						writer.checkConfirmed(c, i)
					}
				}
				if cluster.Controls[away].cancel == nil {
					cluster.Controls[away].mustStart()
				}
				waitUntil(c, 10*time.Second, "one core", func() bool { return cluster.converged(6) })
			})
		}
	}
}

// One that hears nobody is told to end: it ends within half of its grace, counted still.
func TestCoreLeavingCutOff(t *testing.T) {
	withControls(t, 6, 77, func(c *qt.C, cluster *Cluster) {
		for i := 1; i < 6; i++ {
			cluster.Network.SetPartition(cluster.Controls[0].Settings.IP, cluster.Controls[i].Settings.IP, true)
		}
		start := time.Now()
		cluster.Controls[0].Shutdown() // before it knows
		c.Check(time.Since(start) <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		time.Sleep(4 * time.Second)
		coreStatus := cluster.coreStatus(3)
		c.Check(coreStatus.Members, qt.HasLen, 6)
		c.Check(coreStatus.Tolerates, qt.Equals, 1)
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

var replacementRuns = flag.Int("replacements", 0, "drawn replacements and starts of the core to play, instead of a few")

// drawSeeds plays a few seeds, or as many as -replacements says from -from on.
func drawSeeds(t *testing.T, few int, play func(t *testing.T, seed int)) {
	first, many := 0, lo.Ternary(raceEnabled, few/4, few)
	if *replacementRuns > 0 {
		first, many = *firstSeed, *replacementRuns
	}
	for seed := first; seed < first+many; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// membershipRecorder watches the members that each process goes by: of one epoch there is one list.
type membershipRecorder struct {
	mu      sync.Mutex
	byEpoch map[uint64]string
	pending sync.WaitGroup
	stop    chan bool
}

func (cl *Cluster) recordMemberships(c *qt.C) *membershipRecorder {
	w := &membershipRecorder{byEpoch: map[uint64]string{}, stop: make(chan bool)}
	for at := range cl.Controls {
		w.pending.Go(func() {
			client := cl.httpClient(cl.Network.Process(fmt.Sprint("10.200.0.", 40+at)), time.Second)
			defer client.CloseIdleConnections()
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				status, raw, err := callRPC(cl.ctx, client, cl.controlAddress(at), "core.read", "", nil)
				var coreStatus server.CoreStatus
				if err != nil || status != 200 || json.Unmarshal(raw, &coreStatus) != nil || coreStatus.Epoch == 0 {
					continue
				}
				is := fmt.Sprint(lo.Map(coreStatus.Members, func(x server.CoreMember, _ int) string { return x.IP + "/" + x.DiskID }))
				w.mu.Lock()
				if was, there := w.byEpoch[coreStatus.Epoch]; there && was != is {
					c.Errorf("two lists of epoch %d: %s at %d, and %s", coreStatus.Epoch, is, at, was)
				}
				w.byEpoch[coreStatus.Epoch] = is
				w.mu.Unlock()
			}
		})
	}
	return w
}

func (r *membershipRecorder) close() int { close(r.stop); r.pending.Wait(); return len(r.byEpoch) }

// A first start in any order of the machines, up to seconds apart, with a seed that comes late or only after the core has
// taken orders: there is one core, of all in the end, and nothing that was confirmed is lost.
func TestCoreFirstStart(t *testing.T) {
	drawSeeds(t, 24, func(t *testing.T, seed int) {
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

// replaceLost has a process lost in a drawn way, and gives what brings it back, and whether its disk stays.
func (cl *Cluster) replaceLost(n func(int) int, node *ControlNode) (outcome string, back func()) {
	ip := node.Settings.IP
	switch n(5) {
	case 0:
		node.Kill()
		return "killed", node.mustStart
	case 1:
		cl.Network.SetPoweredOff(ip, true)
		node.Kill()
		node.Disk.PowerLoss(n(2) == 0)
		return "without power", func() { cl.Network.SetPoweredOff(ip, false); node.mustStart() }
	case 2:
		cl.Network.Freeze(ip, true)
		node.Disk.setHanging(true)
		return "frozen", func() { node.Disk.setHanging(false); cl.Network.Freeze(ip, false) }
	case 3:
		for _, x := range cl.Controls {
			if x != node {
				cl.Network.SetPartition(ip, x.Settings.IP, true)
			}
		}
		return "cut", func() {
			for _, x := range cl.Controls {
				if x != node {
					cl.Network.SetPartition(ip, x.Settings.IP, false)
				}
			}
		}
	}
	node.Shutdown()
	return "told to end", node.mustStart
}

// A machine is lost for good and replaced, and at some step of that another one is lost; at times a third, so that no
// majority is left, until they are back. Nothing that was confirmed is lost, of one epoch there is one list, and orders go on
// by themselves.
func TestCoreSecondLoss(t *testing.T) {
	drawSeeds(t, 40, func(t *testing.T, seed int) {
		withControls(t, []int{4, 5, 6, 6, 7}[seed%5], uint64(seed), func(c *qt.C, cluster *Cluster) {
			rng := random.Source{Seed: uint64(seed)*17 + 3}
			n := func(n int) int { return int(rng.Float64() * float64(n)) }
			ms := func(highest int) { time.Sleep(time.Duration(n(highest)) * time.Millisecond) }
			w, writer := cluster.recordMemberships(c), cluster.startWriter()
			ms(1000)
			zones := len(cluster.Controls)
			a := n(zones)
			b := (a + 1 + n(zones-1)) % zones
			third := (b + 1) % zones
			if third == a {
				third = (third + 1) % zones
			}
			if n(3) == 0 {
				cluster.Controls[a].Shutdown()
			}
			cluster.Network.SetPoweredOff(cluster.Controls[a].Settings.IP, true)
			cluster.Controls[a].Replace()
			var all sync.WaitGroup
			comes := time.Duration(n([]int{50, 2000, 6000}[seed%3])) * time.Millisecond
			all.Go(func() { // its successor comes at some time, and perhaps goes again at once and comes with another disk
				time.Sleep(comes)
				cluster.Controls[a].mustStart()
				if seed%4 == 0 {
					time.Sleep(time.Duration(seed%7) * 100 * time.Millisecond)
					cluster.Controls[a].Kill()
					cluster.Controls[a].Disk.Wipe()
					cluster.Controls[a].mustStart()
				}
			})
			ms(8000)
			outcome, back := cluster.replaceLost(n, cluster.Controls[b])
			lost := time.Now()
			also, backToo := "", func() {}
			if n(3) == 0 {
				ms(3000)
				also, backToo = cluster.replaceLost(n, cluster.Controls[third])
			}
			time.Sleep(time.Duration(1+n(8)) * time.Second)
			if n(2) == 0 {
				back, backToo = backToo, back
			}
			back()
			ms(2000)
			backToo()
			all.Wait()
			returned := time.Now()
			waitUntil(c, 30*time.Second, "one core again", func() bool {
				coreStatus := cluster.coreStatus(0)
				return coreStatus.Tolerates == len(coreStatus.Members)-len(coreStatus.Members)/2-1 && len(coreStatus.Members) >= zones && cluster.sameMembership(len(coreStatus.Members), false)
			})
			healed, worst := time.Since(returned), writer.longestGap(lost)
			c.Check(writer.longestGap(returned) < 6*time.Second, qt.IsTrue, qt.Commentf("%v", writer.longestGap(returned)))
			writer.close()
			waitUntil(c, 2*time.Second, "with one state", func() bool { return cluster.converged(len(cluster.coreStatus(0).Members)) })
			for i := range cluster.Controls {
				writer.checkConfirmed(c, i)
			}
			c.Logf("seed %d: %d processes, %d replaced, %d %s, and %s: %d orders confirmed, longest without one %v since the second loss; one core %v after the last was back, %d epochs",
				seed, zones, a, b, outcome, cmp.Or(also, "no other"), len(writer.confirmedAt), worst.Round(10*time.Millisecond), healed.Round(10*time.Millisecond), w.close())
		})
	})
}

// The member that proposes for the others is cut off for 20 s, wholly or one way, or stands still, while orders go on; it
// comes back to what was decided meanwhile, and confirmed nothing by itself.
func TestCoreProposerAway(t *testing.T) {
	for name, x := range map[string]func(cluster *Cluster, ip, other string, on bool){
		"cut":                  func(cluster *Cluster, ip, other string, on bool) { cluster.Network.SetPartition(ip, other, on) },
		"cut, what it sends":   func(cluster *Cluster, ip, other string, on bool) { cluster.Network.SetOneWayPartition(ip, other, on) },
		"cut, what it is sent": func(cluster *Cluster, ip, other string, on bool) { cluster.Network.SetOneWayPartition(other, ip, on) },
		"frozen": func(cluster *Cluster, ip, other string, on bool) {
			cluster.Network.Freeze(ip, on)
			cluster.Controls[0].Disk.setHanging(on)
		},
	} {
		for _, zones := range lo.Ternary(raceEnabled, []int{6}, []int{3, 6}) {
			withControls(t, zones, 90, func(c *qt.C, cluster *Cluster) {
				w, writer := cluster.recordMemberships(c), cluster.startWriter()
				time.Sleep(time.Second)
				away := func(on bool) {
					for _, node := range cluster.Controls[1:] {
						x(cluster, cluster.Controls[0].Settings.IP, node.Settings.IP, on)
					}
				}
				start := time.Now()
				away(true)
				time.Sleep(5 * time.Second)
				alone := 0
				for range 10 { // by now it knows; all in all 21 s
					if status, _ := cluster.callOne(0, "configuration.modify", json.RawMessage(cluster.ChangeBody(false, unsafeRoute))); status == 200 {
						alone++
					}
					time.Sleep(1650 * time.Millisecond)
				}
				c.Check(alone, qt.Equals, 0, qt.Commentf(name))
				away(false)
				worst, back := writer.longestGap(start), time.Now()
				waitUntil(c, 10*time.Second, "one core", func() bool { return cluster.sameMembership(zones, false) })
				healed := time.Since(back)
				time.Sleep(2 * time.Second)
				again := writer.longestGap(back)
				writer.close()
				waitUntil(c, 2*time.Second, "with one state", func() bool { return cluster.converged(zones) })
				c.Check(worst < 4*time.Second && again < 2*time.Second, qt.IsTrue, qt.Commentf("%s: %v, %v", name, worst, again))
				for i := range cluster.Controls {
					writer.checkConfirmed(c, i)
				}
				c.Logf("%s of %d: longest without a confirmed order %v, when it came back %v; one core after %v, %d epochs, %d orders", name, zones,
					worst.Round(10*time.Millisecond), again.Round(10*time.Millisecond), healed.Round(10*time.Millisecond), w.close(), len(writer.confirmedAt))
			})
		}
	}
}

// A machine that was replaced long ago is switched on again with its disk, and a member is started from an image of its disk
// that was made hundreds of changes ago. Neither leads anybody: what they hold is behind, counts for nothing until they have
// taken over what stands, and no order is lost. (Were the two more than half of the old list, as of three, they would be the
// old core once more: a disk that is put back has forgotten its vote on the list that came after. docs/operate/core.md says so.)
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

// Among many routers, of which each process knows a few, whoever of the core isn't named by the settings is found at once all
// the same: it dials those that are.
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
