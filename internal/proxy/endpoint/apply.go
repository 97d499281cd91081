package endpoint

import (
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/update"
)

// Changes is what a batch of news touched.
type Changes struct {
	Routing, Proxies bool
	Services         map[string]bool // whose hosts, or the choice among them, changed
}

// note notes what an item that changed, came or went changes.
func (c *Changes) note(b *Table, k config.Key) {
	switch k.Kind {
	case config.KindRoutes, config.KindServices, config.KindQuotas, config.KindLimits:
		c.Routing = true
	case config.KindEvacuations:
		for _, h := range b.Instances {
			c.Services[h.Service] = true
		}
	case config.KindRollouts, config.KindStableVersions:
		c.Services[k.Name] = true
	}
}

// applyItems takes a batch's items in, in their order. A snapshot takes the place of all that the board has, so that what was
// dropped and forgotten while this router was away goes; changes take the place of what stood. What is of an earlier mark
// than the board's is passed over: the board has it, or what came after. Items without a mark are merged one by one.
func (t *Table) applyItems(c *Changes, notes []update.Change, snapshot bool, at Position) {
	var all []config.Item
	old := at != Position{} && at.Before(t.position)
	for _, n := range notes {
		if n.Item == nil {
			continue
		}
		all = append(all, *n.Item)
		if k := n.Item.Key(); k.Kind == config.KindRollouts && n.RolloutStartedAt != 0 && !old {
			if r := rollout.FromItem(*n.Item); r.Number != t.rolloutStarts[k.Name].Number {
				t.rolloutStarts[k.Name] = update.RolloutStart{Service: k.Name, Number: r.Number, StartedAt: n.RolloutStartedAt}
			}
		}
	}
	defer t.Set.TakeEvicted() // a router has no disk from which they are to go
	switch {
	case at == Position{}:
		for _, i := range all {
			if t.Set.Merge(i) {
				c.note(t, i.Key())
			}
		}
	case old:
	case snapshot:
		changed, gone := t.Set.ReplaceAll(all)
		for _, i := range changed {
			c.note(t, i.Key())
		}
		for _, k := range gone {
			c.note(t, k)
		}
		t.position = at
	default:
		t.Set.Apply(all)
		for _, i := range all {
			c.note(t, i.Key())
		}
		t.position = at
	}
}

// Apply takes news without a mark in.
func (t *Table) Apply(notes []update.Change, snapshot bool) Changes {
	return t.ApplyAt(Position{}, notes, snapshot)
}

// ApplyAt takes news in; at is where its last change stands. After a snapshot, hosts and routers that it doesn't name are
// missing or gone: they ended while this router followed nobody. A host may also be one of which this control process hasn't heard
// yet, as the former one had: it is missing until it is named, whatever its beats are then.
func (t *Table) ApplyAt(at Position, notes []update.Change, snapshot bool) Changes {
	c := Changes{Services: map[string]bool{}}
	t.applyItems(&c, notes, snapshot, at)
	named := map[string]bool{}
	for _, n := range notes {
		switch {
		case n.Instance != nil:
			h := *n.Instance
			named[h.ID] = true
			old, known := t.Instances[h.ID]
			if t.missing[h.ID] {
				delete(t.missing, h.ID)
				c.Services[old.Service] = true
			}
			if known && !instance.Supersedes(h, old) {
				continue
			}
			if h.Service == "" {
				h.Service = old.Service
			}
			if h.State == instance.Gone && !known {
				continue
			}
			t.put(old, h)
			c.Services[h.Service] = true
		case n.Ejection != nil:
			if j := *n.Ejection; j.Supersedes(t.Ejections[j.ID]) {
				t.Ejections[j.ID] = j
				delete(t.onProbation, j.ID)
				c.Services[j.Service] = true
			}
		case n.Proxy != nil:
			f := *n.Proxy
			named["front "+f.Name] = true
			if old, known := t.proxies[f.Name]; !known || f.Supersedes(old) {
				t.proxies[f.Name] = f
				c.Proxies = c.Proxies || !known || listedFields(f) != listedFields(old)
			}
		}
	}
	if snapshot {
		for id, h := range t.Instances {
			if !named[id] && !t.missing[id] {
				t.missing[id] = true
				c.Services[h.Service] = true
			}
		}
		for name := range t.proxies {
			if !named["front "+name] {
				delete(t.proxies, name)
				c.Proxies = true
			}
		}
	}
	return c
}
