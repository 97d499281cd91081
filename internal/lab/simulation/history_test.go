package simulation

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/samber/lo"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
	"portflow/internal/proxy"
	"portflow/internal/random"
)

var printHistory = flag.Bool("show", false, "write a history down whose calls have no order that a model allows")

// historyCount is how many histories TestHistories plays: what -histories says, else under two minutes of a core's time, less with the
// race detector.
func historyCount() int {
	n := lo.Ternary(raceEnabled, 10, 240)
	flag.Visit(func(f *flag.Flag) {
		if f.Name == "histories" {
			n = *historyRuns
		}
	})
	return n
}

const (
	settleTime         = 6 * time.Second // from the last harm's end on nothing that was left unclear changes any more
	workersPerOperator = 4               // of each operator: so many of its calls are under way at once
	maxOrders          = 90              // orders of routes in one history, less those for hundreds of later changes
	rolloutSeconds     = 6               // seconds of a rollout
	oneSecond          = int64(time.Second)
	resendWindow       = 4 * oneSecond // an order for a rollout is sent again within this, and a call's time, of acknowledge-s
)

// change is a change of some routes, which is sent once or more often. Times are of the virtual day, nanoseconds.
type change struct {
	id         int
	items      []content
	firstSent  int64 // the first time that it was sent, 0 for never
	answeredAt int64 // the first clear answer
	status     int   // that answer: 200, 409, or what nobody should be told; 0 while it is unclear
	repeats    []response
}

// response is a later clear one.
type response struct {
	calledAt, returnedAt int64
	status               int
}

// read is one of the configuration that was answered with 200.
type read struct {
	calledAt, returnedAt int64
	control              int
	contents             [routeCount]int16
	versions             [routeCount]uint64
}

// timedCall is a call of an evacuation or a rollout.
type timedCall struct {
	calledAt, returnedAt int64
	op                   any
}

// history is what one history's operators saw.
type history struct {
	seed        int
	contents    []content // by id, from 1
	conflicts   int
	changes     []*change
	reads       []read
	evacuations []timedCall
	rollouts    []timedCall
	votedAt     []int64 // when routers voted
	settledAt   int64   // when the last harm was over, and settled has passed
	faults      []string
	violations  map[string][]string
	active      map[int16]string // contents that were in force at some router: where
}

func (hs *history) violation(kind, format string, args ...any) {
	hs.violations[kind] = append(hs.violations[kind], fmt.Sprintf(format, args...))
}

// recorder plays one history.
type recorder struct {
	*history
	cluster         *Cluster
	mu              sync.Mutex // over the record, the chance and what follows
	rng             random.Source
	version         uint64
	lastConfirmedBy int // who confirmed an order last
	lastReadFrom    int // who was read last
	done            bool
	clients         [2]*http.Client
	targets         int
}

func (rc *recorder) intn(n int) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return int(rc.rng.Float64() * float64(n))
}

func (rc *recorder) finished() bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.done
}

func (rc *recorder) sleepBetween(from, to int) {
	time.Sleep(time.Duration(from+rc.intn(to-from)) * time.Millisecond)
}

func nowNanos() int64 { return time.Now().UnixNano() }

// callOne sends one call of an operator to one process.
func (rc *recorder) callOne(operator, at int, call, target string, body []byte) (status int, raw []byte) {
	status, raw, err := callRPC(context.Background(), rc.clients[operator], rc.cluster.controlAddress(at), call, target, body)
	if err != nil {
		return 0, nil
	}
	return status, raw
}

// internContent is the content with this prefix; the lock is held.
func (rc *recorder) internContent(route int, version uint64, prefix string) content {
	for _, c := range rc.contents[1:] {
		if c.route == route && c.version == version && c.prefix == prefix {
			return c
		}
	}
	c := content{id: int16(len(rc.contents)), route: route, version: version, prefix: prefix, conflict: -1}
	rc.contents = append(rc.contents, c)
	return c
}

