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

const (
	operatorCount = 3
	changeTimeout = 20 * time.Second // for one change, retries included
	windowSlack   = time.Second      // added to Terms.Configuration for the end of a change's window
)

// operatorGroup is the state that operators share: the version counter and the record of their changes.
type operatorGroup struct {
	rig     *rig
	version atomic.Uint64

	mu      sync.Mutex // guards the fields below
	changes *Changes
	windows []Interval         // from the start of a call until all proxies must apply it; overlapping ones are merged
	counts  map[changeKind]int // calls by kind
	results map[string]int     // calls by response status
}

func (g *operatorGroup) newOperator(index int, rng *rand.Rand) *operator {
	o := &operator{operatorGroup: g, index: index, rng: rng, items: map[Key]Item{}}
	for n, r := range clientRoutes() {
		if n%operatorCount == index {
			o.clientRoutes = append(o.clientRoutes, r)
		}
	}
	return o
}

// call makes one call, trying the control process with index first before the others, and records the result.
func (g *operatorGroup) call(ctx context.Context, kind changeKind, items []Item, first int) error {
	control := client.Client{Addresses: g.rig.layout.controlAddressesFrom(first), HTTP: g.rig.http, Timeout: changeTimeout}
	g.mu.Lock()
	g.changes.Sent(items)
	g.mu.Unlock()
	began := g.rig.clock.now()
	_, err := control.Call(ctx, "configuration.modify", "", encodeChange(items))
	ended := g.rig.clock.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts[kind]++
	g.windows = mergeInterval(g.windows, Interval{began, ended + terms.Configuration + windowSlack})
	g.recordResult(kind, items, err)
	return err
}

// recordResult counts and checks the result of a call. The caller holds g.mu.
func (g *operatorGroup) recordResult(kind changeKind, items []Item, err error) {
	var refused *client.ResponseError
	switch {
	case err == nil:
		g.results["200"]++
		g.rig.violate(g.changes.Acknowledged(items)...)
	case errors.As(err, &refused) && !errors.Is(err, client.ErrNoAnswer):
		g.results[fmt.Sprint(refused.Status)]++
		g.changes.Refused(items)
		if kind != changeRace {
			g.rig.violate(Violation{"CONFIGURATION: a change was rejected", fmt.Sprintf("%s: %v: %v", kind, refused, items[0])})
		}
	default:
		g.results["no clear answer"]++
	}
}

// mergeInterval appends an interval to a list, or merges it with the last one if it starts before that one ends.
func mergeInterval(all []Interval, i Interval) []Interval {
	last := len(all) - 1
	if last < 0 || i.From > all[last].To {
		return append(all, i)
	}
	all[last].From = min(all[last].From, i.From)
	all[last].To = max(all[last].To, i.To)
	return all
}
