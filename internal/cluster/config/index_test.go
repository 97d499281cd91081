package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/settings"
)

// checkFromScratch is a reference implementation of CheckChange that builds the routing tables before and after the change from scratch.
// CheckChange must return the same.
func checkFromScratch(s *Set, change []Item) (effective []Item, err error) {
	withoutIndex := func(s *Set) *Set { // a copy without parsed items
		result := s.Clone()
		result.index, result.changed = nil, nil
		return result
	}
	next := withoutIndex(s)
	for _, i := range change {
		if old, ok := s.Lookup(i.Key()); ok && !i.Supersedes(old) {
			continue
		}
		next.Merge(i)
		effective = append(effective, i)
	}
	result := NewRoutingTable(next)
	if len(result.Inactive) > 0 {
		before := NewRoutingTable(withoutIndex(s))
		for _, reason := range result.Inactive {
			if !slices.Contains(before.Inactive, reason) {
				return nil, apierror.New(apierror.Invalid, "%s", reason)
			}
		}
	}
	for _, i := range change {
		if i.Kind != KindRoutes || i.Deleted {
			continue
		}
		old, exists := s.Lookup(i.Key())
		outdated := exists && !i.Supersedes(old)
		for _, backend := range ParseRoute(settings.NewReader(i.Tree())).Backends {
			if _, known := s.Lookup(Key{KindServices, backend.Service}); outdated && known {
				continue
			}
			if _, ok := result.Services[backend.Service]; !ok {
				return nil, apierror.New(apierror.Invalid, "route %s: service: %s does not stand", i.Name, backend.Service)
			}
		}
	}
	return effective, nil
}

// randomItem returns a random item of a small configuration, in which most items depend on or conflict with others. Some items are invalid,
// as an older release may have stored them.
func randomItem(draw *rand.Rand, version uint64) Item {
	intN := func(limit int) int { return draw.IntN(limit) }
	i := Item{Version: uint64(max(1, int(version)-intN(3)+intN(2)))}
	service := func() string { return fmt.Sprint("service-", intN(5)) }
	switch intN(7) {
	case 0:
		i.Kind, i.Name = KindServices, service()
		health := []string{"/h", "/h", "/h", "h"}[intN(4)]
		i.Body = fmt.Appendf(nil, `{"health-path":"%s","name":"%s"}`, health, i.Name)
	case 1, 2, 3:
		i.Kind, i.Name = KindRoutes, fmt.Sprint("route-", intN(12))
		backends := fmt.Sprintf(`"service":"%s"`, service())
		if intN(4) == 0 {
			backends = fmt.Sprintf(`"weighted-split":[{"service":"%s","share-weight":1},{"service":"%s","share-weight":2}]`, service(), service())
		}
		prefix := []string{"/a/", "/b/", "/c/", "/a/b/", "/d/", "/e/", "x"}[min(6, intN(14)%8)]
		i.Body = fmt.Appendf(nil, `{"host-name":"H%d","name":"%s","path-prefix":"%s",%s,"timeout-s":1}`, intN(3), i.Name, prefix, backends)
	default:
		i.Kind, i.Name = KindQuotas, fmt.Sprint("share-", intN(20))
		size := []string{`"per-s":1`, `"part":0.3`, `"part":0.6`, `"per-s":-1`}[intN(4)]
		header := []string{"X-A", "x-a", "X-A", "X-B"}[intN(4)]
		i.Body = fmt.Appendf(nil, `{"caller":"c%d","caller-header":"%s","name":"%s",%s,"service":"%s"}`, intN(8), header, i.Name, size, service())
	}
	if intN(6) == 0 {
		i.Deleted, i.Body = true, nil
	}
	return i
}

