package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"portflow/internal/client"
)

// Kinds of changes.
const (
	changeRoute    = "route retargeted, split or timed anew"
	changeDrop     = "route in use dropped and added"
	changeIdle     = "idle route added or dropped"
	changeLimits   = "limits"
	changeService  = "service's limits"
	changeFleeting = "service and route dropped and added"
	changeBulk     = "800 routes"
	changeRace     = "race of two operators"
	changeAgain    = "the same sent again"
	changeOlder    = "an older one sent again"
	changeUnclear  = "one without a clear answer sent again"
)

// weights are how often each kind is drawn.
var weights = []struct {
	kind string
	of   int
}{{changeRoute, 40}, {changeDrop, 8}, {changeIdle, 12}, {changeLimits, 10}, {changeService, 10}, {changeFleeting, 6}, {changeBulk, 1},
	{changeRace, 6}, {changeAgain, 5}, {changeOlder, 3}}

// council is what operators share.
type council struct {
	rig     *rig
	version atomic.Uint64

	mu      sync.Mutex
	changes *Changes
	windows []Interval // from a call's sending until it must be in force everywhere
	counts  map[string]int
	results map[string]int
}

// operator changes the items that are its own, one call after another.
type operator struct {
	*council
	index   int
	rng     *rand.Rand
	own     map[Key]Item // as last sent, dropped ones too
	last    []Item       // the last call
	older   []Item       // the one that it replaced
	bulk    bool         // its 800 routes stand
	unclear [][]Item     // calls without a clear answer
	targets []target
}

// operators is how many there are.
const operators = 3

// callIn bounds one change, all its repetitions together.
const callIn = 20 * time.Second

func (c *council) newOperator(index int, rng *rand.Rand) *operator {
	o := &operator{council: c, index: index, rng: rng, own: map[Key]Item{}}
	for n, t := range targets() {
		if n%operators == index {
			o.targets = append(o.targets, t)
		}
	}
	return o
}

// item gives fields the next version.
func (o *operator) item(kind, name string, fields map[string]any) Item {
	i := Item{Key: Key{kind, name}, Version: o.version.Add(uint64(1 + o.rng.IntN(4)))}
	if fields == nil {
		i.Dropped = true
	} else {
		i.Fields = canonical(fields)
	}
	return i
}

// first sends all items.
func (o *operator) first(ctx context.Context) error {
	var all []Item
	for _, s := range append(append([]string(nil), services...), fleeting...) {
		all = append(all, o.item("services", s, serviceItem(s, o.rng)))
	}
	for _, t := range targets() {
		all = append(all, o.item("routes", t.name, t.routeItem(o.rng)))
	}
	all = append(all, o.item("limits", "limits", limitsItem(o.rng)))
	return o.send(ctx, "first", all)
}

// run sends changes as fast as they are taken. Those that had no clear answer before are sent again first, unchanged.
func (o *operator) run(ctx context.Context) {
	again := o.unclear
	o.unclear = nil
	for _, items := range again {
		o.send(ctx, changeUnclear, items)
	}
	for ctx.Err() == nil {
		o.change(ctx)
	}
}

// change draws one change and sends it.
func (o *operator) change(ctx context.Context) {
	kind := o.drawKind()
	t := o.targets[o.rng.IntN(len(o.targets))]
	switch kind {
	case changeRoute:
		for t.fleeting {
			t = o.targets[o.rng.IntN(len(o.targets))]
		}
		o.send(ctx, kind, []Item{o.item("routes", t.name, t.routeItem(o.rng))})
	case changeDrop:
		o.send(ctx, kind, []Item{o.item("routes", t.name, nil)})
		o.pause(ctx)
		o.send(ctx, kind, []Item{o.item("routes", t.name, t.routeItem(o.rng))})
	case changeIdle:
		name := fmt.Sprintf("idle-%d-%d", o.index, o.rng.IntN(20))
		fields := idleRoute(name, o.rng)
		if i, sent := o.own[Key{"routes", name}]; sent && !i.Dropped {
			fields = nil
		}
		o.send(ctx, kind, []Item{o.item("routes", name, fields)})
	case changeLimits:
		if o.index == 0 {
			o.send(ctx, kind, []Item{o.item("limits", "limits", limitsItem(o.rng))})
		}
	case changeService:
		name := services[o.index]
		o.send(ctx, kind, []Item{o.item("services", name, serviceItem(name, o.rng))})
	case changeFleeting:
		o.flee(ctx, kind)
	case changeBulk:
		o.bulkChange(ctx, kind)
	case changeRace:
		o.race(ctx, kind)
	case changeAgain:
		if o.last != nil {
			o.send(ctx, kind, o.last)
		}
	case changeOlder:
		if o.older != nil {
			o.send(ctx, kind, o.older)
		}
	}
}

