package store

import "portflow/internal/cluster/config"

// Rewrite is Replace of all that the disk holds: items that aren't among those given leave it in the same step.
func (s *Store) Rewrite(items []config.Item, records map[string][]byte, complete bool) error {
	stay := make(map[config.Key]bool, len(items))
	for _, i := range items {
		stay[i.Key()] = true
	}
	s.lock <- struct{}{}
	var removed []config.Key
	for k := range s.items {
		if !stay[k] {
			removed = append(removed, k)
		}
	}
	<-s.lock
	return s.Replace(items, removed, records, complete)
}