// newChanges draws a change of one to three routes, and at times a rival: another of which one version at least has another content.
// Older ones lie under what was sent before.
func (rc *recorder) newChanges(conflicting, older bool) []*change {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if conflicting && rc.conflicts+3 > maxConflicts {
		conflicting = false
	}
	n := func(n int) int { return int(rc.rng.Float64() * float64(n)) }
	version := rc.version + 2
	rc.version = version
	if older { // the odd ones are for these
		below := version - min(version-1, uint64(2*n(8)+1))
		if !slices.ContainsFunc(rc.contents, func(c content) bool { return c.version == below }) {
			version = below
		}
	}
	routes := []int{0, 1, 2, 3, 4}
	for i := range routes {
		j := i + n(len(routes)-i)
		routes[i], routes[j] = routes[j], routes[i]
	}
	count := 1 + max(0, n(5)-2)
	changes := []*change{{id: len(rc.changes)}}
	for _, r := range routes[:count] {
		prefix := fmt.Sprintf("/r%d-%x-%d/", r, version, len(rc.changes))
		if n(8) == 0 {
			prefix = ""
		}
		changes[0].items = append(changes[0].items, rc.internContent(r, version, prefix))
	}
	if conflicting {
		other := &change{id: len(rc.changes) + 1}
		first := n(count) // one of these at least is in both
		for i, r := range routes[first:min(routeCount, first+1+n(3))] {
			prefix := fmt.Sprintf("/r%d-%x-%d/", r, version, other.id)
			if first+i < count && n(6) == 0 && changes[0].items[first+i].prefix != "" {
				prefix = ""
			}
			other.items = append(other.items, rc.internContent(r, version, prefix))
			if first+i >= count {
				continue // the rival's alone
			}
			ours, theirs := &changes[0].items[first+i], &other.items[i]
			ours.conflict, theirs.conflict = rc.conflicts, rc.conflicts
			rc.contents[ours.id].conflict, rc.contents[theirs.id].conflict = rc.conflicts, rc.conflicts
			rc.conflicts++
		}
		changes = append(changes, other)
	}
	rc.changes = append(rc.changes, changes...)
	return changes
}

// changeBody is a change as it is sent; it says the same whatever the order of its columns and rows.
func changeBody(items []content, rotation int) []byte {
	columns := []string{"name", "host-name", "path-prefix", "route-kind", "timeout-s", "target-s", "priority-level", "service",
		"maximum-attempts", "version"}
	rows, drops := [][]any{}, []any{}
	for i := range items {
		c := items[(i+rotation)%len(items)]
		name := fmt.Sprint("r", c.route)
		if c.prefix == "" {
			drops = append(drops, map[string]any{"name": name, "version": config.FormatVersion(c.version)})
			continue
		}
		rows = append(rows, []any{name, "desk.example", c.prefix, "safe_method", 2, 0.8, 1, "desk", 2, config.FormatVersion(c.version)})
	}
	k := rotation % len(columns)
	columns = append(slices.Clone(columns[k:]), columns[:k]...)
	for i, row := range rows {
		rows[i] = append(slices.Clone(row[k:]), row[:k]...)
	}
	raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{"routes": map[string]any{"table-columns": columns, "table-rows": rows}},
		"drop-names": map[string]any{"routes": drops}})
	return raw
}

// sendChange sends an order, to one process after the other so many times, until there is a clear answer.
func (rc *recorder) sendChange(operator int, ch *change, attempts int, settled bool) {
	raw, index := changeBody(ch.items, rc.intn(10)), rc.intn(len(rc.cluster.Controls))
	for range attempts {
		called := nowNanos()
		rc.mu.Lock()
		if ch.firstSent == 0 {
			ch.firstSent = called
		}
		rc.mu.Unlock()
		status, answered := rc.callOne(operator, index, "configuration.modify", "", raw)
		if status != 0 && status/100 != 5 {
			rc.mu.Lock()
			defer rc.mu.Unlock()
			if ch.status == 0 {
				ch.status, ch.answeredAt = status, nowNanos()
			} else {
				ch.repeats = append(ch.repeats, response{called, nowNanos(), status})
			}
			switch status {
			case 200:
				rc.lastConfirmedBy = index
			case 409:
				rc.checkConflict(ch, answered)
			default:
				rc.violation("refused without cause", "order %d got %d: %s", ch.id, status, answered)
			}
			return
		}
		index = (index + 1) % len(rc.cluster.Controls)
		time.Sleep(50 * time.Millisecond)
	}
	if settled {
		rc.mu.Lock()
		defer rc.mu.Unlock()
		rc.violation("unanswered in a calm", "order %d", ch.id)
	}
}

