package simulation

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
)

// Hard histories have the operators and checks of TestHistories, but further faults: some strike two processes at once, and a closing
// fault follows directly after an acknowledgement. Their seeds are above hardSeedBase.

var hardHistories = flag.Int("hard", 0, "hard histories to play, instead of a few")

const (
	hardSeedBase   = 1_000_000
	toleranceLimit = 15 * time.Second // for all processes to be members again and fault tolerance to be restored after faults
)

// faultInjector injects the faults of one history.
type faultInjector struct {
	*recorder
	diskSince map[*ControlNode]time.Time // when the process got its current disk content
}

// injectHardFaults injects one to three rounds of faults, waiting after each until fault tolerance is restored, and usually a closing
// fault.
func (rc *recorder) injectHardFaults() {
	in := &faultInjector{recorder: rc, diskSince: map[*ControlNode]time.Time{}}
	for _, node := range rc.cluster.Controls {
		in.diskSince[node] = time.Now()
	}
	rc.sleepBetween(500, 1500)
	for range 1 + rc.intn(3) {
		in.injectRound()
	}
	if rc.intn(4) > 0 {
		in.injectClosingFault()
	}
}

// injectRound injects one kind of fault into one process or, with six or more, at times into two. At times it adds a minor fault of
// another process.
func (in *faultInjector) injectRound() {
	cluster := in.cluster
	nodes := []*ControlNode{cluster.Controls[in.pickVictim()]}
	if len(cluster.Controls) >= 6 && in.intn(2) == 0 {
		second := (slices.Index(cluster.Controls, nodes[0]) + 1 + in.intn(len(cluster.Controls)-1)) % len(cluster.Controls)
		nodes = append(nodes, cluster.Controls[second])
	}
	undo := []func(){in.injectFault(nodes)}
	duration := time.Duration(2000+in.intn(4000)) * time.Millisecond
	if in.intn(4) == 0 {
		duration = time.Duration(20+in.intn(6)) * time.Second
	}
	if in.intn(3) == 0 {
		undo = append(undo, in.injectMinorFault(slices.Index(cluster.Controls, nodes[0])))
	}
	time.Sleep(duration)
	for _, u := range slices.Backward(undo) {
		u()
	}
	in.awaitTolerance()
	in.sleepBetween(300, 1500)
}

// awaitTolerance waits until all processes are members and fault tolerance is restored, which must not need an operator.
func (in *faultInjector) awaitTolerance() {
	size := len(in.cluster.Controls)
	for deadline := time.Now().Add(toleranceLimit); !in.cluster.sameMembership(size, false) || in.cluster.coreStatus(0).Tolerates != size-size/2-1; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			in.mu.Lock()
			defer in.mu.Unlock()
			in.violation("fault tolerance not restored", "%v after %v", toleranceLimit, in.faults[len(in.faults)-1])
			return
		}
	}
}

// pickVictim picks a process whose failure is critical: the proposer, the one with the oldest disk, the one that confirmed or answered
// a read last; or a random one.
func (in *faultInjector) pickVictim() int {
	switch in.intn(4) {
	case 0:
		return 0 // the proposer: the lowest IP address
	case 1:
		oldest := slices.MinFunc(in.cluster.Controls, func(a, b *ControlNode) int { return in.diskSince[a].Compare(in.diskSince[b]) })
		return slices.Index(in.cluster.Controls, oldest)
	}
	return in.pickTarget()
}

// applyToAll applies a fault to each node. The function returned undoes all of them.
func applyToAll(nodes []*ControlNode, apply func(*ControlNode) func()) func() {
	var undo []func()
	for _, node := range nodes {
		undo = append(undo, apply(node))
	}
	return func() {
		for _, u := range undo {
			u()
		}
	}
}

