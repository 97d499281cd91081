package endpoint

import (
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/update"
)

// Changes is what a batch of updates changed.
type Changes struct {
	Routing, Proxies bool
	Services         map[string]bool // those whose hosts, or the choice among them, changed
}

// addItem adds what an item that changed, came or went changes.
func (c *Changes) addItem(t *Table, k config.Key) {
	switch k.Kind {
	case config.KindRoutes, config.KindServices, config.KindQuotas, config.KindLimits:
		c.Routing = true
	case config.KindEvacuations:
		for _, h := range t.Instances {
			c.Services[h.Service] = true
		}
	case config.KindRollouts, config.KindStableVersions:
		c.Services[k.Name] = true
	}
}

// Apply applies changes without a position.
func (t *Table) Apply(changes []update.Change, snapshot bool) Changes {
	return t.ApplyAt(Position{}, changes, snapshot)
}

// ApplyAt applies changes, the last of which is at a position. After a snapshot, hosts and proxies that it doesn't name are missing or
// gone: they ended while this proxy followed no control process. A host may also be one that this control process hasn't heard of
// yet, as the former one had: it is missing until it is named, whatever its heartbeats are then.
func (t *Table) ApplyAt(at Position, changes []update.Change, snapshot bool) Changes {
	c := Changes{Services: map[string]bool{}}
	t.applyItems(&c, changes, snapshot, at)
	for _, change := range changes {
		switch {
		case change.Instance != nil:
			t.applyInstance(&c, *change.Instance)
		case change.Ejection != nil:
			t.applyEjection(&c, *change.Ejection)
		case change.Proxy != nil:
			t.applyProxy(&c, *change.Proxy)
		}
	}
	if snapshot {
		t.dropUnnamed(&c, changes)
	}
	return c
}

// applyItems applies the items of changes in their order. A snapshot replaces all items of the table, so that what was dropped and
// forgotten while this proxy was away goes. Items of an earlier position than the table's are skipped: the table has them, or what
// came after. Items without a position are merged one by one.
func (t *Table) applyItems(c *Changes, changes []update.Change, snapshot bool, at Position) {
	outdated := at != Position{} && at.Before(t.position)
	items := t.itemsOf(changes, outdated)
	defer t.Set.TakeEvicted() // a proxy has no disk from which they would have to be removed
	switch {
	case at == Position{}:
		for _, item := range items {
			if t.Set.Merge(item) {
				c.addItem(t, item.Key())
			}
		}
	case outdated:
	case snapshot:
		changed, removed := t.Set.ReplaceAll(items)
		for _, item := range changed {
			c.addItem(t, item.Key())
		}
		for _, k := range removed {
			c.addItem(t, k)
		}
		t.position = at
	default:
		t.Set.Apply(items)
		for _, item := range items {
			c.addItem(t, item.Key())
		}
		t.position = at
	}
}

// itemsOf is the items of changes. Unless they are outdated it notes when the rollouts among them began.
func (t *Table) itemsOf(changes []update.Change, outdated bool) (items []config.Item) {
	for _, change := range changes {
		if change.Item == nil {
			continue
		}
		items = append(items, *change.Item)
		if !outdated && change.RolloutStartedAt != 0 {
			t.noteRolloutStart(*change.Item, change.RolloutStartedAt)
		}
	}
	return items
}

// noteRolloutStart notes when a rollout began, once for each.
func (t *Table) noteRolloutStart(item config.Item, startedAt int64) {
	k := item.Key()
	if k.Kind != config.KindRollouts {
		return
	}
	r := rollout.FromItem(item)
	if r.Number != t.rolloutStarts[k.Name].Number {
		t.rolloutStarts[k.Name] = update.RolloutStart{Service: k.Name, Number: r.Number, StartedAt: startedAt}
	}
}

// applyInstance applies a host's state, unless a newer one is known.
func (t *Table) applyInstance(c *Changes, h instance.Instance) {
	old, known := t.Instances[h.ID]
	if t.missing[h.ID] {
		delete(t.missing, h.ID)
		c.Services[old.Service] = true
	}
	if known && !instance.Supersedes(h, old) {
		return
	}
	if h.Service == "" {
		h.Service = old.Service
	}
	if h.State == instance.Gone && !known {
		return
	}
	t.put(old, h)
	c.Services[h.Service] = true
}

// applyEjection applies a host's ejection, unless a newer one is known.
func (t *Table) applyEjection(c *Changes, e outlier.Ejection) {
	if !e.Supersedes(t.Ejections[e.ID]) {
		return
	}
	t.Ejections[e.ID] = e
	delete(t.onProbation, e.ID)
	c.Services[e.Service] = true
}

// applyProxy applies a proxy's state, unless a newer one is known.
func (t *Table) applyProxy(c *Changes, p update.Proxy) {
	old, known := t.proxies[p.Name]
	if known && !p.Supersedes(old) {
		return
	}
	t.proxies[p.Name] = p
	if !known || listedFields(p) != listedFields(old) {
		c.Proxies = true
	}
}

// dropUnnamed marks the hosts that a snapshot doesn't name as missing, and removes the proxies that it doesn't name.
func (t *Table) dropUnnamed(c *Changes, changes []update.Change) {
	instances, proxies := namedIn(changes)
	for id, h := range t.Instances {
		if !instances[id] && !t.missing[id] {
			t.missing[id] = true
			c.Services[h.Service] = true
		}
	}
	for name := range t.proxies {
		if !proxies[name] {
			delete(t.proxies, name)
			c.Proxies = true
		}
	}
}

// namedIn is the ids of hosts and the names of proxies that changes name.
func namedIn(changes []update.Change) (instances, proxies map[string]bool) {
	instances, proxies = map[string]bool{}, map[string]bool{}
	for _, change := range changes {
		switch {
		case change.Instance != nil:
			instances[change.Instance.ID] = true
		case change.Ejection != nil:
		case change.Proxy != nil:
			proxies[change.Proxy.Name] = true
		}
	}
	return instances, proxies
}
