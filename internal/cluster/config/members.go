package config

import (
	"encoding/json"
	"maps"
)

// KindCore is the kind of the item that lists the voting members. Package membership defines its body.
const KindCore = "core"

// membersName is the name of the item of KindCore.
const membersName = "members"

// Members returns the zones of the voting members by IP address. It is called for each heartbeat of an instance in another zone, so
// the parsed list is cached until the item changes. The caller owns the returned map.
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
	// If the body can't be decoded, only the members that were decoded before the error are returned.
	_ = json.Unmarshal(i.Body, &list)
	for _, member := range list.Members {
		zones[member.IP] = member.Zone
	}
	return zones
}