// injectFault injects one random kind of fault into the nodes, and returns the function that undoes it.
func (in *faultInjector) injectFault(nodes []*ControlNode) (undo func()) {
	cluster := in.cluster
	record := func(label string) {
		in.faults = append(in.faults, fmt.Sprintf("%s, %d %s", label, len(nodes), nodes[0].Settings.IP))
	}
	wipe := func(node *ControlNode) {
		node.Disk.Wipe()
		in.diskSince[node] = time.Now()
	}
	powerOff := func(node *ControlNode, wiped bool) func() {
		node.Kill()
		cluster.Network.SetPoweredOff(node.Settings.IP, true)
		if node.Disk.PowerLoss(in.intn(2) == 0); wiped {
			wipe(node)
		}
		return func() { cluster.Network.SetPoweredOff(node.Settings.IP, false); node.mustStart() }
	}
	nothing := func() {}
	switch in.intn(17) {
	case 0: // clocks step and later step back; a process takes the new time when it restarts
		record("clocks step")
		sign := lo.Ternary(in.intn(2) == 0, time.Duration(1), -1)
		skew, restart := sign*time.Duration(100+in.intn(7_200_000))*time.Millisecond, in.intn(2) == 0
		return applyToAll(nodes, func(node *ControlNode) func() {
			if node.ClockSkew = skew; restart {
				node.Kill()
				node.mustStart()
			}
			return func() {
				node.ClockSkew = 0
				if in.intn(2) == 0 {
					node.Kill()
					node.mustStart()
				}
			}
		})
	case 1: // for longer than other faults last
		nodes = nodes[:1]
		nodes[0] = cluster.Controls[0]
		record("proposer frozen")
		freeze := applyToAll(nodes, in.freeze)
		time.Sleep(time.Duration(18+in.intn(5)) * time.Second)
		return freeze
	case 2:
		record("frozen")
		return applyToAll(nodes, in.freeze)
	case 3: // start the new machine first, then shut down the old one
		record("replaced as planned")
		return applyToAll(nodes, in.replaceAsPlanned)
	case 4:
		record("lost for good")
		return applyToAll(nodes, func(node *ControlNode) func() {
			node.Replace()
			in.diskSince[node] = time.Now()
			return node.mustStart
		})
	case 5:
		record("other seed nodes")
		in.changeSeeds()
		return applyToAll(nodes, func(node *ControlNode) func() {
			node.Kill()
			node.mustStart()
			return nothing
		})
	case 6:
		record("full disk")
		return applyToAll(nodes, func(node *ControlNode) func() {
			node.Disk.setFull(true)
			return func() { node.Disk.setFull(false) }
		})
	case 7:
		record("hanging disk")
		return applyToAll(nodes, func(node *ControlNode) func() {
			node.Disk.setHanging(true)
			return func() { node.Disk.setHanging(false) }
		})
	case 8:
		record("connections reset")
		for range 1 + in.intn(8) {
			for _, node := range nodes {
				cluster.Network.ResetConnections(node.Settings.IP, 0.5)
			}
			in.sleepBetween(50, 800)
		}
		return nothing
	case 9: // operators have to retry
		record("acknowledgements lost")
		return applyToAll(cluster.Controls, func(node *ControlNode) func() {
			ip := node.Settings.IP
			for i := range in.clients {
				cluster.Network.SetLoss(ip, operatorIP(i), 0.7)
			}
			return func() {
				for i := range in.clients {
					cluster.Network.SetLoss(ip, operatorIP(i), 0)
				}
			}
		})
	case 10: // whether the change is acknowledged or not
		record("powered off after a change was sent")
		var sent sync.WaitGroup
		sent.Go(func() { in.sendChange(in.intn(2), in.newChanges(false, false)[0], 4, false) })
		in.sleepBetween(5, 400)
		restore := applyToAll(nodes, func(node *ControlNode) func() { return powerOff(node, false) })
		sent.Wait()
		return restore
	case 11:
		record("wiped after an acknowledgement")
		if in.sendAcknowledged() {
			in.mu.Lock()
			nodes[0] = cluster.Controls[in.lastConfirmedBy]
			in.mu.Unlock()
			nodes = lo.Uniq(nodes)
		}
		return applyToAll(nodes, func(node *ControlNode) func() { return powerOff(node, true) })
	case 12, 13, 14:
		direction := []string{"both ways", "outbound only", "inbound only"}[in.intn(3)]
		if in.intn(3) == 0 { // from the other control processes only
			record("partitioned, " + direction)
			return applyToAll(nodes, func(node *ControlNode) func() { return in.cutOff(node, direction, false) })
		}
		record("zone partitioned, " + direction) // its control process and its proxies; clients still reach them
		return applyToAll(nodes, func(node *ControlNode) func() { return in.cutOff(node, direction, true) })
	case 15: // gracefully, one after the other
		record("all restarted in turn")
		for _, node := range cluster.Controls {
			node.Shutdown()
			node.mustStart()
			in.sleepBetween(500, 1000)
			in.awaitTolerance()
		}
		return nothing
	}
	record("failing disk")
	return applyToAll(nodes, func(node *ControlNode) func() {
		node.Disk.SetFaults(5*time.Millisecond, true)
		return func() { node.Disk.SetFaults(5*time.Millisecond, false) }
	})
}

