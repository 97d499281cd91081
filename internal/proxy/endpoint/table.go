// Package endpoint is what a proxy knows of the configuration, the hosts and the other proxies, and its share of the bounds that all
// proxies keep together. It does no I/O, reads no clock and starts no goroutine; times are passed in as Unix nanoseconds.
//
// Table is where to begin reading: ApplyAt (apply.go) takes in what control sends, and Hosts (hosts.go) is what the decision
// engines get. ShareOf (share.go) is this proxy's share of a host, from the list of ready proxies (proxy_list.go) and what that was of
// late (history.go).
package endpoint

import (
	"encoding/json"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/update"
)

// Location is where a process runs.
type Location struct{ Zone, Region string }

// Table is what a proxy knows by the updates of control. It is not safe for concurrent use.
type Table struct {
	Set       *config.Set
	Instances map[string]instance.Instance // by id
	Ejections map[string]outlier.Ejection  // of hosts that are ejected or on probation, by id

	name          string // of this proxy
	self          Location
	regions       map[string]string // by zone
	position      Position          // as of which the items of Set are
	proxies       map[string]update.Proxy
	onProbation   map[string]bool                // of Ejections, those that the decision engines know to be on probation
	byService     map[string]map[string]bool     // ids of the known hosts, by service
	missing       map[string]bool                // hosts that the last snapshot didn't name, and no change since
	staleSince    map[string]int64               // hosts that are silent or missing, and since when that has been seen
	rolloutStarts map[string]update.RolloutStart // when a service's newest rollout began, by this process's clock
}

// NewTable makes an empty table.
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

// ZoneDistance is how far a zone is: 0 this one, 1 in this region, 2 beyond.
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

// Rollout is a service's newest rollout, with the time that it began by this process's clock, where that is known.
func (t *Table) Rollout(service string) rollout.Rollout {
	item, ok := t.Set.Lookup(config.Key{Kind: config.KindRollouts, Name: service})
	if !ok {
		return rollout.Rollout{Service: service}
	}
	r := rollout.FromItem(item)
	if start := t.rolloutStarts[service]; start.Number == r.Number && r.Number > 0 {
		r.StartedAt = start.StartedAt
	}
	r.Switching = false // which only operators are to see
	return r
}
