package simulation

import (
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
	"portflow/internal/random"
)

var (
	randomRuns = flag.Int("seeds", 4, "drawn days to play")
	firstSeed  = flag.Int("from", 1, "the first of them")
)

var (
	rolloutOutcomes = map[string]int{}             // number of rollouts by outcome
	ackLatencies    = map[string][]time.Duration{} // latencies of changes, by the current fault
	recoveryTimes   []time.Duration                // from the end of the closing fault until all control processes are in touch
)

// randomOperator sends random changes, injects faults and records what was sent and acknowledged.
type randomOperator struct {
	cluster         *Cluster
	rng             random.Source
	sent            map[string]map[string]bool // by route and version: the prefixes that were sent
	acceptedPrefix  map[string]string          // by route and version: the acknowledged prefix
	ackedVersion    map[string]string          // by route: the newest acknowledged version
	nextVersion     int
	unacknowledged  int        // calls without a reply in time, and changes rejected without a conflict
	mu              sync.Mutex // guards rng, currentFault and lastAckedBy
	currentFault    string
	lastAckedBy     int               // index of the control process that replied last
	rolloutEnds     map[string]string // by target version: the outcome
	ackedEvacuation string            // the last evacuation call for z0; empty if it was not acknowledged
}

func (o *randomOperator) intn(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return int(o.rng.Float64() * float64(n))
}

func (o *randomOperator) setFault(fault string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.currentFault = fault
}

func (o *randomOperator) toggleEvacuation() {
	call := []string{"evacuation.begin", "evacuation.finish"}[o.intn(2)]
	o.ackedEvacuation = ""
	if status, _, _ := o.cluster.Call(call, "z0", nil, 8*time.Second, o.intn(len(o.cluster.Controls))); status == 200 {
		o.ackedEvacuation = call
	} else {
		o.unacknowledged++
	}
}

// injectFault injects a random fault that the cluster must tolerate, repairs it, and returns its description.
func (o *randomOperator) injectFault() string {
	cluster := o.cluster
	index := o.intn(len(cluster.Controls))
	node := cluster.Controls[index]
	duration := time.Duration(1+o.intn(4)) * time.Second
	defer o.setFault("calm")
	if other := cluster.Controls[(index+1+o.intn(5))%6]; o.intn(3) == 0 { // at the same time, the disk of another process is slow
		other.Disk.SetFaults(125*time.Millisecond, false)
		defer other.Disk.SetFaults(5*time.Millisecond, false)
	}
	switch kind := o.intn(9); kind {
	case 0, 1: // killed, or power lost
		o.setFault("down")
		node.Kill()
		if kind == 1 {
			cluster.Network.SetPoweredOff(node.Settings.IP, true)
			node.Disk.PowerLoss(o.intn(2) == 0)
		}
		time.Sleep(duration)
		cluster.Network.SetPoweredOff(node.Settings.IP, false)
		node.mustStart()
		return fmt.Sprint("down ", node.Settings.IP)
	case 2:
		o.setFault("wiped")
		node.Kill()
		node.Disk.Wipe()
		time.Sleep(duration)
		node.mustStart()
		return fmt.Sprint("wiped ", node.Settings.IP)
	case 3, 4: // partitioned from all others, or from about half of them
		o.setFault("cut")
		for i, peer := range cluster.Controls {
			if peer != node && (kind == 3 || i%2 == 0) {
				cluster.Network.SetPartition(node.Settings.IP, peer.Settings.IP, true)
			}
		}
		time.Sleep(duration + 2*time.Second)
		for _, peer := range cluster.Controls {
			cluster.Network.SetPartition(node.Settings.IP, peer.Settings.IP, false)
		}
		return fmt.Sprint("partitioned ", node.Settings.IP)
	case 5:
		o.setFault("slow disk")
		node.Disk.SetFaults(125*time.Millisecond, false)
		time.Sleep(duration)
		node.Disk.SetFaults(5*time.Millisecond, false)
		return fmt.Sprint("slow disk ", node.Settings.IP)
	case 6:
		o.setFault("failing disk")
		node.Disk.SetFaults(5*time.Millisecond, true)
		time.Sleep(duration)
		node.Disk.SetFaults(5*time.Millisecond, false)
		return fmt.Sprint("failing disk ", node.Settings.IP)
	case 7: // a region loses power
		o.setFault("region")
		region := []*ControlNode{node, cluster.Controls[index^1]}
		for _, peer := range region {
			peer.Kill()
			cluster.Network.SetPoweredOff(peer.Settings.IP, true)
			peer.Disk.PowerLoss(o.intn(2) == 0)
		}
		time.Sleep(duration + time.Second)
		for _, peer := range region {
			cluster.Network.SetPoweredOff(peer.Settings.IP, false)
			peer.mustStart()
		}
		return "region down"
	default: // all processes are killed; their disks are intact
		o.setFault("all killed")
		for _, peer := range cluster.Controls {
			peer.Kill()
		}
		time.Sleep(time.Second)
		for _, peer := range cluster.Controls {
			peer.mustStart()
		}
		return "all killed"
	}
}