// freeze freezes a machine: its network traffic stops and its disk hangs.
func (in *faultInjector) freeze(node *ControlNode) func() {
	in.cluster.Network.Freeze(node.Settings.IP, true)
	node.Disk.setHanging(true)
	return func() {
		node.Disk.setHanging(false)
		in.cluster.Network.Freeze(node.Settings.IP, false)
	}
}

// replaceAsPlanned starts a new machine and shuts down the old one after a second, or once the new one has caught up.
func (in *faultInjector) replaceAsPlanned(node *ControlNode) func() {
	next := node.NewSuccessor()
	next.mustStart()
	if in.intn(2) == 0 {
		time.Sleep(time.Second)
	} else {
		for deadline := time.Now().Add(8 * time.Second); next.Status() != "in touch" && time.Now().Before(deadline); {
			time.Sleep(50 * time.Millisecond)
		}
	}
	node.Shutdown()
	node.replaceWith(next)
	in.diskSince[node] = time.Now()
	return func() {}
}

// changeSeeds sets three other seed nodes in all settings, for processes that start from now on.
func (in *faultInjector) changeSeeds() {
	cluster, from := in.cluster, in.intn(len(in.cluster.Controls))
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", cluster.Controls[(from+i)%len(cluster.Controls)].Settings.IP, controlPort))
	}
	for _, node := range cluster.Controls {
		node.Settings.SeedNodes = seeds
	}
	for _, px := range cluster.Proxies {
		px.Settings.SeedNodes = seeds
	}
}

// cutOff partitions a control process from the others, or with zone also the proxies of its zone, in the given direction.
func (in *faultInjector) cutOff(node *ControlNode, direction string, zone bool) (undo func()) {
	cluster := in.cluster
	var ips []string
	for _, node := range cluster.Controls {
		ips = append(ips, node.Settings.IP)
	}
	for _, px := range cluster.Proxies {
		if zone && !slices.Contains(ips, px.Settings.IP) {
			ips = append(ips, px.Settings.IP)
		}
	}
	z := zoneIndexOf(node.Settings.IP)
	setCut := func(cut bool) {
		for _, in := range ips {
			for _, out := range ips {
				if zoneIndexOf(in) != z || zoneIndexOf(out) == z {
					continue
				}
				if direction != "inbound only" {
					cluster.Network.SetOneWayPartition(in, out, cut)
				}
				if direction != "outbound only" {
					cluster.Network.SetOneWayPartition(out, in, cut)
				}
			}
		}
	}
	setCut(true)
	return func() { setCut(false) }
}

// sendAcknowledged sends random calls that change the state until one is acknowledged, at most six, and reports whether one was.
func (in *faultInjector) sendAcknowledged() bool {
	for range 6 {
		switch in.intn(4) {
		case 0: // begin or end an evacuation
			if in.sendEvacuation(in.intn(2), in.intn(len(in.cluster.Controls)), in.intn(2) == 0) {
				return true
			}
		case 1:
			in.mu.Lock()
			in.targets++
			target := fmt.Sprint("c", in.targets)
			in.mu.Unlock()
			in.beginRollout(in.intn(2), target, 3)
			in.mu.Lock()
			begun := slices.ContainsFunc(in.rollouts, func(t timedCall) bool {
				op := t.op.(rolloutOp)
				return !op.read && op.target == target && op.status == 200
			})
			in.mu.Unlock()
			if begun {
				return true
			}
		default:
			o := in.newChanges(false, false)[0]
			in.sendChange(in.intn(2), o, 4, false)
			in.mu.Lock()
			confirmed := o.status == 200
			in.mu.Unlock()
			if confirmed {
				return true
			}
		}
	}
	return false
}

