package simulation

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"portflow/internal/random"
)

// A control process that shuts down gracefully is removed from the voting members if the remaining ones then tolerate one more loss,
// which is so for an even number; otherwise it stays a member. Changes are confirmed throughout, and it rejoins by itself.
func TestCoreLeaving(t *testing.T) {
	for zones := 3; zones <= 7; zones++ {
		for _, at := range []int{0, 2} { // the proposer, and another member
			withControls(t, zones, uint64(50+zones), func(c *qt.C, cluster *Cluster) {
				removed := zones > 3 && zones%2 == 0
				writer := cluster.startWriter()
				time.Sleep(3 * time.Second)
				idle, start := writer.longestGap(time.Now().Add(-3*time.Second)), time.Now()
				cluster.Controls[at].Shutdown()
				left := time.Since(start)
				time.Sleep(5 * time.Second)
				gap := writer.longestGap(start)
				coreStatus := cluster.coreStatus(1)
				c.Check(coreStatus.Members, qt.HasLen, zones-lo.Ternary(removed, 1, 0))
				c.Check(coreStatus.Tolerates, qt.Equals, lo.Ternary(removed, (zones-1)/2, zones-1-zones/2-1))
				c.Check(left < 3*time.Second, qt.IsTrue, qt.Commentf("%v", left))
				c.Check(gap < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", gap))
				back := time.Now()
				cluster.Controls[at].mustStart()
				joined := waitUntil(c, 8*time.Second, "it is a member again", func() bool {
					coreStatus := cluster.coreStatus(1)
					return len(coreStatus.Members) == zones && coreStatus.Tolerates == zones-zones/2-1
				})
				time.Sleep(2 * time.Second)
				gapBack := writer.longestGap(back)

				cluster.Controls[at].Kill() // without a graceful shutdown
				killed := time.Now()
				time.Sleep(5 * time.Second)
				gapKilled := writer.longestGap(killed)
				cluster.Controls[at].mustStart()
				time.Sleep(5 * time.Second)
				writer.close()
				c.Logf("%d members, process %d: removed %v in %v; longest time without a confirmed change: idle %v, leaving %v, rejoining %v (after %v), killed %v; %d changes",
					zones, at, removed, left.Round(time.Millisecond), idle.Round(time.Millisecond), gap.Round(time.Millisecond), gapBack.Round(time.Millisecond),
					joined.Round(time.Millisecond), gapKilled.Round(time.Millisecond), len(writer.confirmedAt))
				waitUntil(c, 5*time.Second, "the cluster has converged", func() bool { return cluster.converged(zones) })
				for i := range cluster.Controls {
					writer.checkConfirmed(c, i)
				}
			})
		}
	}
}

// When several processes shut down at once, a second one is removed only if that improves fault tolerance. If all shut down, at most
// one is removed, and after a restart of all but one the members agree and have every confirmed change.
func TestCoreLeavingTogether(t *testing.T) {
	for seed := range uint64(4) {
		for _, count := range []int{2, 6} {
			withControls(t, 6, 70+seed, func(c *qt.C, cluster *Cluster) {
				writer := cluster.startWriter()
				time.Sleep(time.Second)
				var all sync.WaitGroup
				for i := range count {
					all.Go(func() {
						time.Sleep(time.Duration(i) * time.Duration(seed) * 7 * time.Millisecond)
						cluster.Controls[i].Shutdown()
					})
				}
				all.Wait()
				time.Sleep(3 * time.Second)
				if count == 2 {
					coreStatus := cluster.coreStatus(4)
					c.Check(coreStatus.Members, qt.HasLen, 5)
					c.Check(coreStatus.Tolerates, qt.Equals, 1)
					c.Check(coreStatus.Current, qt.IsTrue)
				}
				writer.close()
				absent := 1 + int(seed)
				for i, node := range cluster.Controls {
					if i != absent && node.cancel == nil {
						node.mustStart()
					}
				}
				waitUntil(c, 10*time.Second, "converged without one process", func() bool {
					coreStatus := cluster.coreStatus((absent + 1) % 6)
					return coreStatus.Status == "in touch" && coreStatus.Current && coreStatus.Tolerates >= 1
				})
				c.Check(len(cluster.coreStatus((absent+1)%6).Members) >= 5, qt.IsTrue) // at most one was removed
				for i, node := range cluster.Controls {
					if node.cancel != nil {
						writer.checkConfirmed(c, i)
					}
				}
				if cluster.Controls[absent].cancel == nil {
					cluster.Controls[absent].mustStart()
				}
				waitUntil(c, 10*time.Second, "the cluster has converged", func() bool { return cluster.converged(6) })
			})
		}
	}
}

// A process that shuts down while it is partitioned from all others exits within half of its grace period and stays a member.
func TestCoreLeavingWhilePartitioned(t *testing.T) {
	withControls(t, 6, 77, func(c *qt.C, cluster *Cluster) {
		for i := 1; i < 6; i++ {
			cluster.Network.SetPartition(cluster.Controls[0].Settings.IP, cluster.Controls[i].Settings.IP, true)
		}
		start := time.Now()
		cluster.Controls[0].Shutdown() // before it detects the partition
		c.Check(time.Since(start) <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		time.Sleep(4 * time.Second)
		coreStatus := cluster.coreStatus(3)
		c.Check(coreStatus.Members, qt.HasLen, 6)
		c.Check(coreStatus.Tolerates, qt.Equals, 1)
	})
}

// While a lost machine is being replaced, a second one fails, and sometimes a third, so that there is no majority until they return.
// No confirmed change is lost, each epoch has a single member list, and changes are confirmed again without an operator.
func TestCoreSecondLoss(t *testing.T) {
	runSeeds(t, 40, func(t *testing.T, seed int) {
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
			startDelay := time.Duration(n([]int{50, 2000, 6000}[seed%3])) * time.Millisecond
			all.Go(func() { // the successor may be killed soon after its start and restarted with an empty disk
				time.Sleep(startDelay)
				cluster.Controls[a].mustStart()
				if seed%4 == 0 {
					time.Sleep(time.Duration(seed%7) * 100 * time.Millisecond)
					cluster.Controls[a].Kill()
					cluster.Controls[a].Disk.Wipe()
					cluster.Controls[a].mustStart()
				}
			})
			ms(8000)
			outcome, back := cluster.failRandomly(n, cluster.Controls[b])
			lost := time.Now()
			thirdOutcome, thirdBack := "", func() {}
			if n(3) == 0 {
				ms(3000)
				thirdOutcome, thirdBack = cluster.failRandomly(n, cluster.Controls[third])
			}
			time.Sleep(time.Duration(1+n(8)) * time.Second)
			if n(2) == 0 {
				back, thirdBack = thirdBack, back
			}
			back()
			ms(2000)
			thirdBack()
			all.Wait()
			returned := time.Now()
			waitUntil(c, 30*time.Second, "fault tolerance is restored", func() bool {
				coreStatus := cluster.coreStatus(0)
				return coreStatus.Tolerates == len(coreStatus.Members)-len(coreStatus.Members)/2-1 && len(coreStatus.Members) >= zones && cluster.sameMembership(len(coreStatus.Members), false)
			})
			healed, worst := time.Since(returned), writer.longestGap(lost)
			c.Check(writer.longestGap(returned) < 6*time.Second, qt.IsTrue, qt.Commentf("%v", writer.longestGap(returned)))
			writer.close()
			waitUntil(c, 2*time.Second, "all have the same index", func() bool { return cluster.converged(len(cluster.coreStatus(0).Members)) })
			for i := range cluster.Controls {
				writer.checkConfirmed(c, i)
			}
			c.Logf("seed %d: %d processes, %d replaced, %d %s, and %s: %d changes confirmed, longest time without one %v since the second loss; converged %v after the last had returned, %d epochs",
				seed, zones, a, b, outcome, cmp.Or(thirdOutcome, "no other"), len(writer.confirmedAt), worst.Round(10*time.Millisecond), healed.Round(10*time.Millisecond), w.close())
		})
	})
}

