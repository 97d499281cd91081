package manifest

import "encoding/json"

// Core is the kind of the item that lists the members of the core; package muster says how.
const Core = "core"

// Members are the control processes that are members of the core, by IP number, with their zones.
func (s *Set) Members() map[string]string {
	all := map[string]string{}
	i, _ := s.Get(Key{Core, "members"})
	var list struct {
		Members []struct {
			IP   string `json:"p"`
			Zone string `json:"z"`
		} `json:"m"`
	}
	json.Unmarshal(i.Body, &list)
	for _, m := range list.Members {
		all[m.IP] = m.Zone
	}
	return all
}
