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

var show = flag.Bool("show", false, "write a history down whose calls have no order that a model allows")

// toPlay is how many histories TestHistories plays: what -histories says, else under two minutes of a core's time, less with the
// race detector.
func toPlay() int {
	n := lo.Ternary(raced, 10, 240)
	flag.Visit(func(f *flag.Flag) {
		if f.Name == "histories" {
			n = *histories
		}
	})
	return n
}

const (
	settled   = 6 * time.Second // from the last harm's end on nothing that was left unclear changes any more
	workers   = 4               // of each operator: so many of its calls are under way at once
	mostSent  = 90              // orders of routes in one history, less those for hundreds of later changes
	termFor   = 6               // seconds of a rollout
	oneSecond = int64(time.Second)
	againFor  = 4 * oneSecond // an order for a rollout is sent again within this, and a call's time, of acknowledge-s
)

// order is a change of some routes, which is sent once or more often. Times are of the virtual day, nanoseconds.
type order struct {
	n      int
	items  []content
	began  int64 // the first time that it was sent, 0 for never
	ended  int64 // the first clear answer
	status int   // that answer: 200, 409, or what nobody should be told; 0 while it is unclear
	again  []answer
}

// answer is a later clear one.
type answer struct {
	call, ret int64
	status    int
}

// reading is one of the configuration that was answered with 200.
type reading struct {
	call, ret int64
	at        int
	seen      [routesN]int16
	versions  [routesN]uint64
}

// timed is a call of an evacuation or a rollout.
type timed struct {
	call, ret int64
	op        any
}

// record is what one history's operators saw.
type record struct {
	seed     int
	contents []content // by id, from 1
	rivals   int
	orders   []*order
	readings []reading
	evacs    []timed
	rolls    []timed
	votes    []int64 // when routers voted
	calm     int64   // when the last harm was over, and settled has passed
	harms    []string
	faults   map[string][]string
	forced   map[int16]string // contents that were in force at some router: where
}

func (r *record) fault(kind, format string, args ...any) {
	r.faults[kind] = append(r.faults[kind], fmt.Sprintf(format, args...))
}

// watch plays one history.
type watch struct {
	*record
	h       *Harbour
	mu      sync.Mutex // over the record, the chance and what follows
	draw    random.Source
	version uint64
	took    int // who confirmed an order last
	read    int // who was read last
	over    bool
	clients [2]*http.Client
	targets int
}

func (w *watch) n(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.draw.Next() * float64(n))
}

func (w *watch) done() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.over
}

func (w *watch) rest(from, to int) {
	time.Sleep(time.Duration(from+w.n(to-from)) * time.Millisecond)
}

func now() int64 { return time.Now().UnixNano() }

// call sends one call of an operator to one process.
func (w *watch) call(operator, at int, call, of string, body []byte) (status int, raw []byte) {
	status, raw, err := post(context.Background(), w.clients[operator], w.h.control(at), call, of, body)
	if err != nil {
		return 0, nil
	}
	return status, raw
}

// intern is the content with this prefix; the lock is held.
func (w *watch) intern(route int, version uint64, prefix string) content {
	for _, c := range w.contents[1:] {
		if c.route == route && c.version == version && c.prefix == prefix {
			return c
		}
	}
	c := content{id: int16(len(w.contents)), route: route, version: version, prefix: prefix, rivals: -1}
	w.contents = append(w.contents, c)
	return c
}

