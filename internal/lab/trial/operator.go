package trial

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"portflow/internal/client"
)

// operator changes its own items, one call at a time.
type operator struct {
	*operatorGroup
	index        int
	rng          *rand.Rand
	items        map[Key]Item  // last sent version of each item, dropped ones included
	last         []Item        // items of the last call
	sent         [][]Item      // a random sample of the items of earlier calls, at most maxSampledCalls
	calls        int           // number of calls that sent was sampled from
	bulkPresent  bool          // the last bulk call added the routes
	bulkNumber   int           // number of times that the bulk routes were added; each time they have new names
	unanswered   [][]Item      // items of calls whose result is unknown
	clientRoutes []clientRoute // routes with traffic that it changes
}

// sendInitial sends the initial configuration in one call.
func (o *operator) sendInitial(ctx context.Context) error {
	var all []Item
	for _, s := range slices.Concat(services, transientServices) {
		all = append(all, o.item("services", s, serviceItem(s, o.rng)))
	}
	for _, r := range clientRoutes() {
		all = append(all, o.item("routes", r.name, r.routeItem(o.rng)))
	}
	all = append(all, o.item("limits", "limits", limitsItem(o.rng)))
	return o.submit(ctx, changeInitial, all)
}

// run sends changes until ctx is done, each after the previous response. It first resends, unchanged, the calls of the previous run
// whose result is unknown.
func (o *operator) run(ctx context.Context) {
	again := o.unanswered
	o.unanswered = nil
	for _, items := range again {
		o.send(ctx, changeUnanswered, items...)
	}
	for ctx.Err() == nil {
		o.sendChange(ctx)
	}
}

// send calls submit and ignores the error, since operatorGroup.call records and checks the result.
func (o *operator) send(ctx context.Context, kind changeKind, items ...Item) {
	_ = o.submit(ctx, kind, items)
}

// submit makes one call, and records its items unless it repeats an earlier call.
func (o *operator) submit(ctx context.Context, kind changeKind, items []Item) error {
	err := o.call(ctx, kind, items, o.rng.IntN(zones))
	if errors.Is(err, client.ErrNoAnswer) {
		o.unanswered = append(o.unanswered, items)
	}
	if kind == changeAgain || kind == changeOlder || kind == changeUnanswered {
		return err
	}
	o.sample(o.last)
	o.last = items
	for _, i := range items {
		o.items[i.Key] = i
	}
	return err
}

// maxSampledCalls is the number of earlier calls that an operator keeps to send them again.
const maxSampledCalls = 200

// sample adds a call to the sample of earlier calls, in which each call is with the same probability.
func (o *operator) sample(items []Item) {
	if items == nil {
		return
	}
	o.calls++
	if len(o.sent) < maxSampledCalls {
		o.sent = append(o.sent, items)
	} else if n := o.rng.IntN(o.calls); n < maxSampledCalls {
		o.sent[n] = items
	}
}

// item returns an item with the given fields and a new version; nil fields drop the item.
func (o *operator) item(kind, name string, fields map[string]any) Item {
	i := Item{Key: Key{kind, name}, Version: o.version.Add(uint64(1 + o.rng.IntN(4)))}
	if fields == nil {
		i.Dropped = true
	} else {
		i.Fields = canonical(fields)
	}
	return i
}