// checkConflict holds a 409 against what it must say: its kind, the route and the content that stands; the lock is held.
func (rc *recorder) checkConflict(ch *change, raw []byte) {
	var reply struct{ Error string }
	json.Unmarshal(raw, &reply)
	if reply.Error != "conflict" {
		rc.violation("409 of another kind", "order %d: %s", ch.id, raw)
		return
	}
	for _, c := range ch.items {
		for _, other := range rc.contents[1:] {
			rival := other.version == c.version && other.id != c.id
			later := other.version > c.version // the rival was passed since: then what stands now is named
			named := other.prefix == "" && strings.Contains(string(raw), "dropped") || other.prefix != "" && strings.Contains(string(raw), other.prefix)
			if other.route == c.route && (rival || later) && named && strings.Contains(string(raw), fmt.Sprint("r", c.route)) {
				return
			}
		}
	}
	rc.violation("409 doesn't say what stands", "order %d: %s", ch.id, raw)
}

// readConfiguration reads the configuration at one process; ok tells whether it answered.
func (rc *recorder) readConfiguration(operator, at int) (rd read, ok bool) {
	rd = read{calledAt: nowNanos(), control: at}
	status, raw := rc.callOne(operator, at, "configuration.read", "", nil)
	rd.returnedAt = nowNanos()
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if status != 200 {
		if status != 0 && status != 503 {
			rc.violation("refused without cause", "reading got %d: %s", status, raw)
		}
		return rd, false
	}
	rc.lastReadFrom = at
	items, err := config.ParseChange([]byte(`{"set-items":` + string(raw) + `}`))
	if err != nil {
		rc.violation("unreadable", "%v: %s", err, raw)
		return rd, false
	}
	for _, i := range items {
		var route int
		if _, err := fmt.Sscanf(i.Name, "r%d", &route); i.Kind != config.KindRoutes || err != nil || route >= routeCount {
			continue
		}
		prefix, _ := i.Tree()["path-prefix"].(string)
		at := slices.IndexFunc(rc.contents, func(c content) bool {
			return c.id > 0 && c.route == route && c.version == i.Version && c.prefix == prefix
		})
		if at < 0 {
			rc.violation("never sent", "%s %d %s", i.Name, i.Version, prefix)
			continue
		}
		rd.contents[route], rd.versions[route] = int16(at), i.Version
	}
	rc.reads = append(rc.reads, rd)
	return rd, true
}

// runWorker is one of an operator's hands, for as long as the history lasts.
func (rc *recorder) runWorker(operator int, pending *sync.WaitGroup) {
	for !rc.finished() {
		rc.sleepBetween(150, 1500)
		rc.mu.Lock()
		sent := len(rc.changes)
		rc.mu.Unlock()
		switch choice := rc.intn(10); {
		case choice < 5 && sent < maxOrders:
			pair := rc.newChanges(rc.intn(3) == 0, rc.intn(6) == 0)
			if len(pair) > 1 {
				attempts := 1 + rc.intn(4)
				pending.Go(func() {
					time.Sleep(time.Duration(rc.intn(3)*rc.intn(120)) * time.Millisecond)
					rc.sendChange(1-operator, pair[1], attempts, false)
				})
			}
			rc.sendChange(operator, pair[0], 1+rc.intn(4), false)
			if rc.intn(2) == 0 { // at once at another
				rc.readConfiguration(operator, rc.intn(len(rc.cluster.Controls)))
			}
		case choice < 7 && sent > 0:
			rc.mu.Lock()
			ch := rc.changes[int(rc.rng.Float64()*float64(sent))]
			rc.mu.Unlock()
			if ch.firstSent > 0 {
				rc.sendChange(operator, ch, 1+rc.intn(3), false)
			}
		default:
			rc.readConfiguration(operator, rc.intn(len(rc.cluster.Controls)))
		}
	}
}

