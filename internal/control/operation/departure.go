package operation

import "portflow/internal/cluster/config"

// departureVersion is the version of the item that records a departure. A host ID departs once, so the item never changes.
const departureVersion = 1

// RecordDeparture returns the operation that records that a host leaves or has left. The record is a deleted item, which is kept for good:
// a heartbeat that the host sent before may arrive at any later time. It is a change of the configuration, so that members of releases
// that know no departures replicate it too.
func RecordDeparture(hostID string) Operation {
	return Operation{Kind: ModifyConfig, Items: []config.Item{departure(hostID)}}
}

// HasDeparted reports whether the departure of a host is recorded.
func HasDeparted(s *config.Set, hostID string) bool {
	_, recorded := s.Lookup(departure(hostID).Key())
	return recorded
}

func departure(hostID string) config.Item {
	return config.Item{Kind: config.KindDepartures, Name: hostID, Version: departureVersion, Deleted: true}
}