// checkAcked reads the configuration from one control process. If it answers, no acknowledged change may be missing.
func (o *randomOperator) checkAcked(c *qt.C, index int, faults []string) {
	client := o.cluster.httpClient(o.cluster.Network.Process("10.200.0.2"), time.Second)
	defer client.CloseIdleConnections()
	status, raw, err := callRPC(o.cluster.ctx, client, o.cluster.Controls[index].Settings.ListenAddresses["control"], "configuration.read", "", nil)
	if err != nil || status != 200 {
		return
	}
	items, err := config.ParseChange([]byte(`{"set-items":` + string(raw) + `}`))
	c.Assert(err, qt.IsNil)
	stored := map[string]uint64{}
	for _, i := range items {
		stored[i.Name] = i.Version
	}
	for route, version := range o.ackedVersion {
		c.Check(config.FormatVersion(stored[route]) >= version, qt.IsTrue, qt.Commentf("LOST: %s returned the configuration without %s at version %s; faults %v",
			o.cluster.Controls[index].Settings.Name, route, version, faults))
	}
}

func newRandomOperator(cluster *Cluster, seed int) *randomOperator {
	return &randomOperator{
		cluster:        cluster,
		rng:            random.Source{Seed: uint64(seed) * 977},
		sent:           map[string]map[string]bool{},
		acceptedPrefix: map[string]string{},
		ackedVersion:   map[string]string{},
		rolloutEnds:    map[string]string{},
		currentFault:   "calm",
	}
}

// runUntilStopped runs a function in the background. The returned function stops it and waits until it has returned.
func runUntilStopped(run func(stop chan bool)) (stopAndWait func()) {
	stop, done := make(chan bool), make(chan bool)
	go func() {
		defer close(done)
		run(stop)
	}()
	return func() {
		close(stop)
		<-done
	}
}

// watchRoutes checks that no proxy ever reverts to an older version of a route.
func (o *randomOperator) watchRoutes(stop chan bool) {
	highest := map[string]uint64{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, proxyNode := range o.cluster.Proxies {
			for name, version := range proxyNode.Running.RouteVersions() {
				key := proxyNode.Settings.Name + " " + name
				if version < highest[key] {
					o.cluster.violation("CONFIG: %s reverted from version %d to %d", key, highest[key], version)
				}
				highest[key] = max(highest[key], version)
			}
		}
	}
}

// sendDuringFaults injects three faults, one after the other, while sending changes. It returns the descriptions of the faults.
func (o *randomOperator) sendDuringFaults() (faults []string) {
	for range 3 {
		faultOver := make(chan bool)
		go func() {
			defer close(faultOver)
			time.Sleep(time.Duration(o.intn(500)) * time.Millisecond)
			faults = append(faults, o.injectFault())
		}()
		for range 6 {
			time.Sleep(time.Duration(100+o.intn(500)) * time.Millisecond)
			if o.intn(4) == 0 {
				o.toggleEvacuation()
			} else {
				o.sendChange(o.intn(4) == 0)
			}
		}
		<-faultOver
		time.Sleep(5 * time.Second) // recover before the next fault
	}
	return faults
}

// restartAll stops all control processes at once and restarts them. closing is 0 if they are killed, 1 if they lose power, and 2 if
// they lose power and the one that replied last also loses its disk.
func (o *randomOperator) restartAll(closing int) {
	for i, node := range o.cluster.Controls {
		node.Kill()
		if closing > 0 {
			node.Disk.PowerLoss(i%2 == 0)
		}
	}
	if closing == 2 {
		o.cluster.Controls[o.lastAckedBy].Disk.Wipe()
	}
	time.Sleep(1300 * time.Millisecond)
	for _, node := range o.cluster.Controls {
		node.mustStart()
		time.Sleep(time.Duration(o.intn(150)) * time.Millisecond)
	}
}

// recordRecovery records the time until all control processes are in touch, up to 4 s.
func (o *randomOperator) recordRecovery() (recovered chan bool) {
	recovered = make(chan bool)
	start := time.Now()
	go func() {
		defer close(recovered)
		for _, node := range o.cluster.Controls {
			for node.Status() != "in touch" && time.Since(start) < 4*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
		}
		recoveryTimes = append(recoveryTimes, time.Since(start))
	}()
	return recovered
}