// The proposer is partitioned in one or both directions, or frozen, for 21 s while changes are sent. It confirms nothing on its own,
// and afterwards adopts what the others have decided.
func TestCoreProposerUnreachable(t *testing.T) {
	for name, x := range map[string]func(cluster *Cluster, ip, other string, on bool){
		"cut":                func(cluster *Cluster, ip, other string, on bool) { cluster.Network.SetPartition(ip, other, on) },
		"cut, outbound only": func(cluster *Cluster, ip, other string, on bool) { cluster.Network.SetOneWayPartition(ip, other, on) },
		"cut, inbound only":  func(cluster *Cluster, ip, other string, on bool) { cluster.Network.SetOneWayPartition(other, ip, on) },
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
				confirmed := 0
				for range 10 { // the partition is detected by now; 21 s in total
					if status, _ := cluster.callOne(0, "configuration.modify", json.RawMessage(cluster.ChangeBody(false, unsafeRoute))); status == 200 {
						confirmed++
					}
					time.Sleep(1650 * time.Millisecond)
				}
				c.Check(confirmed, qt.Equals, 0, qt.Commentf(name))
				away(false)
				worst, back := writer.longestGap(start), time.Now()
				waitUntil(c, 10*time.Second, "the cluster has converged", func() bool { return cluster.sameMembership(zones, false) })
				healed := time.Since(back)
				time.Sleep(2 * time.Second)
				again := writer.longestGap(back)
				writer.close()
				waitUntil(c, 2*time.Second, "all have the same index", func() bool { return cluster.converged(zones) })
				c.Check(worst < 4*time.Second && again < 2*time.Second, qt.IsTrue, qt.Commentf("%s: %v, %v", name, worst, again))
				for i := range cluster.Controls {
					writer.checkConfirmed(c, i)
				}
				c.Logf("%s, %d members: longest time without a confirmed change %v, after its return %v; converged after %v, %d epochs, %d changes", name, zones,
					worst.Round(10*time.Millisecond), again.Round(10*time.Millisecond), healed.Round(10*time.Millisecond), w.close(), len(writer.confirmedAt))
			})
		}
	}
}

// One of three members is replaced, and the replacement loses its disk as soon as it is a member. The two others, which are a majority
// without it, must keep confirming changes whenever that happens.
func TestCoreSuccessorWiped(t *testing.T) {
	for _, after := range []time.Duration{0, 800 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 2400 * time.Millisecond, 4 * time.Second} {
		withControls(t, 3, 97, func(c *qt.C, cluster *Cluster) {
			node := cluster.Controls[2]
			node.Replace()
			time.Sleep(after)
			node.mustStart()
			waitUntil(c, 10*time.Second, "its successor is a member", func() bool {
				return slices.Contains(memberNames(cluster.coreStatus(0).Members), node.Settings.Name)
			})
			node.Kill()
			node.Disk.Wipe()
			time.Sleep(5 * time.Second)
			status, _, raw := cluster.Call("configuration.modify", "", cluster.ChangeBody(false, unsafeRoute), 5*time.Second, 0)
			c.Check(status, qt.Equals, 200, qt.Commentf("started after %v: %s", after, raw))
			node.mustStart()
			waitUntil(c, 10*time.Second, "the cluster has converged", func() bool { return cluster.converged(3) })
		})
	}
}
