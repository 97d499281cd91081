package trial

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// changeKind classifies calls of configuration.modify. Its values are keys of the report.
type changeKind string

const (
	changeInitial    changeKind = "first"
	changeRoute      changeKind = "route retargeted, split or timed anew"
	changeDrop       changeKind = "route in use dropped and added"
	changeIdle       changeKind = "idle route added or dropped"
	changeLimits     changeKind = "limits"
	changeService    changeKind = "service's limits"
	changeTransient  changeKind = "service and route dropped and added"
	changeBulk       changeKind = "800 routes"
	changeRace       changeKind = "race of two operators"
	changeAgain      changeKind = "the same sent again"
	changeOlder      changeKind = "an older one sent again"
	changeUnanswered changeKind = "one without a clear answer sent again"
)

// changeWeights are the relative frequencies of the kinds.
var changeWeights = []weighted[changeKind]{
	{changeRoute, 40},
	{changeDrop, 8},
	{changeIdle, 12},
	{changeLimits, 10},
	{changeService, 10},
	{changeTransient, 6},
	{changeBulk, 1},
	{changeRace, 6},
	{changeAgain, 5},
	{changeOlder, 6},
}

const (
	idleRoutes     = 20  // number of idle routes per operator
	maxPauseMillis = 60  // longest pause between dropping an item in use and adding it again
	raceTimeout    = 7.5 // timeout in seconds that idleRoute never returns, so that the two contents of a race differ
)

// sendChange sends one random change.
func (o *operator) sendChange(ctx context.Context) {
	kind := drawWeighted(o.rng, changeWeights)
	r := o.clientRoutes[o.rng.IntN(len(o.clientRoutes))]
	switch kind {
	case changeRoute:
		o.sendRoute(ctx, r)
	case changeDrop:
		o.recreateRoute(ctx, r)
	case changeIdle:
		o.toggleIdleRoute(ctx)
	case changeLimits:
		if o.index == 0 { // the limits are a single item, owned by the first operator
			o.send(ctx, kind, o.item("limits", "limits", limitsItem(o.rng)))
		}
	case changeService:
		name := services[o.index]
		o.send(ctx, kind, o.item("services", name, serviceItem(name, o.rng)))
	case changeTransient:
		o.recreateService(ctx)
	case changeBulk:
		o.toggleBulk(ctx)
	case changeRace:
		o.sendRace(ctx)
	case changeAgain:
		if o.last != nil {
			o.send(ctx, kind, o.last...)
		}
	case changeOlder:
		if len(o.sent) > 0 {
			o.send(ctx, kind, o.sent[o.rng.IntN(len(o.sent))]...)
		}
	}
}

// pause waits for a random time, so that some requests run under the current configuration.
func (o *operator) pause(ctx context.Context) {
	wait(ctx, time.Duration(o.rng.IntN(maxPauseMillis))*time.Millisecond)
}

// sendRoute changes r or, if r is transient, another random route that is not.
func (o *operator) sendRoute(ctx context.Context, r clientRoute) {
	for r.transient {
		r = o.clientRoutes[o.rng.IntN(len(o.clientRoutes))]
	}
	o.send(ctx, changeRoute, o.item("routes", r.name, r.routeItem(o.rng)))
}

// recreateRoute drops a route in use and adds it again.
func (o *operator) recreateRoute(ctx context.Context, r clientRoute) {
	o.send(ctx, changeDrop, o.item("routes", r.name, nil))
	o.pause(ctx)
	o.send(ctx, changeDrop, o.item("routes", r.name, r.routeItem(o.rng)))
}

// toggleIdleRoute adds a route that no client uses, or drops it if it exists.
func (o *operator) toggleIdleRoute(ctx context.Context) {
	name := fmt.Sprintf("idle-%d-%d", o.index, o.rng.IntN(idleRoutes))
	fields := idleRoute(name, o.rng)
	if i, sent := o.items[Key{"routes", name}]; sent && !i.Dropped {
		fields = nil
	}
	o.send(ctx, changeIdle, o.item("routes", name, fields))
}

// recreateService drops the operator's transient service together with its route, and adds both again.
func (o *operator) recreateService(ctx context.Context) {
	for _, r := range o.clientRoutes {
		if !r.transient {
			continue
		}
		o.send(ctx, changeTransient, o.item("routes", r.name, nil), o.item("services", r.service, nil))
		o.pause(ctx)
		service := o.item("services", r.service, serviceItem(r.service, o.rng))
		o.send(ctx, changeTransient, service, o.item("routes", r.name, r.routeItem(o.rng)))
		return
	}
}

// toggleBulk adds or drops bulkRoutes routes in one call. No names are used twice.
func (o *operator) toggleBulk(ctx context.Context) {
	if !o.bulkPresent {
		o.bulkNumber++
	}
	var all []Item
	for n := range bulkRoutes {
		name := fmt.Sprintf("bulk-%d-%d-%d", o.index, o.bulkNumber, n)
		fields := idleRoute(name, o.rng)
		if o.bulkPresent {
			fields = nil
		}
		all = append(all, o.item("routes", name, fields))
	}
	o.bulkPresent = !o.bulkPresent
	o.send(ctx, changeBulk, all...)
}

// dropNames adds routes with new names, bulkRoutes at a time, and drops them again.
func (o *operator) dropNames(ctx context.Context, names int) {
	for ; names > 0 && ctx.Err() == nil; names -= bulkRoutes {
		o.toggleBulk(ctx)
		o.toggleBulk(ctx)
	}
}

// sendRace concurrently sends two contents with the same version to two control processes, which may apply at most one of them.
func (o *operator) sendRace(ctx context.Context) {
	name := fmt.Sprintf("race-%d", o.index)
	one := o.item("routes", name, idleRoute(name, o.rng))
	fields := idleRoute(name, o.rng)
	fields["timeout-s"] = raceTimeout
	other := one
	other.Fields = canonical(fields)
	var both sync.WaitGroup
	first := o.rng.IntN(zones)
	for n, i := range []Item{one, other} {
		both.Go(func() {
			_ = o.call(ctx, changeRace, []Item{i}, first+n) // one of them is rejected; call records and checks both results
		})
	}
	both.Wait()
}
