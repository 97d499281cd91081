package server

import (
	"encoding/json"
	"net"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
)

// nodeRecord is the record of the agreement on disk, beside the items.
const nodeRecord = "node"

func encodeHardState(d consensus.HardState) map[string][]byte {
	raw, err := json.Marshal(d)
	if err != nil { // it holds items that were read as JSON
		panic(err)
	}
	return map[string][]byte{nodeRecord: raw}
}

// loadHardState is what the disk gives the agreement: the record that it holds, or a new one where the disk is new, was lost or is
// spoilt. Who comes with a new record is no member until it is voted in; only at the first start it may be a founder. A disk
// of before the agreement names the founders by the core's items. gone are items that are not to stay on disk.
func (s *Server) loadHardState(items []config.Item, records map[string][]byte, complete, damaged bool) (hardState consensus.HardState, set *config.Set, removed []config.Key, created bool) {
	set = config.NewSet()
	var formerMembers []string
	for _, i := range items {
		if i.Kind == config.KindCore && i.Key() != membership.Key {
			formerMembers, removed = append(formerMembers, i.Name), append(removed, i.Key())
			continue
		}
		set.Merge(i)
	}
	removed = append(removed, set.TakeEvicted()...)
	if raw, there := records[nodeRecord]; there && complete && !damaged && json.Unmarshal(raw, &hardState) == nil && hardState.DiskID != "" {
		return hardState, set, removed, false
	}
	hardState = consensus.HardState{DiskID: s.incarnation}
	switch {
	case damaged:
	case complete && len(formerMembers) > 0:
		hardState.Founders = formerMembers
	case s.Settings.FirstStart && len(items) == 0:
		for _, seed := range s.Settings.SeedNodes {
			if host, _, err := net.SplitHostPort(seed); err == nil && !slices.Contains(hardState.Founders, host) {
				hardState.Founders = append(hardState.Founders, host)
			}
		}
		if len(hardState.Founders) == 0 {
			hardState.Founders = []string{s.Settings.IP}
		}
	}
	slices.Sort(hardState.Founders)
	return hardState, set, removed, true
}

// rewriteDisk writes all to a disk that has missed something, once it takes writes again; the caller holds the lock.
func (s *Server) rewriteDisk() {
	if s.diskBehind && s.writer.idle() && s.writer.enqueue(writeJob{replaceAll: true, items: s.state.Set.All(), records: encodeHardState(s.state.Node.HardState()), complete: true, done: func() {}}) {
		s.diskBehind = false
		s.state.Node.SetMuted(false)
	}
}
