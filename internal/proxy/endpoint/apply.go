package endpoint

import (
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/update"
)

// Changes reports which parts of the table a batch of updates changed.
type Changes struct {
	Routing, Proxies bool
	Services         map[string]bool // names of services whose hosts, or the rules for choosing among them, changed
}

// addItem records what is affected by an item that was added, changed or removed.
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

// Apply applies changes that have no position, as ApplyAt does with the zero Position.
func (t *Table) Apply(changes []update.Change, snapshot bool) Changes {
	return t.ApplyAt(Position{}, changes, snapshot)
}

// ApplyAt applies changes and returns what they affect; at is the position of the last one. A snapshot removes the proxies that it doesn't
// name and marks such hosts as missing: they may have terminated while this proxy was disconnected from control, or the control
// process may not know them yet. A missing host is available again once a change names it, even with a heartbeat that the table already
// has.
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

// maxTombstones is the number of tombstones above which a table discards them, if the changes that it applies have positions.
const maxTombstones = 10000

// applyItems applies the items of changes in order. A snapshot replaces all items of the table, which also removes items that were deleted
// while this proxy was disconnected. Items from an earlier position than the table's are skipped, because the table has them or later
// versions. Items without a position, as sent by releases without positions, are merged one by one, by version.
//
// Only that merge depends on tombstones. Changes with positions are applied in the order in which they were committed, so the table then
// discards the tombstones when there are more than maxTombstones.
func (t *Table) applyItems(c *Changes, changes []update.Change, snapshot bool, at Position) {
	outdated := at != Position{} && at.Before(t.position)
	items := t.itemsOf(changes, outdated)
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
		if t.Set.Tombstones() > maxTombstones {
			t.Set.DiscardTombstones()
		}
		t.position = at
	}
}

// itemsOf returns the items of changes. Unless the changes are outdated, it also records when the rollouts among them began.
func (t *Table) itemsOf(changes []update.Change, outdated bool) (items []config.Item) {
	for _, change := range changes {
		if change.Item == nil {
			continue
		}
		items = append(items, *change.Item)
		if !outdated && change.RolloutStartedAt != 0 {
			t.recordRolloutStart(*change.Item, change.RolloutStartedAt)
		}
	}
	return items
}

// recordRolloutStart records when a rollout began. Only the first start received for a rollout number is kept.
func (t *Table) recordRolloutStart(item config.Item, startedAt int64) {
	k := item.Key()
	if k.Kind != config.KindRollouts {
		return
	}
	r := rollout.FromItem(item)
	if r.Number != t.rolloutStarts[k.Name].Number {
		t.rolloutStarts[k.Name] = update.RolloutStart{Service: k.Name, Number: r.Number, StartedAt: startedAt}
	}
}

// applyInstance applies a host's state unless the table has a newer one. A host that is named is not missing any more in either case.
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

// applyEjection applies a host's ejection unless the table has a newer one.
func (t *Table) applyEjection(c *Changes, e outlier.Ejection) {
	if !e.Supersedes(t.Ejections[e.ID]) {
		return
	}
	t.Ejections[e.ID] = e
	delete(t.onProbation, e.ID)
	c.Services[e.Service] = true
}

// applyProxy applies a proxy's state unless the table has a newer one.
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

// namedIn returns the IDs of the hosts and the names of the proxies in changes. Ejections don't count.
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