// runEvacuations begins and ends the evacuation of z0, and looks at several processes.
func (rc *recorder) runEvacuations() {
	for !rc.finished() {
		rc.sleepBetween(400, 2500)
		var both sync.WaitGroup
		for operator := range 1 + max(0, rc.intn(4)-2) { // one, or two at once
			begun := rc.intn(2) == 0
			attempts := 1 + rc.intn(2)
			both.Go(func() {
				at := rc.intn(len(rc.cluster.Controls))
				for range attempts {
					if rc.sendEvacuation(operator, at, begun) {
						return
					}
					at = (at + 1) % len(rc.cluster.Controls)
				}
			})
		}
		both.Wait()
		for range 1 + rc.intn(2) {
			rc.readCluster(0, rc.intn(len(rc.cluster.Controls)))
		}
	}
}

// sendEvacuation sends one order, and tells whether it was confirmed.
func (rc *recorder) sendEvacuation(operator, at int, begun bool) bool {
	call := nowNanos()
	status, raw := rc.callOne(operator, at, lo.Ternary(begun, "evacuation.begin", "evacuation.finish"), "z0", nil)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if status/100 == 4 {
		rc.violation("refused without cause", "evacuation got %d: %s", status, raw)
	}
	rc.evacuations = append(rc.evacuations, timedCall{call, lo.Ternary(status == 200, nowNanos(), never), evacuationOp{evacuated: begun, status: status}})
	return status == 200
}

