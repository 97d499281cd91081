package instance

import (
	"maps"
	"slices"
)

// Times, in nanoseconds.
const (
	warmUpTolerance       = int64(300e6) // smaller changes of the end of a warm-up are attributed to network delay
	goneRetention         = int64(60e9)  // how long an instance is kept after it is gone; late heartbeats have arrived by then
	unresponsiveRetention = int64(600e9) // how long an instance is kept that another process reports as unresponsive
)

// Table holds the instances known to one control process. It watches for overdue heartbeats of the instances that the process owns and
// of those that it adopted from other owners. It is not safe for concurrent use.
type Table struct {
	self              string
	heartbeatTimeout  int64 // an instance without a heartbeat for longer is unresponsive
	instances         map[string]Instance
	lastHeartbeat     map[string]int64 // of watched instances: time of the last heartbeat, or of the start of watching
	goneSince         map[string]int64
	unresponsiveSince map[string]int64 // of unresponsive, unwatched instances: when EvictUnresponsive first saw them
}

// NewTable returns an empty table for the control process named self. heartbeatInterval is the time between two heartbeats of an
// instance in nanoseconds; an instance is unresponsive after 2.75 intervals without one.
func NewTable(self string, heartbeatInterval int64) *Table {
	return &Table{
		self:              self,
		heartbeatTimeout:  3*heartbeatInterval - heartbeatInterval/4,
		instances:         map[string]Instance{},
		lastHeartbeat:     map[string]int64{},
		goneSince:         map[string]int64{},
		unresponsiveSince: map[string]int64{},
	}
}

// Heartbeat applies a heartbeat received by this process, which thereby becomes the owner of the instance. It returns the updated
// instance, and whether anything but Sequence changed, so that other processes must be sent it. Heartbeats that arrive late, or after the
// instance is gone, don't change the instance.
func (t *Table) Heartbeat(now int64, i Instance) (Instance, bool) {
	old, known := t.instances[i.ID]
	if _, gone := t.goneSince[i.ID]; gone && old.State == Gone {
		return old, false
	}
	if known && old.Owner == t.self {
		t.lastHeartbeat[i.ID] = now
	}
	if known && i.Sequence <= old.Sequence { // late or duplicate
		return old, false
	}
	i.Owner = t.self
	if known {
		i.State = max(i.State, old.State)
		i.WarmUpUntil = mergeWarmUp(now, old.WarmUpUntil, i.WarmUpUntil)
	}
	t.instances[i.ID] = i
	t.lastHeartbeat[i.ID] = now
	old.Sequence = i.Sequence
	return i, !known || old != i
}

// mergeWarmUp returns the end of an instance's warm-up after a heartbeat. It keeps the old value if the reported one differs only by the
// network delay, or if the heartbeat reports no warm-up and the old one has ended.
func mergeWarmUp(now, old, reported int64) int64 {
	difference := reported - old
	if reported > now && difference < warmUpTolerance && difference > -warmUpTolerance {
		return old
	}
	if reported == 0 && old <= now {
		return old
	}
	return reported
}

// Deregister marks an instance as gone, at its own request. It returns the instance, and whether other processes must be sent it. An
// unknown instance is added as gone, so that a late heartbeat doesn't bring it back.
func (t *Table) Deregister(now int64, id string) (Instance, bool) {
	i, known := t.instances[id]
	if known && i.State == Gone {
		return i, false
	}
	i.ID = id
	i.State = Gone
	i.Owner = t.self
	i.Sequence++
	t.put(now, i)
	return i, true
}

// Drain marks a ready instance as draining, because its departure has become known by other means than a heartbeat. It returns the
// instance, and whether it changed.
func (t *Table) Drain(id string) (Instance, bool) {
	i, known := t.instances[id]
	if !known || i.State != Ready {
		return i, false
	}
	i.State = Draining
	t.instances[id] = i
	return i, true
}

// Merge applies the state of an instance received from another control process, if it supersedes the known one. changed reports whether
// it did. reannounce reports that other processes must be sent the state known here: the received one says unresponsive while this process
// receives heartbeats, or its sender has forgotten what it announced before as the owner.
func (t *Table) Merge(now int64, i Instance) (changed, reannounce bool) {
	old, known := t.instances[i.ID]
	if known && !Supersedes(i, old) {
		responsiveHere := old.Owner == t.self && !old.Unresponsive && old.State != Gone
		return false, i.Unresponsive && responsiveHere || forgotten(i, old)
	}
	if i.Owner != t.self {
		delete(t.lastHeartbeat, i.ID)
	}
	t.put(now, i)
	return true, false
}