// order draws a change of one to three routes, and at times a rival: another of which one version at least has another content.
// Older ones lie under what was sent before.
func (w *watch) order(rival, older bool) []*order {
	w.mu.Lock()
	defer w.mu.Unlock()
	if rival && w.rivals+3 > rivalsN {
		rival = false
	}
	n := func(n int) int { return int(w.draw.Next() * float64(n)) }
	version := w.version + 2
	w.version = version
	if older { // the odd ones are for these
		below := version - min(version-1, uint64(2*n(8)+1))
		if !slices.ContainsFunc(w.contents, func(c content) bool { return c.version == below }) {
			version = below
		}
	}
	routes := []int{0, 1, 2, 3, 4}
	for i := range routes {
		j := i + n(len(routes)-i)
		routes[i], routes[j] = routes[j], routes[i]
	}
	many := 1 + max(0, n(5)-2)
	all := []*order{{n: len(w.orders)}}
	for _, r := range routes[:many] {
		prefix := fmt.Sprintf("/r%d-%x-%d/", r, version, len(w.orders))
		if n(8) == 0 {
			prefix = ""
		}
		all[0].items = append(all[0].items, w.intern(r, version, prefix))
	}
	if rival {
		other := &order{n: len(w.orders) + 1}
		first := n(many) // one of these at least is in both
		for i, r := range routes[first:min(routesN, first+1+n(3))] {
			prefix := fmt.Sprintf("/r%d-%x-%d/", r, version, other.n)
			if first+i < many && n(6) == 0 && all[0].items[first+i].prefix != "" {
				prefix = ""
			}
			other.items = append(other.items, w.intern(r, version, prefix))
			if first+i >= many {
				continue // the rival's alone
			}
			one, two := &all[0].items[first+i], &other.items[i]
			one.rivals, two.rivals = w.rivals, w.rivals
			w.contents[one.id].rivals, w.contents[two.id].rivals = w.rivals, w.rivals
			w.rivals++
		}
		all = append(all, other)
	}
	w.orders = append(w.orders, all...)
	return all
}

// body is a change as it is sent; it says the same whatever the order of its columns and rows.
func body(items []content, turn int) []byte {
	columns := []string{"name", "host-name", "path-prefix", "route-kind", "timeout-s", "target-s", "priority-level", "service",
		"maximum-attempts", "version"}
	rows, drops := [][]any{}, []any{}
	for i := range items {
		c := items[(i+turn)%len(items)]
		name := fmt.Sprint("r", c.route)
		if c.prefix == "" {
			drops = append(drops, map[string]any{"name": name, "version": config.FormatVersion(c.version)})
			continue
		}
		rows = append(rows, []any{name, "desk.example", c.prefix, "safe_method", 2, 0.8, 1, "desk", 2, config.FormatVersion(c.version)})
	}
	k := turn % len(columns)
	columns = append(slices.Clone(columns[k:]), columns[:k]...)
	for i, row := range rows {
		rows[i] = append(slices.Clone(row[k:]), row[:k]...)
	}
	raw, _ := json.Marshal(map[string]any{"set-items": map[string]any{"routes": map[string]any{"table-columns": columns, "table-rows": rows}},
		"drop-names": map[string]any{"routes": drops}})
	return raw
}

// send sends an order, to one process after the other so many times, until there is a clear answer.
func (w *watch) send(operator int, o *order, tries int, calm bool) {
	raw, at := body(o.items, w.n(10)), w.n(len(w.h.Masters))
	for range tries {
		called := now()
		w.mu.Lock()
		if o.began == 0 {
			o.began = called
		}
		w.mu.Unlock()
		status, answered := w.call(operator, at, "configuration.modify", "", raw)
		if status != 0 && status/100 != 5 {
			w.mu.Lock()
			defer w.mu.Unlock()
			if o.status == 0 {
				o.status, o.ended = status, now()
			} else {
				o.again = append(o.again, answer{called, now(), status})
			}
			switch status {
			case 200:
				w.took = at
			case 409:
				w.refused(o, answered)
			default:
				w.fault("refused without cause", "order %d got %d: %s", o.n, status, answered)
			}
			return
		}
		at = (at + 1) % len(w.h.Masters)
		time.Sleep(50 * time.Millisecond)
	}
	if calm {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.fault("unanswered in a calm", "order %d", o.n)
	}
}

// refused holds a 409 against what it must say: its kind, the route and the content that stands; the lock is held.
func (w *watch) refused(o *order, raw []byte) {
	var said struct{ Error string }
	json.Unmarshal(raw, &said)
	if said.Error != "conflict" {
		w.fault("409 of another kind", "order %d: %s", o.n, raw)
		return
	}
	for _, c := range o.items {
		for _, x := range w.contents[1:] {
			rival := x.version == c.version && x.id != c.id
			later := x.version > c.version // the rival was passed since: then what stands now is named
			named := x.prefix == "" && strings.Contains(string(raw), "dropped") || x.prefix != "" && strings.Contains(string(raw), x.prefix)
			if x.route == c.route && (rival || later) && named && strings.Contains(string(raw), fmt.Sprint("r", c.route)) {
				return
			}
		}
	}
	w.fault("409 doesn't say what stands", "order %d: %s", o.n, raw)
}

