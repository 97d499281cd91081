package simulation

import (
	"slices"
	"time"
)

// injectFaults injects and undoes one to three faults that the cluster must tolerate, some of them together with a minor one.
func (rc *recorder) injectFaults() {
	if rc.seed > hardSeedBase {
		rc.injectHardFaults()
		return
	}
	rc.sleepBetween(500, 1500)
	for range 1 + rc.intn(3) {
		m := rc.pickTarget()
		undo := []func(){rc.injectFault(m)}
		seconds := 2 + rc.intn(5)
		if rc.intn(5) == 0 {
			seconds = 20 + rc.intn(6)
		}
		if rc.intn(2) == 0 { // add a fault that doesn't stop a control process
			time.Sleep(time.Duration(rc.intn(800)) * time.Millisecond)
			undo = append(undo, rc.injectMinorFault(m))
		}
		time.Sleep(time.Duration(seconds) * time.Second)
		for _, u := range slices.Backward(undo) {
			u()
		}
		for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
			if !slices.ContainsFunc(rc.cluster.Controls, func(m *ControlNode) bool { return m.Status() != "in touch" }) {
				break
			}
		}
		rc.sleepBetween(500, 2500) // let all recover before the next fault
	}
}

// pickTarget picks a random process, the one that confirmed a change last, or the one that answered a read last.
func (rc *recorder) pickTarget() int {
	at := rc.intn(3 * len(rc.cluster.Controls))
	rc.mu.Lock()
	defer rc.mu.Unlock()
	switch at % 3 {
	case 0:
		return rc.lastConfirmedBy
	case 1:
		return rc.lastReadFrom
	}
	return at / 3
}

// injectMinorFault slows down the disk of a control process other than at, loses responses to an operator for a while, or kills a
// proxy.
func (rc *recorder) injectMinorFault(at int) (undo func()) {
	cluster := rc.cluster
	other := cluster.Controls[(at+1+rc.intn(len(cluster.Controls)-1))%len(cluster.Controls)]
	operator := operatorIP(rc.intn(2))
	switch rc.intn(3) {
	case 0:
		rc.faults = append(rc.faults, "slow disk "+other.Settings.IP)
		other.Disk.SetFaults(125*time.Millisecond, false)
		return func() { other.Disk.SetFaults(5*time.Millisecond, false) }
	case 1: // responses are lost or late, as the connections continue after a while
		rc.faults = append(rc.faults, "responses lost to "+operator)
		duration := time.Duration(300+rc.intn(2500)) * time.Millisecond
		var ips []string
		for _, node := range cluster.Controls {
			ips = append(ips, node.Settings.IP)
		}
		for _, ip := range ips {
			cluster.Network.SetOneWayPartition(ip, operator, true)
		}
		time.Sleep(duration)
		for _, ip := range ips {
			cluster.Network.SetOneWayPartition(ip, operator, false)
		}
		return func() {}
	}
	px := cluster.Proxies[rc.intn(len(cluster.Proxies))]
	rc.faults = append(rc.faults, "proxy killed "+px.Settings.IP)
	px.Kill()
	return func() {
		if err := px.Start(); err != nil {
			cluster.violation("proxy failed to start: %v", err)
		}
	}
}

// injectFault injects a random fault into a process, and returns the function that undoes it.
func (rc *recorder) injectFault(at int) (undo func()) {
	cluster := rc.cluster
	node := cluster.Controls[at]
	ip, disk := node.Settings.IP, node.Disk
	record := func(label string, undo func()) func() {
		rc.faults = append(rc.faults, label+" "+ip)
		return undo
	}
	cut := func(setPartition func(a, b string, cut bool), selected func(i int) bool) func() {
		var others []string
		for i, x := range cluster.Controls {
			if x != node && selected(i) {
				others = append(others, x.Settings.IP)
			}
		}
		for _, x := range others {
			setPartition(ip, x, true)
		}
		return func() {
			for _, x := range others {
				setPartition(ip, x, false)
			}
		}
	}
	all := func(int) bool { return true }
	switch rc.intn(16) {
	case 0:
		node.Kill()
		return record("killed", node.mustStart)
	case 1:
		node.Kill()
		cluster.Network.SetPoweredOff(ip, true)
		disk.PowerLoss(rc.intn(2) == 0)
		return record("powered off", func() { cluster.Network.SetPoweredOff(ip, false); node.mustStart() })
	case 2:
		node.Kill()
		disk.Wipe()
		return record("wiped", node.mustStart)
	case 3, 4:
		return record("cut", cut(cluster.Network.SetPartition, all))
	case 5, 6:
		return record("cut, outbound only", cut(cluster.Network.SetOneWayPartition, all))
	case 7:
		return record("cut, inbound only", cut(func(a, b string, cut bool) { cluster.Network.SetOneWayPartition(b, a, cut) }, all))
	case 8:
		return record("cut from half", cut(cluster.Network.SetPartition, func(i int) bool { return i%2 == 0 }))
	case 9:
		disk.SetFaults(125*time.Millisecond, false)
		return record("slow disk", func() { disk.SetFaults(5*time.Millisecond, false) })
	case 10:
		disk.SetFaults(5*time.Millisecond, true)
		return record("failing disk", func() { disk.SetFaults(5*time.Millisecond, false) })
	case 11:
		disk.setHanging(true)
		return record("hanging disk", func() { disk.setHanging(false) })
	case 12:
		cluster.Network.Freeze(ip, true)
		disk.setHanging(true)
		return record("frozen", func() { disk.setHanging(false); cluster.Network.Freeze(ip, false) })
	case 13:
		if len(cluster.Controls) < 6 {
			return rc.injectFault(at)
		}
		two := []*ControlNode{node, cluster.Controls[at^1]}
		for _, x := range two {
			x.Kill()
			cluster.Network.SetPoweredOff(x.Settings.IP, true)
			x.Disk.PowerLoss(rc.intn(2) == 0)
		}
		return record("region powered off", func() {
			for _, x := range two {
				cluster.Network.SetPoweredOff(x.Settings.IP, false)
				x.mustStart()
			}
		})
	case 14: // its clock steps, and it restarts with the new time
		node.Kill()
		node.ClockSkew = time.Duration(rc.intn(7200)-3600) * time.Second
		return record("clock stepped", node.mustStart)
	}
	if rc.intn(2) == 0 {
		for _, x := range cluster.Controls {
			x.Kill()
		}
		time.Sleep(time.Second)
		for _, x := range cluster.Controls {
			x.mustStart()
		}
		return record("all killed", func() {})
	}
	node.Replace()
	return record("replaced", node.mustStart)
}
