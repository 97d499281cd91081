package server

import (
	"encoding/json"
	"net"
	"slices"

	"portflow/internal/cluster/config"
	"portflow/internal/control/consensus"
	"portflow/internal/control/membership"
)

// nodeRecord is the key of the consensus node's record on disk, which is stored along with the items.
const nodeRecord = "node"

func encodeHardState(hardState consensus.HardState) map[string][]byte {
	raw, err := json.Marshal(hardState)
	if err != nil { // can't happen: its items were decoded from JSON
		panic(err)
	}
	return map[string][]byte{nodeRecord: raw}
}

// loadHardState returns the hard state that the consensus node starts with: the record on disk, or a new one if the disk is new,
// incomplete or damaged. A process with a new record becomes a voting member only once the members add it, unless it is a founder. The
// founders are taken from the settings at the cluster's first start, or from the items in which releases without consensus listed the
// members. removed holds the items to delete from disk; created reports whether the record is new.
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

// loadItems builds the set from the items on disk, except those in which releases without consensus listed the members.
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
	return set, formerMembers, removed
}

// decodeHardState decodes the node record and reports whether it is usable.
func decodeHardState(records map[string][]byte, hardState *consensus.HardState) bool {
	raw, exists := records[nodeRecord]
	return exists && json.Unmarshal(raw, hardState) == nil && hardState.DiskID != ""
}

// founders returns the IP addresses of the first members: the seeds in the settings or, if there are none, this process.
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

// rewriteDisk rewrites the complete state after a write was dropped, once the write queue is empty again. The caller holds mu.
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