// For random changes, CheckChange returns exactly the same items and error text as checkFromScratch, in sets into which accepted, rejected,
// outdated and conflicting changes were merged, and in their clones. The routing table is the same with and without the index.
func TestCheckChangeMatchesRebuild(t *testing.T) {
	cases, rejected, accepted, withInactive := 0, 0, 0, 0
	for seed := range uint64(40) {
		c := qt.New(t)
		draw := rand.New(rand.NewPCG(seed, 43))
		s := NewSet()
		var table *RoutingTable
		for step := range 150 {
			var change []Item
			for range 1 + draw.IntN(4)*draw.IntN(3) {
				change = append(change, randomItem(draw, uint64(3+step/4)))
			}
			if draw.IntN(40) == 0 {
				for range maxIndexChanges {
					change = append(change, randomItem(draw, uint64(3+step/4)))
				}
			}
			want, wantErr := checkFromScratch(s, change)
			got, err := s.CheckChange(change)
			cases++
			c.Assert(fmt.Sprint(err), qt.Equals, fmt.Sprint(wantErr), qt.Commentf("seed %d, step %d: %v", seed, step, change))
			c.Assert(fmt.Sprint(got), qt.Equals, fmt.Sprint(want))
			if err != nil {
				rejected++
			} else if len(got) > 0 {
				accepted++
			}
			switch draw.IntN(6) {
			case 0: // merged into a clone, as for operations that aren't committed yet
				clone := s.Clone()
				for _, i := range change {
					clone.Merge(i)
				}
				next := []Item{randomItem(draw, uint64(3+step/4)), randomItem(draw, uint64(3+step/4))}
				want, wantErr := checkFromScratch(clone, next)
				got, err := clone.CheckChange(next)
				cases++
				c.Assert(fmt.Sprint(got, err), qt.Equals, fmt.Sprint(want, wantErr), qt.Commentf("seed %d, step %d, in a clone", seed, step))
				if draw.IntN(2) == 0 {
					s = clone
				}
			case 1: // merged without a check, as when reading from disk
				for _, i := range change {
					s.Merge(i)
				}
			case 2:
				if draw.IntN(4) == 0 { // replaced with a snapshot from another process
					s.ReplaceAll(s.All()[:s.Len()/2])
				}
			default:
				if err == nil {
					for _, i := range got {
						s.Merge(i)
					}
				}
			}
			withoutIndex := s.Clone()
			withoutIndex.index, withoutIndex.changed = nil, nil
			a, b := NewRoutingTable(s), NewRoutingTable(withoutIndex)
			withInactive += min(1, len(a.Inactive))
			c.Assert(describeTable(a), qt.Equals, describeTable(b), qt.Commentf("seed %d, step %d", seed, step))
			table = table.Rebuild(s) // reuses the previous table
			c.Assert(describeTable(table), qt.Equals, describeTable(b), qt.Commentf("seed %d, step %d", seed, step))
			c.Assert(BuildQuotas(s), qt.DeepEquals, b.Quotas)
			rebuilt := NewSet()
			rebuilt.Apply(s.All())
			c.Assert([]any{s.quotaChecksum, s.Tombstones(), s.partitionSums}, qt.DeepEquals, []any{rebuilt.quotaChecksum, rebuilt.Tombstones(), rebuilt.partitionSums})
			for _, kind := range []string{KindServices, KindRoutes, KindQuotas, KindLimits} {
				c.Assert(s.liveCount[kind], qt.Equals, rebuilt.liveCount[kind])
				c.Assert(s.Live(kind), qt.HasLen, s.liveCount[kind])
			}
		}
	}
	t.Logf("%d cases: %d rejected, %d accepted; %d with inactive items afterwards", cases, rejected, accepted, withInactive)
	qt.Check(t, rejected > 1000 && accepted > 1000 && withInactive > 1000, qt.IsTrue)
}

// Rebuild reuses the quotas of the previous table unless a quota or a service was changed, deleted or restored. Changes of other items must
// not cause a rebuild of the quotas.
func TestQuotasRebuiltWhenTheyChange(t *testing.T) {
	c := qt.New(t)
	s := setWithQuotas(50)
	table := NewRoutingTable(s)
	for _, x := range []struct {
		name    string
		apply   func()
		rebuilt bool
		quotas  int // of service-0
	}{
		{"a route", func() { s.Merge(routeAt(3, 2)) }, false, 1},
		{"a route is deleted", func() { s.Merge(Item{Kind: KindRoutes, Name: "route-4", Version: 2, Deleted: true}) }, false, 1},
		{"an evacuation", func() { s.Merge(Item{Kind: KindEvacuations, Name: "z", Version: 1, Body: []byte(`{"begun":true}`)}) }, false, 1},
		{"nothing", func() {}, false, 1},
		{"a share", func() { s.Merge(quotaAt(0, 2)) }, true, 1},
		{"a share is deleted", func() { s.Merge(Item{Kind: KindQuotas, Name: quotaAt(0, 1).Name, Version: 3, Deleted: true}) }, true, 0},
		{"a service", func() {
			s.Merge(Item{Kind: KindServices, Name: "service-1", Version: 2, Body: []byte(`{"health-path":"/h","name":"service-1"}`)})
		}, true, 0},
		{"all restored", func() { s.ReplaceAll(setWithQuotas(50).All()) }, true, 1},
	} {
		x.apply()
		next := table.Rebuild(s)
		c.Check(reflect.ValueOf(next.Quotas).Pointer() != reflect.ValueOf(table.Quotas).Pointer(), qt.Equals, x.rebuilt, qt.Commentf(x.name))
		c.Check(next.Quotas["service-0"], qt.HasLen, x.quotas, qt.Commentf(x.name))
		table = next
	}
}

