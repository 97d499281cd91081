package simulation

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"portflow/internal/cluster/config"
)

// internContent returns the content with the given route, version and prefix, and adds it if it is new; rc.mu is held.
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

// newChanges returns a random change of one to three routes and, if conflicting is set, usually a second one that has another content
// under at least one of the same versions. If older is set, the version is lower than some that were used before.
func (rc *recorder) newChanges(conflicting, older bool) []*change {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if conflicting && rc.conflicts+3 > maxConflicts {
		conflicting = false
	}
	n := func(n int) int { return int(rc.rng.Float64() * float64(n)) }
	version := rc.version + 2
	rc.version = version
	if older { // odd versions are reserved for these
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
		first := n(count) // at least one of these routes is in both changes
		for i, r := range routes[first:min(routeCount, first+1+n(3))] {
			prefix := fmt.Sprintf("/r%d-%x-%d/", r, version, other.id)
			if first+i < count && n(6) == 0 && changes[0].items[first+i].prefix != "" {
				prefix = ""
			}
			other.items = append(other.items, rc.internContent(r, version, prefix))
			if first+i >= count {
				continue // only in the conflicting change
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

// changeBody returns the body of a change, with its columns and rows rotated, which must not change its meaning.
func changeBody(items []content, rotation int) []byte {
	columns := []string{"name", "host-name", "path-prefix", "route-kind", "timeout-s", "target-s", "priority-level", "service",
		"maximum-attempts", "version"}
	rows, removed := [][]any{}, []any{}
	for i := range items {
		c := items[(i+rotation)%len(items)]
		name := fmt.Sprint("r", c.route)
		if c.prefix == "" {
			removed = append(removed, map[string]any{"name": name, "version": config.FormatVersion(c.version)})
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
		"drop-names": map[string]any{"routes": removed}})
	return raw
}

// sendChange sends a change to one process after the other until there is a definite response or no attempt is left, which is a
// violation if settled is set.
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
				rc.violation("rejected without cause", "change %d got %d: %s", ch.id, status, answered)
			}
			return
		}
		index = (index + 1) % len(rc.cluster.Controls)
		time.Sleep(50 * time.Millisecond)
	}
	if settled {
		rc.mu.Lock()
		defer rc.mu.Unlock()
		rc.violation("unanswered after settling", "change %d", ch.id)
	}
}

// checkConflict checks that a 409 has the error kind "conflict" and names the route and the content in force; rc.mu is held.
func (rc *recorder) checkConflict(ch *change, raw []byte) {
	var reply struct{ Error string }
	json.Unmarshal(raw, &reply)
	if reply.Error != "conflict" {
		rc.violation("409 with another error kind", "change %d: %s", ch.id, raw)
		return
	}
	for _, c := range ch.items {
		for _, other := range rc.contents[1:] {
			rival := other.version == c.version && other.id != c.id
			later := other.version > c.version // has replaced the rival since: the response then names the current content
			named := other.prefix == "" && strings.Contains(string(raw), "dropped") || other.prefix != "" && strings.Contains(string(raw), other.prefix)
			if other.route == c.route && (rival || later) && named && strings.Contains(string(raw), fmt.Sprint("r", c.route)) {
				return
			}
		}
	}
	rc.violation("409 without the content in force", "change %d: %s", ch.id, raw)
}

// readConfiguration reads and records the configuration of one process; ok reports whether the read succeeded.
func (rc *recorder) readConfiguration(operator, at int) (rd read, ok bool) {
	rd = read{calledAt: nowNanos(), control: at}
	status, raw := rc.callOne(operator, at, "configuration.read", "", nil)
	rd.returnedAt = nowNanos()
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if status != 200 {
		if status != 0 && status != 503 {
			rc.violation("rejected without cause", "read got %d: %s", status, raw)
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

// runWorker sends an operator's changes and reads, one call at a time, until the history ends. Conflicting changes are sent by
// goroutines added to pending.
func (rc *recorder) runWorker(operator int, pending *sync.WaitGroup) {
	for !rc.finished() {
		rc.sleepBetween(150, 1500)
		rc.mu.Lock()
		sent := len(rc.changes)
		rc.mu.Unlock()
		switch choice := rc.intn(10); {
		case choice < 5 && sent < maxChanges:
			pair := rc.newChanges(rc.intn(3) == 0, rc.intn(6) == 0)
			if len(pair) > 1 {
				attempts := 1 + rc.intn(4)
				pending.Go(func() {
					time.Sleep(time.Duration(rc.intn(3)*rc.intn(120)) * time.Millisecond)
					rc.sendChange(1-operator, pair[1], attempts, false)
				})
			}
			rc.sendChange(operator, pair[0], 1+rc.intn(4), false)
			if rc.intn(2) == 0 { // directly afterwards, possibly at another process
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

// resendAll sends all changes again; for some seeds hundreds of new changes or a restart of all processes come first.
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
