package config

import (
	"encoding/json"
	"maps"
)

// KindCore is the kind of the item that lists the members of the core; package muster says how.
const KindCore = "core"

// Members are the control processes that are members of the core, by IP number, with their zones. They are asked for at each
// beat of a host of another zone, and so are read anew only once the list has changed.
func (s *Set) Members() map[string]string {
	if s.members == nil {
		s.members = map[string]string{}
		i, _ := s.Lookup(Key{KindCore, "members"})
		var list struct {
			Members []struct {
				IP   string `json:"p"`
				Zone string `json:"z"`
			} `json:"m"`
		}
		json.Unmarshal(i.Body, &list)
		for _, m := range list.Members {
			s.members[m.IP] = m.Zone
		}
	}
	return maps.Clone(s.members)
}