// readAll reads the configuration from all control processes, checks that they agree, and returns its items by name.
func (o *randomOperator) readAll(c *qt.C, faults []string, closing int) map[string]config.Item {
	var first string
	for i, node := range o.cluster.Controls {
		status, by, reply := o.cluster.Call("configuration.read", "", nil, time.Second, i)
		c.Assert([2]int{status, by}, qt.Equals, [2]int{200, i}, qt.Commentf("faults %v, closing %d: %s is %s", faults, closing, node.Settings.Name, node.Status()))
		if first == "" {
			first = string(reply)
		}
		c.Check(string(reply), qt.Equals, first, qt.Commentf("%v", faults))
	}
	items, err := config.ParseChange([]byte(`{"set-items":` + first + `}`))
	c.Assert(err, qt.IsNil)
	stored := map[string]config.Item{}
	for _, i := range items {
		stored[i.Name] = i
	}
	return stored
}

// checkStored checks that every acknowledged change is stored, and nothing that was never sent.
func (o *randomOperator) checkStored(c *qt.C, stored map[string]config.Item, faults []string, closing int) {
	for route, version := range o.ackedVersion {
		i, found := stored[route]
		c.Check(found && config.FormatVersion(i.Version) >= version, qt.IsTrue,
			qt.Commentf("LOST: %s: version %s was acknowledged, version %d is stored; faults %v, closing %d", route, version, i.Version, faults, closing))
		prefix, _ := i.Tree()["path-prefix"].(string)
		key := route + config.FormatVersion(i.Version)
		c.Check(o.sent[key][prefix], qt.IsTrue, qt.Commentf("%s: stored prefix %s was never sent", route, prefix))
		if accepted := o.acceptedPrefix[key]; accepted != "" {
			c.Check(prefix, qt.Equals, accepted, qt.Commentf("LOST: stored prefix differs from the acknowledged prefix of the same version; faults %v, closing %d", faults, closing))
		}
	}
}

// checkEvacuation checks that the last evacuation call, if acknowledged, is in force.
func (o *randomOperator) checkEvacuation(c *qt.C, faults []string) {
	if o.ackedEvacuation == "" {
		return
	}
	_, _, reply := o.cluster.Call("harbour.read", "", nil, time.Second, 0)
	var status struct{ Evacuated []string }
	c.Assert(json.Unmarshal(reply, &status), qt.IsNil)
	c.Check(len(status.Evacuated) == 1, qt.Equals, o.ackedEvacuation == "evacuation.begin", qt.Commentf("LOST: %s is not in force; faults %v", o.ackedEvacuation, faults))
}

// playRandomSchedule runs the random schedule of a seed: changes, conflicting changes, rollouts, evacuations and faults, with a restart
// of all control processes right after the last change. It then checks the state against what was acknowledged.
func playRandomSchedule(t *testing.T, seed int) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := smallLayout
		layout.Zones, layout.ProxiesPerZone, layout.HostsPerZone, layout.Seed = 6, 1, 1, uint64(seed)
		cluster := New(layout)
		c.Assert(cluster.Start(), qt.IsNil)
		defer cluster.Stop()
		time.Sleep(2 * time.Second)
		op := newRandomOperator(cluster, seed)
		configure(c, cluster, cluster.ChangeBody(true, safeRoute), 0)
		stopWatch := runUntilStopped(op.watchRoutes)
		stopRollouts := runUntilStopped(op.runRollouts)
		faults := op.sendDuringFaults()
		op.sendChange(false)
		closing := op.intn(3)
		op.restartAll(closing)
		recovered := op.recordRecovery()
		for i := range 60 { // from its first response on, a process must have every acknowledged change
			op.checkAcked(c, i%len(cluster.Controls), faults)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		<-recovered
		stopWatch()
		stopRollouts()
		for _, end := range op.rolloutEnds {
			rolloutOutcomes[end]++
		}
		c.Check(cluster.Violations, qt.HasLen, 0)
		c.Check(op.unacknowledged, qt.Equals, 0, qt.Commentf("unacknowledged calls; faults %v", faults))
		stored := op.readAll(c, faults, closing)
		op.checkStored(c, stored, faults, closing)
		op.checkEvacuation(c, faults)
		for _, proxyNode := range cluster.Proxies {
			for name, version := range proxyNode.Running.RouteVersions() {
				c.Check(version, qt.Equals, stored[name].Version, qt.Commentf("%s: version of %s differs from the stored one", proxyNode.Settings.Name, name))
			}
		}
	})
}

