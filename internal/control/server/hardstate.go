package server

import (
	"encoding/json"
	"net"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
)

// nodeRecord is the key of the consensus node's record on disk, beside the items.
const nodeRecord = "node"

func encodeHardState(hardState consensus.HardState) map[string][]byte {
	raw, err := json.Marshal(hardState)
	if err != nil { // impossible: it holds items that were read as JSON
		panic(err)
	}
	return map[string][]byte{nodeRecord: raw}
}

// loadHardState is what the consensus node starts with: the record on disk, or a new one where the disk is new, incomplete or
// damaged. A process with a new record is no member until it is voted in; only at the first start it may be a founder. A disk of a
// release before consensus names the founders by items of their own. removed are items that must not stay on disk; created says
// that the record is new.
func (s *Server) loadHardState(items []config.Item, records map[string][]byte, complete, damaged bool) (
	hardState consensus.HardState, set *config.Set, removed []config.Key, created bool,
) {
	set, formerMembers, removed := loadItems(items)
	if complete && !damaged && decodeHardState(records, &hardState) {
		return hardState, set, removed, false
	}
	hardState = consensus.HardState{DiskID: s.incarnation}
	switch {
	case damaged:
	case complete && len(formerMembers) > 0:
		hardState.Founders = formerMembers
	case s.Settings.FirstStart && len(items) == 0:
		hardState.Founders = s.founders()
	}
	slices.Sort(hardState.Founders)
	return hardState, set, removed, true
}

// loadItems makes the set of the items on disk, apart from those by which earlier releases named the members.
func loadItems(items []config.Item) (set *config.Set, formerMembers []string, removed []config.Key) {
	set = config.NewSet()
	for _, item := range items {
		if item.Kind == config.KindCore && item.Key() != membership.Key {
			formerMembers = append(formerMembers, item.Name)
			removed = append(removed, item.Key())
			continue
		}
		set.Merge(item)
	}
	return set, formerMembers, append(removed, set.TakeEvicted()...)
}

// decodeHardState reports whether the records hold a usable hard state.
func decodeHardState(records map[string][]byte, hardState *consensus.HardState) bool {
	raw, exists := records[nodeRecord]
	return exists && json.Unmarshal(raw, hardState) == nil && hardState.DiskID != ""
}

// founders are the first members: those that the settings name as seeds or, without any, this process.
func (s *Server) founders() (ips []string) {
	for _, seed := range s.Settings.SeedNodes {
		if host, _, err := net.SplitHostPort(seed); err == nil && !slices.Contains(ips, host) {
			ips = append(ips, host)
		}
	}
	if len(ips) == 0 {
		ips = []string{s.Settings.IP}
	}
	return ips
}

// rewriteDisk writes everything to a disk that has missed a write, once it takes writes again. The caller holds mu.
func (s *Server) rewriteDisk() {
	if !s.diskBehind || !s.writer.idle() {
		return
	}
	job := writeJob{
		replaceAll: true,
		items:      s.state.Set.All(),
		records:    encodeHardState(s.state.Node.HardState()),
		complete:   true,
		done:       func() {},
	}
	if s.writer.enqueue(job) {
		s.diskBehind = false
		s.state.Node.SetMuted(false)
	}
}
