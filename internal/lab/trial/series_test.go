package trial

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Series are the same for the same seed, concern existing processes of one role, each once, and freeze no proxy. Each round of a kind that
// ends processes sends a signal that does, and a process that is stopped is continued.
func TestSeries(t *testing.T) {
	c := qt.New(t)
	const count, proxies, controls = 400, 9, 3
	duration := 20 * time.Second
	draw := func(seed uint64) []series {
		return seriesDrawer{rng: rand.New(rand.NewPCG(seed, 1)), proxies: proxies, controls: controls}.draw(count, duration)
	}
	c.Check(reflect.DeepEqual(draw(1), draw(1)), qt.IsTrue)
	kinds := map[seriesKind]int{}
	overlapping, allControl := 0, 0
	all := draw(2)
	c.Assert(all, qt.HasLen, count)
	for n, s := range all {
		kinds[s.kind]++
		c.Check(s.at >= 0 && s.at < duration && (n == 0 || all[n-1].at <= s.at), qt.IsTrue)
		c.Assert(len(s.targets) > 0 && len(s.rounds) > 0, qt.IsTrue)
		seen := map[target]bool{}
		for _, each := range s.targets {
			limit := proxies
			if each.control {
				limit = controls
			}
			c.Check(!seen[each] && each.control == s.targets[0].control && each.index >= 0 && each.index < limit, qt.IsTrue)
			seen[each] = true
		}
		if s.targets[0].control && len(s.targets) == controls {
			allControl++
		}
		if n > 0 && s.at-all[n-1].at < time.Second {
			overlapping++
		}
		for _, round := range s.rounds {
			ends := slices.ContainsFunc(round.steps, func(step signalStep) bool { return step.kind.ends() })
			c.Check(ends, qt.Equals, s.kind != seriesReloads && s.kind != seriesFreeze)
			last := round.steps[len(round.steps)-1].kind
			c.Check(last == Stopped, qt.IsFalse)
			c.Check(s.kind != seriesFreeze || s.targets[0].control && last == Continued, qt.IsTrue)
		}
	}
	c.Check(kinds, qt.HasLen, len(seriesWeights))
	c.Check(overlapping > count/2, qt.IsTrue)
	c.Check(allControl > 0, qt.IsTrue)
}

// A trial without series sends one signal at a time.
func TestSeriesOfOneSignal(t *testing.T) {
	c := qt.New(t)
	for _, s := range (seriesDrawer{rng: rand.New(rand.NewPCG(3, 1)), proxies: 9, controls: 3}).drawSingle(50, time.Second) {
		c.Check(len(s.targets) == 1 && len(s.rounds) == 1 && len(s.rounds[0].steps) == 1, qt.IsTrue)
	}
}

// The options of a soak's trial depend on its seed alone; a crowded one has as many proxies as asked.
func TestOptionsForSeed(t *testing.T) {
	c := qt.New(t)
	base := Defaults()
	drops, sizes := 0, map[int]bool{}
	for seed := range uint64(50) {
		o := base.ForSeed(seed, 0)
		o.Progress = nil
		again := base.ForSeed(seed, 0)
		again.Progress = nil
		c.Check(reflect.DeepEqual(o, again), qt.IsTrue)
		c.Check(o.Lasts >= minSoakLoad && o.Lasts < maxSoakLoad && o.Series > 0 && o.Clients >= minSoakClients, qt.IsTrue)
		drops += o.Drops
		sizes[o.Clients] = true
	}
	c.Check(drops > 0 && drops < 50*soakDrops && len(sizes) > 10, qt.IsTrue)
	c.Check(base.ForSeed(1, 60).ProxiesPerZone, qt.Equals, 60)
}

// All processes and hosts of trials that run at the same time have different addresses.
func TestAddressesDiffer(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	add := func(ip string) {
		c.Assert(seen[ip], qt.IsFalse, qt.Commentf("%s", ip))
		seen[ip] = true
	}
	for _, block := range []int{0, 1, MaxBlock} {
		l := layout{block: block, proxiesPerZone: 250}
		for zone := range zones {
			add(l.controlIP(zone))
			add(l.hostIP(zone, 0))
			add(l.hostIP(zone, 20))
		}
		for proxy := range l.proxies() {
			add(l.proxyIP(proxy))
		}
	}
}

// A route is expected as its newest version was acknowledged, unless a newer one may be in force.
func TestExpectedRoutes(t *testing.T) {
	c := qt.New(t)
	changes := NewChanges()
	item := func(name string, version uint64, dropped bool) []Item {
		return []Item{{Key: Key{"routes", name}, Version: version, Dropped: dropped}}
	}
	acknowledge := func(items []Item) {
		changes.Sent(items)
		changes.Acknowledged(items)
	}
	acknowledge(item("set", 2, false))
	acknowledge(item("dropped", 2, false))
	acknowledge(item("dropped", 3, true))
	changes.Sent(item("dropped", 1, false)) // an older change whose result is unknown has no effect
	acknowledge(item("unclear", 2, false))
	changes.Sent(item("unclear", 4, true))
	acknowledge([]Item{{Key: Key{"services", "desk"}, Version: 1}})
	c.Check(changes.ExpectedRoutes(), qt.DeepEquals, []Expectation{{"dropped", false}, {"set", true}})
}