// readCluster asks one process who is in the harbour, and takes it by its word where it says that it is in touch.
func (rc *recorder) readCluster(operator, at int) {
	call := nowNanos()
	status, raw := rc.callOne(operator, at, "harbour.read", "", nil)
	var view struct {
		Standing  string
		Evacuated []string
	}
	if status != 200 || json.Unmarshal(raw, &view) != nil || view.Standing != "in touch" {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.evacuations = append(rc.evacuations, timedCall{call, nowNanos(), evacuationOp{read: true, evacuated: slices.Contains(view.Evacuated, "z0")}})
}

// runRollouts begins rollouts, two targets at once or one twice, looks at several processes, and has routers vote.
func (rc *recorder) runRollouts() {
	previous, previousAt, accepted := "", int64(0), false // the first target of the voyage before
	for !rc.finished() {
		rc.sleepBetween(300, 1500)
		rc.mu.Lock()
		rc.targets++
		n := rc.targets
		rc.mu.Unlock()
		first := fmt.Sprint("a", n)
		second := lo.Ternary(rc.intn(3) == 0, first, fmt.Sprint("b", n))
		var both sync.WaitGroup
		start, status := nowNanos(), 0
		both.Go(func() { status = rc.beginRollout(0, first, 1+rc.intn(3)) })
		if rc.intn(4) > 0 {
			both.Go(func() {
				time.Sleep(time.Duration(rc.intn(2)*rc.intn(300)) * time.Millisecond)
				rc.beginRollout(1, second, 1+rc.intn(3))
			})
		}
		both.Wait()
		if accepted && rc.intn(2) == 0 && nowNanos()-previousAt < rolloutSeconds*oneSecond+resendWindow && nowNanos()-start < resendWindow {
			rc.repeatRollout(previous)
		}
		previous, previousAt, accepted = first, start, status == 200
		if rc.intn(2) == 0 {
			rc.beginRollout(rc.intn(2), first, 1) // again
		}
		withoutVotes := rc.intn(2) == 0
		for k := range 26 {
			if rc.finished() {
				return
			}
			rc.sleepBetween(150, 350)
			if k >= 6 && !withoutVotes {
				rc.castVotes()
			}
			if rc.readRollout(rc.intn(2), rc.intn(len(rc.cluster.Controls))) && rc.intn(2) == 0 {
				break
			}
		}
	}
}

// castVotes has the routers vote this way and that on what may be the order that runs.
func (rc *recorder) castVotes() {
	rc.mu.Lock()
	seen := map[string]bool{}
	for _, t := range rc.rollouts {
		if op := t.op.(rolloutOp); op.target != "" && (op.read || op.status == 200) {
			seen[op.target] = true
		}
	}
	rc.votedAt = append(rc.votedAt, nowNanos())
	rc.mu.Unlock()
	for _, px := range rc.cluster.Proxies {
		p := update.Vote{Service: "desk", Number: uint64(len(seen)), Verdict: uint8(lo.Ternary(rc.intn(3) == 0, decision.RollBack, decision.Advance))}
		rc.cluster.mu.Lock()
		running := px.Running
		rc.cluster.mu.Unlock()
		running.SendVote(p)
	}
}

// beginRollout sends one order for a rollout, to one process after the other, until there is a clear answer; it is one call in the
// history, as a target is begun once. It gives that answer's status, 0 for none.
func (rc *recorder) beginRollout(operator int, target string, attempts int) int {
	at := rc.intn(len(rc.cluster.Controls))
	op := rolloutOp{target: target, calledAt: nowNanos(), returnedAt: never}
	for range attempts {
		status, raw := rc.callOne(operator, at, "rollouts.begin", "", fmt.Appendf(nil, `{"service":"desk","target-version":%q,"duration-s":%d}`, target, rolloutSeconds))
		if status == 200 || status == 409 {
			op.status, op.returnedAt = status, nowNanos()
			break
		}
		if status/100 == 4 {
			rc.mu.Lock()
			rc.violation("refused without cause", "rollout got %d: %s", status, raw)
			rc.mu.Unlock()
		}
		at = (at + 1) % len(rc.cluster.Controls)
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.rollouts = append(rc.rollouts, timedCall{op.calledAt, op.returnedAt, op})
	return op.status
}

// repeatRollout sends an order for a rollout again that was confirmed, while another may run since: it is never refused, and it is no
// new order, so the history doesn't have it.
func (rc *recorder) repeatRollout(target string) {
	at := rc.intn(len(rc.cluster.Controls))
	status, raw := rc.callOne(rc.intn(2), at, "rollouts.begin", "", fmt.Appendf(nil, `{"service":"desk","target-version":%q,"duration-s":%d}`, target, rolloutSeconds))
	if status/100 == 4 {
		rc.mu.Lock()
		defer rc.mu.Unlock()
		rc.violation("refused though it was taken", "rollout to %s got %d: %s", target, status, raw)
	}
}

// readRollout looks at one process how the rollout is, and tells whether it has ended.
func (rc *recorder) readRollout(operator, at int) (ended bool) {
	call := nowNanos()
	status, raw := rc.callOne(operator, at, "rollouts.read", "desk", nil)
	var reply map[string]string
	op := rolloutOp{read: true, phase: "none", calledAt: call, returnedAt: nowNanos()}
	switch {
	case status == 200 && json.Unmarshal(raw, &reply) == nil:
		op.target, op.phase = reply["target-version"], reply["server-state"]
	case status != 404:
		return false
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.rollouts = append(rc.rollouts, timedCall{call, op.returnedAt, op})
	return op.phase != "running" && op.phase != "none"
}

// watchProxies looks at all routers ten times a second: none goes back, and none has an order of several routes in part.
func (rc *recorder) watchProxies(stop chan bool, client *http.Client) {
	seen := map[*proxy.Proxy]map[string]uint64{}
	probes := map[string]int{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, proxyNode := range rc.cluster.Proxies {
			rc.cluster.mu.Lock()
			running, up := proxyNode.Running, proxyNode.cancel != nil
			rc.cluster.mu.Unlock()
			if !up {
				continue
			}
			versions := running.RouteVersions()
			rc.mu.Lock()
			old := seen[running]
			for name, v := range old {
				if versions[name] < v {
					rc.violation("a router went back", "%s: %s from %d to %d", proxyNode.Settings.Name, name, v, versions[name])
				}
			}
			seen[running] = versions
			for _, ch := range rc.changes {
				if at := slices.IndexFunc(ch.items, func(c content) bool { return c.conflict < 0 && versions[fmt.Sprint("r", c.route)] == c.version }); at >= 0 {
					for _, c := range ch.items {
						if versions[fmt.Sprint("r", c.route)] < c.version {
							rc.violation("in part at a router", "order %d at %s: r%d is at %d", ch.id, proxyNode.Settings.Name, c.route, versions[fmt.Sprint("r", c.route)])
						}
					}
				}
			}
			var toProbe []content
			for _, c := range rc.contents[1:] {
				if c.conflict >= 0 && c.prefix != "" && versions[fmt.Sprint("r", c.route)] == c.version {
					k := fmt.Sprint(proxyNode.Settings.Name, c.id)
					if probes[k]++; probes[k] == 1 || probes[k] == 12 {
						toProbe = append(toProbe, c)
					}
				}
			}
			rc.mu.Unlock()
			for _, c := range toProbe {
				if !rc.probePrefix(client, proxyNode, c) { // it is asked again at the next look
					rc.mu.Lock()
					probes[fmt.Sprint(proxyNode.Settings.Name, c.id)]--
					rc.mu.Unlock()
				}
			}
		}
	}
}

// probePrefix asks a router for what lies under a content's prefix, and tells whether the answer is clear: 404 says that it isn't in
// force there, 503 nothing, as a router that has just started says that of all.
func (rc *recorder) probePrefix(client *http.Client, proxyNode *ProxyNode, c content) bool {
	req, _ := http.NewRequest("GET", "http://"+proxyNode.Settings.ListenAddresses["front"]+c.prefix+"x", nil)
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", "safe-probe")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode == 404 || resp.StatusCode == 503 {
		return resp.StatusCode == 404
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.active[c.id] = proxyNode.Settings.Name
	return true
}

// checkAgreement has all processes read and all routers looked at, which must all say the same.
func (rc *recorder) checkAgreement(when string) (agreed read) {
	for at := range rc.cluster.Controls {
		rd, ok := rc.readConfiguration(0, at)
		if !ok {
			rd, ok = rc.readConfiguration(1, at)
		}
		rc.mu.Lock()
		switch {
		case !ok:
			rc.violation("unanswered in a calm", "%s: reading at %d", when, at)
		case at > 0 && rd.contents != agreed.contents && agreed.returnedAt > 0:
			rc.violation("processes disagree", "%s: %v at %d, %v at %d", when, agreed.contents, agreed.control, rd.contents, at)
		default:
			agreed = rd
		}
		rc.mu.Unlock()
	}
	for _, proxyNode := range rc.cluster.Proxies {
		versions := proxyNode.Running.RouteVersions()
		rc.mu.Lock()
		for rd, id := range agreed.contents {
			v, c := versions[fmt.Sprint("r", rd)], rc.contents[id]
			if id > 0 && v != c.version || id == 0 && v > 0 && !slices.ContainsFunc(rc.contents[1:], func(c content) bool {
				return c.route == rd && c.version == v && c.prefix == ""
			}) {
				rc.violation("a router disagrees", "%s: %s has r%d at %d, the core at %d", when, proxyNode.Settings.Name, rd, v, c.version)
			}
		}
		rc.mu.Unlock()
	}
	return agreed
}

// playHistory plays one history and gives what was seen.
func playHistory(t *testing.T, seed int) *history {
	rc := &recorder{history: &history{seed: seed, contents: []content{{conflict: -1}}, violations: map[string][]string{}, active: map[int16]string{}},
		rng: random.Source{Seed: uint64(seed) * 7919}}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		layout := Layout{Zones: lo.Ternary(seed%5 == 0, 3, 6), ProxiesPerZone: 1, Services: []string{"desk"}, Seed: uint64(seed), SkewClocks: seed%4 == 1}
		cluster := New(layout)
		cluster.Proxies = cluster.Proxies[:3]
		rc.cluster = cluster
		c.Assert(cluster.Start(), qt.IsNil)
		defer cluster.Stop()
		for i := range rc.clients {
			rc.clients[i] = cluster.httpClient(cluster.Network.Process(operatorIP(i)), time.Second)
			defer rc.clients[i].CloseIdleConnections()
		}
		probes := cluster.httpClient(cluster.Network.Process("10.200.0.13"), time.Second)
		defer probes.CloseIdleConnections()
		time.Sleep(2 * time.Second)
		configure(c, cluster, cluster.ChangeBody(true), 0)
		var operators, observers sync.WaitGroup
		stop := make(chan bool)
		observers.Go(func() { rc.watchProxies(stop, probes) })
		for i := range 2 * workersPerOperator {
			operators.Go(func() { rc.runWorker(i%2, &operators) })
		}
		operators.Go(rc.runEvacuations)
		operators.Go(rc.runRollouts)
		rc.injectFaults()
		rc.mu.Lock()
		rc.done = true
		rc.mu.Unlock()
		operators.Wait()
		time.Sleep(settleTime)
		rc.settledAt = nowNanos()
		before := rc.checkAgreement("settled")
		time.Sleep(2 * time.Second)
		if after := rc.checkAgreement("later"); after.contents != before.contents {
			rc.violation("changed in a calm", "%v, then %v", before.contents, after.contents)
		}
		rc.resendAll()
		time.Sleep(time.Second)
		rc.checkAgreement("at the end")
		for at := range cluster.Controls {
			rc.readCluster(0, at)
			rc.readRollout(0, at)
		}
		close(stop)
		observers.Wait()
	})
	rc.checkHistory()
	return rc.history
}

func operatorIP(i int) string { return fmt.Sprintf("10.200.0.%d", 11+i) }

// resendAll sends all orders again, some after hundreds of later changes, some after all processes were restarted.
func (rc *recorder) resendAll() {
	rc.mu.Lock()
	changes := slices.Clone(rc.changes)
	rc.mu.Unlock()
	if rc.seed%16 == 5 {
		var all sync.WaitGroup
		for i := range 2 * workersPerOperator {
			all.Go(func() {
				for range 30 {
					rc.sendChange(i%2, rc.newChanges(false, false)[0], 3, true)
				}
			})
		}
		all.Wait()
	}
	if rc.seed%3 == 0 {
		for _, node := range rc.cluster.Controls {
			node.Kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, node := range rc.cluster.Controls {
			node.mustStart()
		}
		time.Sleep(3 * time.Second)
	}
	var all sync.WaitGroup
	for i := range 2 * workersPerOperator {
		all.Go(func() {
			for k := i; k < len(changes); k += 2 * workersPerOperator {
				if changes[k].firstSent > 0 {
					rc.sendChange(i%2, changes[k], 3, true)
				}
			}
		})
	}
	all.Wait()
}

// Histories of all operators' calls, drawn by seeds, while harms come and go; -args -histories 10000 -from 1 plays as many,
// and -show writes down those that no model allows.
func TestHistories(t *testing.T) {
	var mu sync.Mutex
	counts, faults, injected := map[string]int{}, map[string][]int{}, map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := *firstSeed; seed < *firstSeed+historyCount(); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				hist := playHistory(t, seed)
				mu.Lock()
				defer mu.Unlock()
				for _, ch := range hist.changes {
					if ch.firstSent > 0 {
						counts[cmp.Or(map[int]string{0: "unclear", 200: "confirmed", 409: "refused"}[ch.status], "other")]++
					}
					counts["sent again"] += len(ch.repeats)
				}
				counts["readings"] += len(hist.reads)
				counts["evacuation calls"] += len(hist.evacuations)
				counts["rollout calls"] += len(hist.rollouts)
				for _, fault := range hist.faults {
					injected[fault[:strings.LastIndexByte(fault, ' ')]]++
				}
				for _, kind := range slices.Sorted(maps.Keys(hist.violations)) {
					faults[kind] = append(faults[kind], seed)
					t.Errorf("%s (%d times): %s; %v", kind, len(hist.violations[kind]), hist.violations[kind][0], strings.Join(hist.faults, ", "))
				}
			})
		}
	})
	t.Log("calls", counts)
	t.Log("harms", injected)
	for _, kind := range slices.Sorted(maps.Keys(faults)) {
		slices.Sort(faults[kind])
		t.Logf("%s: %d histories, seeds %v", kind, len(faults[kind]), faults[kind][:min(20, len(faults[kind]))])
	}
}