// look reads the configuration at one process; ok tells whether it answered.
func (w *watch) look(operator, at int) (r reading, ok bool) {
	r = reading{call: now(), at: at}
	status, raw := w.call(operator, at, "configuration.read", "", nil)
	r.ret = now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if status != 200 {
		if status != 0 && status != 503 {
			w.fault("refused without cause", "reading got %d: %s", status, raw)
		}
		return r, false
	}
	w.read = at
	items, err := config.ParseChange([]byte(`{"set-items":` + string(raw) + `}`))
	if err != nil {
		w.fault("unreadable", "%v: %s", err, raw)
		return r, false
	}
	for _, i := range items {
		var route int
		if _, err := fmt.Sscanf(i.Name, "r%d", &route); i.Kind != config.KindRoutes || err != nil || route >= routesN {
			continue
		}
		prefix, _ := i.Tree()["path-prefix"].(string)
		at := slices.IndexFunc(w.contents, func(c content) bool {
			return c.id > 0 && c.route == route && c.version == i.Version && c.prefix == prefix
		})
		if at < 0 {
			w.fault("never sent", "%s %d %s", i.Name, i.Version, prefix)
			continue
		}
		r.seen[route], r.versions[route] = int16(at), i.Version
	}
	w.readings = append(w.readings, r)
	return r, true
}

// work is one of an operator's hands, for as long as the history lasts.
func (w *watch) work(operator int, all *sync.WaitGroup) {
	for !w.done() {
		w.rest(150, 1500)
		w.mu.Lock()
		sent := len(w.orders)
		w.mu.Unlock()
		switch k := w.n(10); {
		case k < 5 && sent < mostSent:
			pair := w.order(w.n(3) == 0, w.n(6) == 0)
			if len(pair) > 1 {
				tries := 1 + w.n(4)
				all.Go(func() {
					time.Sleep(time.Duration(w.n(3)*w.n(120)) * time.Millisecond)
					w.send(1-operator, pair[1], tries, false)
				})
			}
			w.send(operator, pair[0], 1+w.n(4), false)
			if w.n(2) == 0 { // at once at another
				w.look(operator, w.n(len(w.h.Masters)))
			}
		case k < 7 && sent > 0:
			w.mu.Lock()
			o := w.orders[int(w.draw.Next()*float64(sent))]
			w.mu.Unlock()
			if o.began > 0 {
				w.send(operator, o, 1+w.n(3), false)
			}
		default:
			w.look(operator, w.n(len(w.h.Masters)))
		}
	}
}

// evacuate begins and ends the evacuation of z0, and looks at several processes.
func (w *watch) evacuate() {
	for !w.done() {
		w.rest(400, 2500)
		var both sync.WaitGroup
		for operator := range 1 + max(0, w.n(4)-2) { // one, or two at once
			begun := w.n(2) == 0
			tries := 1 + w.n(2)
			both.Go(func() {
				at := w.n(len(w.h.Masters))
				for range tries {
					if w.evac(operator, at, begun) {
						return
					}
					at = (at + 1) % len(w.h.Masters)
				}
			})
		}
		both.Wait()
		for range 1 + w.n(2) {
			w.survey(0, w.n(len(w.h.Masters)))
		}
	}
}

