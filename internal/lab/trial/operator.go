package trial

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"portflow/internal/client"
)

// operator changes the items that are its own, one call after another.
type operator struct {
	*operatorGroup
	index        int
	rng          *rand.Rand
	items        map[Key]Item  // as last sent, dropped ones too
	last         []Item        // the last call
	previous     []Item        // the call before it
	bulkPresent  bool          // its bulk routes are configured
	unanswered   [][]Item      // calls without a clear answer
	clientRoutes []clientRoute // its routes that clients use
}

// sendInitial sends all items.
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

// run sends changes as fast as they are answered. Those that had no clear answer before are sent again first, unchanged.
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

// send makes one call. Its error is dropped: the call's outcome is counted and judged by operatorGroup.call.
func (o *operator) send(ctx context.Context, kind changeKind, items ...Item) {
	_ = o.submit(ctx, kind, items)
}

// submit makes one call, and remembers it.
func (o *operator) submit(ctx context.Context, kind changeKind, items []Item) error {
	err := o.call(ctx, kind, items, o.rng.IntN(zones))
	if errors.Is(err, client.ErrNoAnswer) {
		o.unanswered = append(o.unanswered, items)
	}
	if kind == changeAgain || kind == changeOlder || kind == changeUnanswered {
		return err
	}
	o.previous, o.last = o.last, items
	for _, i := range items {
		o.items[i.Key] = i
	}
	return err
}

// item gives fields the next version; nil drops the item.
func (o *operator) item(kind, name string, fields map[string]any) Item {
	i := Item{Key: Key{kind, name}, Version: o.version.Add(uint64(1 + o.rng.IntN(4)))}
	if fields == nil {
		i.Dropped = true
	} else {
		i.Fields = canonical(fields)
	}
	return i
}
