package logbook

import "portflow/internal/harbour/manifest"

// Rewrite is Replace of all that the disk holds: items that aren't among those given leave it in the same step.
func (b *Book) Rewrite(items []manifest.Item, cells map[string][]byte, whole bool) error {
	stay := make(map[manifest.Key]bool, len(items))
	for _, i := range items {
		stay[i.Key()] = true
	}
	b.lock <- struct{}{}
	var gone []manifest.Key
	for k := range b.items {
		if !stay[k] {
			gone = append(gone, k)
		}
	}
	<-b.lock
	return b.Replace(items, gone, cells, whole)
}
