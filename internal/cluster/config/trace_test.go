package config

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"portflow/internal/cluster/apierror"
	"portflow/internal/testing/digest"
)

// Digests pin the results of checking, applying, merging and replacing random changes, the routing tables of the sets, and the encoding of
// a set. They cover the order of the fields of items and routing tables, the numeric values of error kinds, and the texts of errors
// and reasons, but not the names of fields.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"a12bc97676ba9bd3", "bd8d18260cdd18ba", "439e48f29ba51744", "7a7286a2a728bc2c"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		s, other := NewSet(), NewSet()
		var table *RoutingTable
		for step := range uint64(40) {
			var change []Item
			for range 1 + draw.IntN(4) {
				change = append(change, randomItem(draw, step+1))
			}
			switch draw.IntN(8) {
			case 0:
				for _, i := range change {
					d.Add(s.Merge(i), other.Merge(i))
				}
			case 1:
				theirs := other.PartitionSums()
				partitions := s.DifferingPartitions(theirs[:])
				d.Add(partitions, s.DifferingItems(theirs))
				changed, removed := s.ReplacePartitions(partitions, other.InPartitions(partitions))
				d.Add(changed, removed)
			case 2:
				changed, removed := other.ReplaceAll(s.All())
				d.Add(changed, removed)
			case 3:
				for _, i := range change {
					old, exists := s.Lookup(i.Key())
					known, same := old.MatchesPast(i)
					d.Add(exists, i.Supersedes(old), old.PredatesHistory(i), known, same, i.WithHistory(old))
				}
			default:
				effective, err := s.CheckChange(change)
				if d.Add(effective, err, apierror.KindOf(err)); err == nil {
					s.Apply(effective)
					d.Add([]Key(nil)) // the digests date from when Apply and TakeEvicted returned evicted keys, none in this test
				}
			}
			table = table.Rebuild(s)
			traceTable(d, table)
			d.Add(s.All(), s.Checksum(), s.QuotaChecksum(), s.HighestVersion(), s.Len(), s.Live(KindRoutes), []Key(nil), BuildQuotas(s), EncodedSizeBound(s.All()))
		}
		raw, err := s.EncodeChange()
		d.Add(raw, err)
		items, err := ParseChange(raw)
		d.Add(items, err)
		traceTable(d, NewRoutingTable(s))
	})
}

// traceTable adds a routing table and some lookups in it to the digest.
func traceTable(d *digest.Digest, table *RoutingTable) {
	for _, r := range table.Routes {
		d.Add(r)
	}
	for _, name := range slices.Sorted(maps.Keys(table.Services)) {
		d.Add(table.Services[name])
	}
	d.Add(table.Quotas, table.Limits, table.Inactive)
	for _, host := range []string{"h0", "h1", "h9"} {
		for _, path := range []string{"/", "/a/b/c", "/a/x", "/e/"} {
			d.Add(table.Match(host, path))
		}
	}
}