// injectClosingFault injects a fault within 4 ms of an acknowledgement: all processes lose power, all are killed, or one loses its disk
// while the others lose power or continue. Half of the time some disks are slow, because otherwise unsynced data would be synced long
// before the acknowledgement arrives. After that, every response must include what was confirmed.
func (in *faultInjector) injectClosingFault() {
	cluster := in.cluster
	if in.intn(2) == 0 {
		for _, node := range cluster.Controls {
			node.Disk.SetFaults(time.Duration(5+in.intn(4)*40)*time.Millisecond, false)
		}
	}
	in.sendAcknowledged()
	time.Sleep(time.Duration(in.intn(4000)) * time.Microsecond)
	in.mu.Lock()
	confirmedBy := in.lastConfirmedBy
	in.mu.Unlock()
	label := []string{"all powered off", "wiped, the others powered off", "wiped", "all killed"}[in.intn(4)]
	at := confirmedBy
	if in.intn(3) == 0 {
		at = in.pickVictim()
	}
	for i, node := range cluster.Controls {
		wiped := i == at && strings.HasPrefix(label, "wiped")
		if label == "wiped" && !wiped {
			continue
		}
		node.Kill()
		if label != "all killed" {
			node.Disk.PowerLoss(in.intn(2) == 0)
		}
		if wiped {
			node.Disk.Wipe()
		}
	}
	in.faults = append(in.faults, "closing, "+label+" "+cluster.Controls[at].Settings.IP)
	in.sleepBetween(300, 3000)
	for _, node := range cluster.Controls {
		node.Disk.SetFaults(5*time.Millisecond, false)
	}
	first := in.intn(len(cluster.Controls))
	for i := range cluster.Controls {
		if node := cluster.Controls[(first+i)%len(cluster.Controls)]; node.cancel == nil {
			node.mustStart()
			time.Sleep(time.Duration(in.intn(2)*in.intn(300)) * time.Millisecond)
		}
	}
	for i := range 60 {
		in.readConfiguration(i%2, i%len(cluster.Controls))
		if i%4 == 0 {
			in.readCluster(0, in.intn(len(cluster.Controls)))
			in.readRollout(1, in.intn(len(cluster.Controls)))
		}
		time.Sleep(50 * time.Millisecond)
	}
	in.awaitTolerance()
}

// -args -hard 1000 -from 1 plays 1,000 hard histories; TestHistories with -from 1000001 plays the same ones.
func TestHardHistories(t *testing.T) {
	n := *hardHistories
	if n == 0 {
		n = lo.Ternary(raceEnabled, 6, 80)
	}
	var mu sync.Mutex
	faultCounts, faults := map[string]int{}, map[string][]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := hardSeedBase + *firstSeed; seed < hardSeedBase+*firstSeed+n; seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				r := playHistory(t, seed)
				mu.Lock()
				defer mu.Unlock()
				for _, label := range r.faults {
					faultCounts[label[:strings.LastIndexByte(label, ' ')]]++
				}
				for _, kind := range slices.Sorted(maps.Keys(r.violations)) {
					faults[kind] = append(faults[kind], seed)
					t.Errorf("%s (%d times): %s; faults: %v", kind, len(r.violations[kind]), r.violations[kind][0], strings.Join(r.faults, ", "))
				}
			})
		}
	})
	for _, label := range slices.Sorted(maps.Keys(faultCounts)) {
		t.Log(label, faultCounts[label])
	}
	for _, kind := range slices.Sorted(maps.Keys(faults)) {
		slices.Sort(faults[kind])
		t.Logf("%s: %d histories, seeds %v", kind, len(faults[kind]), faults[kind][:min(20, len(faults[kind]))])
	}
}