func describeTable(table *RoutingTable) string {
	var b strings.Builder
	fmt.Fprint(&b, table.Services, table.Inactive, table.Limits)
	for _, r := range table.Routes {
		fmt.Fprint(&b, *r)
	}
	fmt.Fprint(&b, table.Quotas)
	return b.String()
}

// setWithQuotas returns a set of 220 services, 3,200 routes and the given number of quotas.
func setWithQuotas(quotas int) *Set {
	s := NewSet()
	for n := range 220 {
		s.Merge(Item{Kind: KindServices, Name: fmt.Sprint("service-", n), Version: 1, Body: fmt.Appendf(nil, `{"health-path":"/health","name":"service-%d"}`, n)})
	}
	for n := range 3200 {
		s.Merge(routeAt(n, 1))
	}
	for n := range quotas {
		s.Merge(quotaAt(n, 1))
	}
	return s
}

func routeAt(n int, version uint64) Item {
	return Item{Kind: KindRoutes, Name: fmt.Sprint("route-", n), Version: version, Body: fmt.Appendf(nil,
		`{"host-name":"desk-%d.example","name":"route-%d","path-prefix":"/r%d/%d","service":"service-%d","timeout-s":2}`, n%40, n, n, version, n%220)}
}

func quotaAt(n int, version uint64) Item {
	return Item{Kind: KindQuotas, Name: fmt.Sprint("share-", n), Version: version, Body: fmt.Appendf(nil,
		`{"burst":10,"caller":"tenant-%d","caller-header":"X-Tenant","name":"share-%d","per-s":%d,"service":"service-%d"}`, n, n, version, n%220)}
}

// The cost of CheckChange, in items examined, depends on the change and the items related to it, not on the size of the set.
func TestCheckCost(t *testing.T) {
	c := qt.New(t)
	s := setWithQuotas(33000)
	check := func(change ...Item) int {
		before := s.examined
		effective, err := s.CheckChange(change)
		c.Assert(err, qt.IsNil)
		for _, i := range effective {
			s.Merge(i)
		}
		return s.examined - before
	}
	first := check(routeAt(1, 2))
	c.Check(first >= s.Len(), qt.IsTrue) // builds the index from all items
	maxExamined, total, rebuilds := 0, 0, 0
	for n := range 1000 {
		for _, count := range []int{check(routeAt(n, 3)), check(quotaAt(n, 3))} {
			if total += count; count > s.Len() {
				rebuilds++
			} else {
				maxExamined = max(maxExamined, count)
			}
		}
	}
	t.Logf("the first check examines %d items; %d of the next 2,000 checks examine all items, the others at most %d; the average is %d", first, rebuilds, maxExamined, total/2000)
	c.Check(maxExamined < 1000, qt.IsTrue)               // items changed since the index was built, routes with the same match, 150 quotas of a service
	c.Check(rebuilds <= 2000/maxIndexChanges, qt.IsTrue) // index rebuilds, which reuse the parsed items
	c.Check(total/2000 < 800, qt.IsTrue)
}

// BenchmarkCheck measures CheckChange with the index and checkFromScratch at the size given in docs/CAPACITY.md.
func BenchmarkCheck(b *testing.B) {
	for _, x := range []struct {
		name  string
		check func(*Set, []Item) ([]Item, error)
	}{{"index", (*Set).CheckChange}, {"full", checkFromScratch}} {
		for _, quotas := range []int{0, 33000} {
			for name, item := range map[string]func(int, uint64) Item{"route": routeAt, "share": quotaAt} {
				if quotas == 0 && name == "share" {
					continue
				}
				b.Run(fmt.Sprintf("%s/3200-routes-%d-shares/a-%s", x.name, quotas, name), func(b *testing.B) {
					s := setWithQuotas(quotas)
					s.CheckChange(nil)
					n := 0
					for b.Loop() {
						n++
						effective, err := x.check(s, []Item{item(n%3200, uint64(n+1))})
						if err != nil {
							b.Fatal(err)
						}
						s.Merge(effective[0])
					}
				})
			}
		}
	}
}
