package manifest

// Core is the kind of items that name the control processes, by IP number.
const Core = "core"

// Members are the control processes that are known, by IP number, with their zones.
func (s *Set) Members() map[string]string {
	all := map[string]string{}
	for _, i := range s.Standing(Core) {
		zone, _ := i.Tree()["zone"].(string)
		all[i.Name] = zone
	}
	return all
}
