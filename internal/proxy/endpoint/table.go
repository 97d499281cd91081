// Package endpoint keeps a proxy's view of the configuration, the hosts and the other proxies, and computes its share of the bounds that
// all proxies observe together. It does no I/O, reads no clock and starts no goroutine; times are passed in as Unix nanoseconds.
//
// Start reading at Table: ApplyAt (apply.go) applies the updates from control, and Hosts (hosts.go) returns the hosts for the decision
// engines. ShareOf (share.go) computes a proxy's share of a host from the list of ready proxies (proxy_list.go); History (history.go)
// delays the use of shares that have grown.
package endpoint

import (
	"encoding/json"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/update"
)

// Location is the zone and region that a process runs in.
type Location struct{ Zone, Region string }

// Table is the endpoint table of a proxy, built from the updates of control. It is not safe for concurrent use.
type Table struct {
	Set       *config.Set
	Instances map[string]instance.Instance // by ID
	Ejections map[string]outlier.Ejection  // hosts that are ejected or on probation, by ID

	name          string // name of this proxy
	self          Location
	regions       map[string]string // region by zone
	position      Position          // position that the items of Set reflect
	proxies       map[string]update.Proxy
	onProbation   map[string]bool                // ejected hosts for which EndEjections has reported that probation began
	byService     map[string]map[string]bool     // IDs of the known hosts, by service
	missing       map[string]bool                // hosts named neither in the last snapshot nor by a change since
	staleSince    map[string]int64               // when RemoveStale first found a host unresponsive or missing, in Unix nanoseconds
	rolloutStarts map[string]update.RolloutStart // start of each service's newest rollout, by this process's clock
}

// NewTable returns an empty table for the named proxy; regions maps zones to regions.
func NewTable(name string, self Location, regions map[string]string) *Table {
	return &Table{
		Set:           config.NewSet(),
		Instances:     map[string]instance.Instance{},
		Ejections:     map[string]outlier.Ejection{},
		name:          name,
		self:          self,
		regions:       regions,
		proxies:       map[string]update.Proxy{},
		onProbation:   map[string]bool{},
		byService:     map[string]map[string]bool{},
		missing:       map[string]bool{},
		staleSince:    map[string]int64{},
		rolloutStarts: map[string]update.RolloutStart{},
	}
}

// ZoneDistance returns the distance of a zone from this proxy: 0 for its own zone, 1 for others of its region, 2 for other regions.
func (t *Table) ZoneDistance(zone string) int {
	switch {
	case zone == t.self.Zone:
		return 0
	case t.regions[zone] == t.self.Region:
		return 1
	}
	return 2
}

// Evacuated reports whether a zone is evacuated, so that its hosts get no more requests.
func (t *Table) Evacuated(zone string) bool {
	item, ok := t.Set.Lookup(config.Key{Kind: config.KindEvacuations, Name: zone})
	if !ok {
		return false
	}
	var evacuation struct {
		Begun bool `json:"begun"`
	}
	return json.Unmarshal(item.Body, &evacuation) == nil && evacuation.Begun
}

// Rollout returns a service's newest rollout, with its start time by this process's clock if that is known. Without any rollout only the
// Service field is set.
func (t *Table) Rollout(service string) rollout.Rollout {
	item, ok := t.Set.Lookup(config.Key{Kind: config.KindRollouts, Name: service})
	if !ok {
		return rollout.Rollout{Service: service}
	}
	r := rollout.FromItem(item)
	if start := t.rolloutStarts[service]; start.Number == r.Number && r.Number > 0 {
		r.StartedAt = start.StartedAt
	}
	r.Switching = false // meant for operators only
	return r
}