// forgotten reports whether the owner of an instance announces an older state than it did before. It has restarted since, and received a
// heartbeat that was sent before the known one.
func forgotten(announced, known Instance) bool {
	return announced.Owner == known.Owner && (announced.Sequence < known.Sequence || announced.State < known.State)
}

// Lookup returns the instance of an ID, or the zero Instance if it is unknown.
func (t *Table) Lookup(id string) Instance { return t.instances[id] }

func (t *Table) put(now int64, i Instance) {
	t.instances[i.ID] = i
	if i.State == Gone {
		delete(t.lastHeartbeat, i.ID)
		t.goneSince[i.ID] = now
	}
}

// Adopt starts watching the instances of an owner that has disconnected. Unless they send heartbeats to another process, they become
// unresponsive after the heartbeat timeout.
func (t *Table) Adopt(now int64, owner string) {
	t.watch(now, owner, nil)
}

// Release stops watching the instances of an owner that has reconnected and watches them itself again.
func (t *Table) Release(owner string) {
	for id, i := range t.instances {
		if i.Owner == owner && owner != t.self {
			delete(t.lastHeartbeat, id)
		}
	}
}

// Reconcile starts watching the instances of an owner that are missing from the complete list of instances that the owner sent. The
// owner has restarted and received no heartbeat from them since. As after Adopt, they become unresponsive unless they send heartbeats
// to another process.
func (t *Table) Reconcile(now int64, owner string, listed map[string]bool) {
	t.watch(now, owner, listed)
}

// watch starts watching the instances of another owner that are not gone, not watched yet and not in except.
func (t *Table) watch(now int64, owner string, except map[string]bool) {
	if owner == t.self {
		return
	}
	for id, i := range t.instances {
		if i.Owner != owner || i.State == Gone || except[id] {
			continue
		}
		if _, watched := t.lastHeartbeat[id]; !watched {
			t.lastHeartbeat[id] = now
		}
	}
}

// CheckHeartbeats marks and returns the watched instances that have become unresponsive, sorted by ID. It evicts instances that have been
// gone, or watched without a heartbeat, for longer than goneRetention. canJudge is false if this process is connected to too few
// others to know whether instances of other owners are alive; the timeouts of these instances are then restarted.
func (t *Table) CheckHeartbeats(now int64, canJudge bool) (unresponsive []Instance) {
	for id, last := range t.lastHeartbeat {
		i := t.instances[id]
		if !canJudge && i.Owner != t.self {
			t.lastHeartbeat[id] = now
			continue
		}
		if now-last > t.heartbeatTimeout && !i.Unresponsive {
			i.Unresponsive = true
			t.instances[id] = i
			unresponsive = append(unresponsive, i)
		}
		if now-last > goneRetention {
			delete(t.instances, id)
			delete(t.lastHeartbeat, id)
		}
	}
	for id, since := range t.goneSince {
		if now-since > goneRetention {
			delete(t.goneSince, id)
			delete(t.instances, id)
		}
	}
	slices.SortFunc(unresponsive, compareIDs)
	return unresponsive
}

// EvictUnresponsive evicts unwatched instances that have been unresponsive for longer than unresponsiveRetention. The process that
// reported them as unresponsive doesn't announce their eviction, because a heartbeat may still arrive. It is to be called
// periodically.
func (t *Table) EvictUnresponsive(now int64) {
	for id, i := range t.instances {
		_, watched := t.lastHeartbeat[id]
		since, known := t.unresponsiveSince[id]
		switch {
		case watched || !i.Unresponsive || i.State == Gone:
			delete(t.unresponsiveSince, id)
		case !known:
			t.unresponsiveSince[id] = now
		case now-since > unresponsiveRetention:
			delete(t.instances, id)
		}
	}
	maps.DeleteFunc(t.unresponsiveSince, func(id string, _ int64) bool {
		_, exists := t.instances[id]
		return !exists
	})
}

// All returns all instances, including those that are gone, sorted by ID.
func (t *Table) All() []Instance {
	all := make([]Instance, 0, len(t.instances))
	for _, i := range t.instances {
		all = append(all, i)
	}
	slices.SortFunc(all, compareIDs)
	return all
}

// Owned returns the instances owned by this process, including those that are gone, sorted by ID.
func (t *Table) Owned() (all []Instance) {
	for _, i := range t.All() {
		if i.Owner == t.self {
			all = append(all, i)
		}
	}
	return all
}