func (o *operator) drawKind() string {
	sum := 0
	for _, w := range weights {
		sum += w.of
	}
	at := o.rng.IntN(sum)
	for _, w := range weights {
		if at -= w.of; at < 0 {
			return w.kind
		}
	}
	return changeRoute
}

// pause lets some requests meet what stands just now.
func (o *operator) pause(ctx context.Context) {
	select {
	case <-time.After(time.Duration(o.rng.IntN(60)) * time.Millisecond):
	case <-ctx.Done():
	}
}

// flee drops a service together with its route, and adds both again.
func (o *operator) flee(ctx context.Context, kind string) {
	for _, t := range o.targets {
		if t.fleeting {
			o.send(ctx, kind, []Item{o.item("routes", t.name, nil), o.item("services", t.service, nil)})
			o.pause(ctx)
			o.send(ctx, kind, []Item{o.item("services", t.service, serviceItem(t.service, o.rng)), o.item("routes", t.name, t.routeItem(o.rng))})
			return
		}
	}
}

// bulkChange adds or drops many routes in one call.
func (o *operator) bulkChange(ctx context.Context, kind string) {
	var all []Item
	for n := range bulkRoutes {
		name := fmt.Sprintf("bulk-%d-%d", o.index, n)
		fields := idleRoute(name, o.rng)
		if o.bulk {
			fields = nil
		}
		all = append(all, o.item("routes", name, fields))
	}
	o.bulk = !o.bulk
	o.send(ctx, kind, all)
}

// race sends two contents under one version to two control processes at once: one of them may hold.
func (o *operator) race(ctx context.Context, kind string) {
	name := fmt.Sprintf("race-%d", o.index)
	one := o.item("routes", name, idleRoute(name, o.rng))
	fields := idleRoute(name, o.rng)
	fields["timeout-s"] = 7.5
	other := one
	other.Fields = canonical(fields)
	var both sync.WaitGroup
	at := o.rng.IntN(zones)
	for n, i := range []Item{one, other} {
		both.Go(func() { o.call(ctx, kind, []Item{i}, at+n) })
	}
	both.Wait()
}

// send makes one call, and remembers it.
func (o *operator) send(ctx context.Context, kind string, items []Item) error {
	err := o.call(ctx, kind, items, o.rng.IntN(zones))
	if errors.Is(err, client.ErrNoAnswer) {
		o.unclear = append(o.unclear, items)
	}
	if kind == changeAgain || kind == changeOlder || kind == changeUnclear {
		return err
	}
	o.older, o.last = o.last, items
	for _, i := range items {
		o.own[i.Key] = i
	}
	return err
}

// call makes one call, to the control process of this number first, and notes what came of it.
func (c *council) call(ctx context.Context, kind string, items []Item, first int) error {
	all := controlAddresses()
	first %= len(all)
	p := client.Client{Addresses: append(append([]string(nil), all[first:]...), all[:first]...), HTTP: c.rig.http, Timeout: callIn}
	c.mu.Lock()
	c.changes.Sent(items)
	c.mu.Unlock()
	began := c.rig.clock.now()
	_, err := p.Call(ctx, "configuration.modify", "", encode(items))
	ended := c.rig.clock.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[kind]++
	c.windows = merge(c.windows, Interval{began, ended + terms.Configuration + time.Second})
	var refused *client.ResponseError
	switch {
	case err == nil:
		c.results["200"]++
		c.rig.violate(c.changes.Acknowledged(items)...)
	case errors.As(err, &refused) && !errors.Is(err, client.ErrNoAnswer):
		c.results[fmt.Sprint(refused.Status)]++
		c.changes.Refused(items)
		if kind != changeRace {
			c.rig.violate(Violation{"CONFIGURATION: a change was refused", fmt.Sprintf("%s: %v: %v", kind, refused, items[0])})
		}
	default:
		c.results["no clear answer"]++
	}
	return err
}

// merge adds an interval to a list of them; one that overlaps the last is joined with it.
func merge(all []Interval, i Interval) []Interval {
	if n := len(all) - 1; n >= 0 && i.From <= all[n].To {
		all[n].From, all[n].To = min(all[n].From, i.From), max(all[n].To, i.To)
		return all
	}
	return append(all, i)
}
