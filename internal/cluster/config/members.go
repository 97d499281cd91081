package config

import (
	"encoding/json"
	"maps"
)

// KindCore is the kind of the item that lists the voting members; its body is described in package membership.
const KindCore = "core"

// membersName is the name of that item.
const membersName = "members"

// Members returns the zones of the control processes that vote, by IP address. It is called at each heartbeat of an instance of
// another zone, and so parses the list only after it has changed.
func (s *Set) Members() map[string]string {
	if s.members == nil {
		s.members = s.parseMembers()
	}
	return maps.Clone(s.members)
}

func (s *Set) parseMembers() map[string]string {
	var list struct {
		Members []struct {
			IP   string `json:"p"`
			Zone string `json:"z"`
		} `json:"m"`
	}
	zones := map[string]string{}
	i, exists := s.Lookup(Key{KindCore, membersName})
	if !exists {
		return zones
	}
	// A body that can't be parsed has no members but those before the error.
	_ = json.Unmarshal(i.Body, &list)
	for _, member := range list.Members {
		zones[member.IP] = member.Zone
	}
	return zones
}