// evac sends one order, and tells whether it was confirmed.
func (w *watch) evac(operator, at int, begun bool) bool {
	call := now()
	status, raw := w.call(operator, at, lo.Ternary(begun, "evacuation.begin", "evacuation.finish"), "z0", nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	if status/100 == 4 {
		w.fault("refused without cause", "evacuation got %d: %s", status, raw)
	}
	w.evacs = append(w.evacs, timed{call, lo.Ternary(status == 200, now(), never), evacOp{begun: begun, status: status}})
	return status == 200
}

// survey asks one process who is in the harbour, and takes it by its word where it says that it is in touch.
func (w *watch) survey(operator, at int) {
	call := now()
	status, raw := w.call(operator, at, "harbour.read", "", nil)
	var s struct {
		Standing  string
		Evacuated []string
	}
	if status != 200 || json.Unmarshal(raw, &s) != nil || s.Standing != "in touch" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacs = append(w.evacs, timed{call, now(), evacOp{read: true, begun: slices.Contains(s.Evacuated, "z0")}})
}

// voyages begins rollouts, two targets at once or one twice, looks at several processes, and has routers vote.
func (w *watch) voyages() {
	last, lastAt, taken := "", int64(0), false // the first target of the voyage before
	for !w.done() {
		w.rest(300, 1500)
		w.mu.Lock()
		w.targets++
		n := w.targets
		w.mu.Unlock()
		first := fmt.Sprint("a", n)
		second := lo.Ternary(w.n(3) == 0, first, fmt.Sprint("b", n))
		var both sync.WaitGroup
		began, status := now(), 0
		both.Go(func() { status = w.begin(0, first, 1+w.n(3)) })
		if w.n(4) > 0 {
			both.Go(func() {
				time.Sleep(time.Duration(w.n(2)*w.n(300)) * time.Millisecond)
				w.begin(1, second, 1+w.n(3))
			})
		}
		both.Wait()
		if taken && w.n(2) == 0 && now()-lastAt < termFor*oneSecond+againFor && now()-began < againFor {
			w.beginAgain(last)
		}
		last, lastAt, taken = first, began, status == 200
		if w.n(2) == 0 {
			w.begin(w.n(2), first, 1) // again
		}
		quiet := w.n(2) == 0
		for k := range 26 {
			if w.done() {
				return
			}
			w.rest(150, 350)
			if k >= 6 && !quiet {
				w.vote()
			}
			if w.rollout(w.n(2), w.n(len(w.h.Masters))) && w.n(2) == 0 {
				break
			}
		}
	}
}

// vote has the routers vote this way and that on what may be the order that runs.
func (w *watch) vote() {
	w.mu.Lock()
	seen := map[string]bool{}
	for _, t := range w.rolls {
		if op := t.op.(rollOp); op.target != "" && (op.read || op.status == 200) {
			seen[op.target] = true
		}
	}
	w.votes = append(w.votes, now())
	w.mu.Unlock()
	for _, f := range w.h.Fairways {
		p := update.Vote{Service: "desk", Number: uint64(len(seen)), Verdict: uint8(lo.Ternary(w.n(3) == 0, decision.Back, decision.On))}
		w.h.mu.Lock()
		running := f.Running
		w.h.mu.Unlock()
		running.SendVote(p)
	}
}

// begin sends one order for a rollout, to one process after the other, until there is a clear answer; it is one call in the
// history, as a target is begun once. It gives that answer's status, 0 for none.
func (w *watch) begin(operator int, target string, tries int) int {
	at := w.n(len(w.h.Masters))
	op := rollOp{target: target, call: now(), ret: never}
	for range tries {
		status, raw := w.call(operator, at, "rollouts.begin", "", fmt.Appendf(nil, `{"service":"desk","target-version":%q,"duration-s":%d}`, target, termFor))
		if status == 200 || status == 409 {
			op.status, op.ret = status, now()
			break
		}
		if status/100 == 4 {
			w.mu.Lock()
			w.fault("refused without cause", "rollout got %d: %s", status, raw)
			w.mu.Unlock()
		}
		at = (at + 1) % len(w.h.Masters)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rolls = append(w.rolls, timed{op.call, op.ret, op})
	return op.status
}

// beginAgain sends an order for a rollout again that was confirmed, while another may run since: it is never refused, and it is no
// new order, so the history doesn't have it.
func (w *watch) beginAgain(target string) {
	at := w.n(len(w.h.Masters))
	status, raw := w.call(w.n(2), at, "rollouts.begin", "", fmt.Appendf(nil, `{"service":"desk","target-version":%q,"duration-s":%d}`, target, termFor))
	if status/100 == 4 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.fault("refused though it was taken", "rollout to %s got %d: %s", target, status, raw)
	}
}

// rollout looks at one process how the rollout is, and tells whether it has ended.
func (w *watch) rollout(operator, at int) (ended bool) {
	call := now()
	status, raw := w.call(operator, at, "rollouts.read", "desk", nil)
	var v map[string]string
	op := rollOp{read: true, phase: "none", call: call, ret: now()}
	switch {
	case status == 200 && json.Unmarshal(raw, &v) == nil:
		op.target, op.phase = v["target-version"], v["server-state"]
	case status != 404:
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rolls = append(w.rolls, timed{call, op.ret, op})
	return op.phase != "running" && op.phase != "none"
}

// routers looks at all routers ten times a second: none goes back, and none has an order of several routes in part.
func (w *watch) routers(stop chan bool, p *http.Client) {
	seen := map[*proxy.Proxy]map[string]uint64{}
	asked := map[string]int{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, f := range w.h.Fairways {
			w.h.mu.Lock()
			running, up := f.Running, f.cancel != nil
			w.h.mu.Unlock()
			if !up {
				continue
			}
			versions := running.RouteVersions()
			w.mu.Lock()
			old := seen[running]
			for name, v := range old {
				if versions[name] < v {
					w.fault("a router went back", "%s: %s from %d to %d", f.Boot.Name, name, v, versions[name])
				}
			}
			seen[running] = versions
			for _, o := range w.orders {
				if at := slices.IndexFunc(o.items, func(c content) bool { return c.rivals < 0 && versions[fmt.Sprint("r", c.route)] == c.version }); at >= 0 {
					for _, c := range o.items {
						if versions[fmt.Sprint("r", c.route)] < c.version {
							w.fault("in part at a router", "order %d at %s: r%d is at %d", o.n, f.Boot.Name, c.route, versions[fmt.Sprint("r", c.route)])
						}
					}
				}
			}
			var ask []content
			for _, c := range w.contents[1:] {
				if c.rivals >= 0 && c.prefix != "" && versions[fmt.Sprint("r", c.route)] == c.version {
					k := fmt.Sprint(f.Boot.Name, c.id)
					if asked[k]++; asked[k] == 1 || asked[k] == 12 {
						ask = append(ask, c)
					}
				}
			}
			w.mu.Unlock()
			for _, c := range ask {
				if !w.probe(p, f, c) { // it is asked again at the next look
					w.mu.Lock()
					asked[fmt.Sprint(f.Boot.Name, c.id)]--
					w.mu.Unlock()
				}
			}
		}
	}
}

// probe asks a router for what lies under a content's prefix, and tells whether the answer is clear: 404 says that it isn't in
// force there, 503 nothing, as a router that has just started says that of all.
func (w *watch) probe(p *http.Client, f *Fairway, c content) bool {
	req, _ := http.NewRequest("GET", "http://"+f.Boot.ListenAddresses["front"]+c.prefix+"x", nil)
	req.Host = "desk.example"
	req.Header.Set("Attempt-Id", "safe-probe")
	resp, err := p.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	if resp.StatusCode == 404 || resp.StatusCode == 503 {
		return resp.StatusCode == 404
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forced[c.id] = f.Boot.Name
	return true
}

// agree has all processes read and all routers looked at, which must all say the same.
func (w *watch) agree(when string) (all reading) {
	for at := range w.h.Masters {
		r, ok := w.look(0, at)
		if !ok {
			r, ok = w.look(1, at)
		}
		w.mu.Lock()
		switch {
		case !ok:
			w.fault("unanswered in a calm", "%s: reading at %d", when, at)
		case at > 0 && r.seen != all.seen && all.ret > 0:
			w.fault("processes disagree", "%s: %v at %d, %v at %d", when, all.seen, all.at, r.seen, at)
		default:
			all = r
		}
		w.mu.Unlock()
	}
	for _, f := range w.h.Fairways {
		versions := f.Running.RouteVersions()
		w.mu.Lock()
		for r, id := range all.seen {
			v, c := versions[fmt.Sprint("r", r)], w.contents[id]
			if id > 0 && v != c.version || id == 0 && v > 0 && !slices.ContainsFunc(w.contents[1:], func(c content) bool {
				return c.route == r && c.version == v && c.prefix == ""
			}) {
				w.fault("a router disagrees", "%s: %s has r%d at %d, the core at %d", when, f.Boot.Name, r, v, c.version)
			}
		}
		w.mu.Unlock()
	}
	return all
}

// play plays one history and gives what was seen.
func play(t *testing.T, seed int) *record {
	w := &watch{record: &record{seed: seed, contents: []content{{rivals: -1}}, faults: map[string][]string{}, forced: map[int16]string{}},
		draw: random.Source{Seed: uint64(seed) * 7919}}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := Layout{Zones: lo.Ternary(seed%5 == 0, 3, 6), Routers: 1, Services: []string{"desk"}, Seed: uint64(seed), Apart: seed%4 == 1}
		h := New(l)
		h.Fairways = h.Fairways[:3]
		w.h = h
		c.Assert(h.Start(), qt.IsNil)
		defer h.Stop()
		for i := range w.clients {
			w.clients[i] = h.client(h.Sea.Process(operatorIP(i)), time.Second)
			defer w.clients[i].CloseIdleConnections()
		}
		probes := h.client(h.Sea.Process("10.200.0.13"), time.Second)
		defer probes.CloseIdleConnections()
		time.Sleep(2 * time.Second)
		configure(c, h, h.Configure(true), 0)
		var all, looks sync.WaitGroup
		stop := make(chan bool)
		looks.Go(func() { w.routers(stop, probes) })
		for i := range 2 * workers {
			all.Go(func() { w.work(i%2, &all) })
		}
		all.Go(w.evacuate)
		all.Go(w.voyages)
		w.trouble()
		w.mu.Lock()
		w.over = true
		w.mu.Unlock()
		all.Wait()
		time.Sleep(settled)
		w.calm = now()
		before := w.agree("settled")
		time.Sleep(2 * time.Second)
		if after := w.agree("later"); after.seen != before.seen {
			w.fault("changed in a calm", "%v, then %v", before.seen, after.seen)
		}
		w.afterwards()
		time.Sleep(time.Second)
		w.agree("at the end")
		for at := range h.Masters {
			w.survey(0, at)
			w.rollout(0, at)
		}
		close(stop)
		looks.Wait()
	})
	w.check()
	return w.record
}

func operatorIP(i int) string { return fmt.Sprintf("10.200.0.%d", 11+i) }

// afterwards sends all orders again, some after hundreds of later changes, some after all processes were restarted.
func (w *watch) afterwards() {
	w.mu.Lock()
	orders := slices.Clone(w.orders)
	w.mu.Unlock()
	if w.seed%16 == 5 {
		var all sync.WaitGroup
		for i := range 2 * workers {
			all.Go(func() {
				for range 30 {
					w.send(i%2, w.order(false, false)[0], 3, true)
				}
			})
		}
		all.Wait()
	}
	if w.seed%3 == 0 {
		for _, m := range w.h.Masters {
			m.Kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range w.h.Masters {
			m.mustStart()
		}
		time.Sleep(3 * time.Second)
	}
	var all sync.WaitGroup
	for i := range 2 * workers {
		all.Go(func() {
			for k := i; k < len(orders); k += 2 * workers {
				if orders[k].began > 0 {
					w.send(i%2, orders[k], 3, true)
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
	counts, faults, harms := map[string]int{}, map[string][]int{}, map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := *from; seed < *from+toPlay(); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				r := play(t, seed)
				mu.Lock()
				defer mu.Unlock()
				for _, o := range r.orders {
					if o.began > 0 {
						counts[cmp.Or(map[int]string{0: "unclear", 200: "confirmed", 409: "refused"}[o.status], "other")]++
					}
					counts["sent again"] += len(o.again)
				}
				counts["readings"] += len(r.readings)
				counts["evacuation calls"] += len(r.evacs)
				counts["rollout calls"] += len(r.rolls)
				for _, what := range r.harms {
					harms[what[:strings.LastIndexByte(what, ' ')]]++
				}
				for _, kind := range slices.Sorted(maps.Keys(r.faults)) {
					faults[kind] = append(faults[kind], seed)
					t.Errorf("%s (%d times): %s; %v", kind, len(r.faults[kind]), r.faults[kind][0], strings.Join(r.harms, ", "))
				}
			})
		}
	})
	t.Log("calls", counts)
	t.Log("harms", harms)
	for _, kind := range slices.Sorted(maps.Keys(faults)) {
		slices.Sort(faults[kind])
		t.Logf("%s: %d histories, seeds %v", kind, len(faults[kind]), faults[kind][:min(20, len(faults[kind]))])
	}
}
