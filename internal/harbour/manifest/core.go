package manifest

import "maps"

// Core is the kind of items that name the control processes, by IP number.
const Core = "core"

// Members are the control processes that are known, by IP number, with their zones. They are asked for at each beat of a host
// of another zone, and so are read anew only once one of them has changed.
func (s *Set) Members() map[string]string {
	if s.members == nil {
		s.members = map[string]string{}
		for _, i := range s.Standing(Core) {
			zone, _ := i.Tree()["zone"].(string)
			s.members[i.Name] = zone
		}
	}
	return maps.Clone(s.members)
}
