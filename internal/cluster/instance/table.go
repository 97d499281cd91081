package instance

import (
	"maps"
	"slices"
)

// Times, in nanoseconds.
const (
	warmUpTolerance       = int64(300e6) // heartbeats may differ by so much in when the warm-up ends
	goneRetention         = int64(60e9)  // how long an instance that is gone stays known; late heartbeats have arrived by then
	unresponsiveRetention = int64(600e9) // how long an instance that another process calls unresponsive stays known
)

// Table has the instances that one control process knows. It watches the heartbeats of those that it owns and of those that it
// adopted. It is not safe for concurrent use.
type Table struct {
	self              string
	heartbeatTimeout  int64 // time without a heartbeat after which an instance is unresponsive
	instances         map[string]Instance
	lastHeartbeat     map[string]int64 // of the watched instances: the last heartbeat, or since when it is watched
	goneSince         map[string]int64
	unresponsiveSince map[string]int64 // of instances that aren't watched and are unresponsive: since when that is known here
}

// NewTable returns an empty table of the control process of a name. heartbeatInterval is in nanoseconds.
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

// Heartbeat notes a heartbeat that this process receives. It returns the instance as it is known now, and whether anything changed
// that others must be sent.
func (t *Table) Heartbeat(now int64, i Instance) (Instance, bool) {
	old, known := t.instances[i.ID]
	if _, gone := t.goneSince[i.ID]; gone && old.State == Gone {
		return old, false
	}
	if known && old.Owner == t.self {
		t.lastHeartbeat[i.ID] = now
	}
	if known && i.Sequence <= old.Sequence { // it arrives late
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

// mergeWarmUp returns the end of an instance's warm-up after a heartbeat. It keeps the one that is known where the heartbeat's differs
// only by the delay of the message, or where the warm-up is over.
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

// Deregister notes that an instance has ended, by its own last message. It returns the instance, and whether others must be sent it.
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

// Merge merges what another control process knows of an instance. changed says that it was new. reannounce says that others must be
// sent the instance as it is known here: another process takes it for unresponsive, and its heartbeats arrive here.
func (t *Table) Merge(now int64, i Instance) (changed, reannounce bool) {
	old, known := t.instances[i.ID]
	if known && !Supersedes(i, old) {
		responsiveHere := old.Owner == t.self && !old.Unresponsive && old.State != Gone
		return false, i.Unresponsive && responsiveHere
	}
	if i.Owner != t.self {
		delete(t.lastHeartbeat, i.ID)
	}
	t.put(now, i)
	return true, false
}

// Lookup returns an instance as it is known; the zero Instance if it isn't.
func (t *Table) Lookup(id string) Instance { return t.instances[id] }

func (t *Table) put(now int64, i Instance) {
	t.instances[i.ID] = i
	if i.State == Gone {
		delete(t.lastHeartbeat, i.ID)
		t.goneSince[i.ID] = now
	}
}

// Adopt begins to watch the instances of an owner that is not connected any more: they send heartbeats elsewhere soon, or are
// unresponsive.
func (t *Table) Adopt(now int64, owner string) {
	t.watch(now, owner, nil)
}

// Release ends what Adopt began: the owner is connected again and watches its instances by itself.
func (t *Table) Release(owner string) {
	for id, i := range t.instances {
		if i.Owner == owner && owner != t.self {
			delete(t.lastHeartbeat, id)
		}
	}
}

// Reconcile begins to watch the instances of an owner that are not in its complete list: it has restarted, and has not received a
// heartbeat of them since. They send heartbeats elsewhere soon, or are unresponsive.
func (t *Table) Reconcile(now int64, owner string, listed map[string]bool) {
	t.watch(now, owner, listed)
}

// watch begins to watch the instances of another owner that it doesn't watch yet, but for some.
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

// CheckHeartbeats returns the watched instances that have become unresponsive, and evicts those that ended long ago. A process that is
// connected to too few others can't judge instances that send heartbeats elsewhere: then canJudge is false, and their time begins
// anew.
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

// EvictUnresponsive evicts instances that other processes have called unresponsive for long. Such a process announces no end of them,
// as a heartbeat may still come. It is to be called periodically.
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

// All returns all instances by ID, those that are gone included.
func (t *Table) All() []Instance {
	all := make([]Instance, 0, len(t.instances))
	for _, i := range t.instances {
		all = append(all, i)
	}
	slices.SortFunc(all, compareIDs)
	return all
}

// Owned returns the instances that send their heartbeats to this process, by ID.
func (t *Table) Owned() (all []Instance) {
	for _, i := range t.All() {
		if i.Owner == t.self {
			all = append(all, i)
		}
	}
	return all
}