// No acknowledged change may be lost under random faults. Use -args -seeds 1000 to run more schedules.
func TestRandomSchedules(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*randomRuns; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRandomSchedule(t, seed) })
	}
	t.Log("rollouts by outcome", rolloutOutcomes)
	for fault, all := range ackLatencies {
		slices.Sort(all)
		t.Logf("%s: %d changes, acknowledged after %v (median), %v (worst)", fault, len(all), all[len(all)/2], all[len(all)-1])
	}
	slices.Sort(recoveryTimes)
	t.Logf("all in touch %v (median), %v (worst) after the restart of the last process", recoveryTimes[len(recoveryTimes)/2], recoveryTimes[len(recoveryTimes)-1])
}

// sendChange sends a change of one of four routes to a random control process. If conflicting is set, it concurrently sends different
// content for the same version.
func (o *randomOperator) sendChange(conflicting bool) {
	o.nextVersion += 1 + o.intn(3)
	version := config.FormatVersion(uint64(o.nextVersion))
	route := fmt.Sprintf("r%d", o.intn(4))
	senders := 1
	if conflicting {
		senders = 2
	}
	type callOutcome struct {
		prefix string
		status int
	}
	results := make(chan callOutcome, senders)
	for k := range senders {
		prefix := fmt.Sprintf("/%s-%s-%d/", route, version, k)
		if o.sent[route+version] == nil {
			o.sent[route+version] = map[string]bool{}
		}
		o.sent[route+version][prefix] = true
		first := o.intn(len(o.cluster.Controls))
		body := o.cluster.ChangeBody(false, Route{Name: route, Prefix: prefix, Service: "desk", Version: version})
		go func() {
			status, answeredBy, _ := o.cluster.Call("configuration.modify", "", body, 8*time.Second, first)
			o.mu.Lock()
			o.lastAckedBy = max(0, answeredBy)
			o.mu.Unlock()
			results <- callOutcome{prefix, status}
		}()
	}
	start, refused := time.Now(), 0
	for range senders {
		switch result := <-results; {
		case result.status == 200 && o.acceptedPrefix[route+version] != "":
			o.cluster.violation("TWICE: %s version %s was acknowledged with prefix %s and with prefix %s", route, version, o.acceptedPrefix[route+version], result.prefix)
		case result.status == 200:
			o.acceptedPrefix[route+version] = result.prefix
			o.ackedVersion[route] = max(o.ackedVersion[route], version)
		case result.status == 409:
			refused++
		default:
			o.unacknowledged++
		}
	}
	if refused > 0 && o.acceptedPrefix[route+version] == "" { // a rejection requires that the other change was accepted
		o.unacknowledged += refused
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	ackLatencies[o.currentFault] = append(ackLatencies[o.currentFault], time.Since(start))
}

// runRollouts begins one rollout after another, sends random votes from the proxies, and records the outcomes that control processes
// report. A rollout must not have two different outcomes.
func (o *randomOperator) runRollouts(stop chan bool) {
	cluster, rng := o.cluster, random.Source{Seed: uint64(o.intn(1 << 30))}
	client := cluster.httpClient(cluster.Network.Process("10.200.0.3"), time.Second)
	defer client.CloseIdleConnections()
	for n := 2; ; n++ {
		target := fmt.Sprint("v", n)
		status, _, _ := cluster.Call("rollouts.begin", "", []byte(`{"service":"desk","target-version":"`+target+`","duration-s":5}`), 8*time.Second, int(rng.Float64()*6))
		rollbackFraction := []float64{0, 0.02, 0.1, 0.5}[int(rng.Float64()*4)] // fraction of the votes
		for range 24 {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			for _, px := range cluster.Proxies {
				if status == 200 && rng.Float64() < 0.7 {
					px.Running.SendVote(update.Vote{Service: "desk", Number: uint64(n - 1), Verdict: uint8(lo.Ternary(rng.Float64() < rollbackFraction, decision.RollBack, decision.Advance))})
				}
			}
			node := cluster.Controls[int(rng.Float64()*6)]
			if status, raw, err := callRPC(cluster.ctx, client, node.Settings.ListenAddresses["control"], "rollouts.read", "desk", nil); err == nil && status == 200 {
				var reply map[string]string
				json.Unmarshal(raw, &reply)
				if outcome := reply["server-state"]; outcome != "running" {
					if previous := o.rolloutEnds[reply["target-version"]]; previous != "" && previous != outcome {
						cluster.violation("LOST: rollout to %s was %s and is now %s", reply["target-version"], previous, outcome)
					}
					o.rolloutEnds[reply["target-version"]] = outcome
				}
			}
		}
	}
}
