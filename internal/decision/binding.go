package decision

import (
	"cmp"
	"slices"
)

// Key affinity: a key that a build has answered, or may have, must not go back to an earlier build.

// affinity is what a router knows of keys.
type affinity struct {
	bindings  keyBindings      // to builds that are not released
	minBuild  int              // no key may go to a build before this one
	keySeenAt map[uint64]int64 // when a key's last request came; entries of some seconds ago are dropped
}

// binding is a build, with the number of its answers to a key that were given or may be.
type binding struct{ build, answers int }

// keyBindings are the bindings of each key, in the order of their builds. The last one counts.
type keyBindings map[uint64][]*binding

// latest is the latest build that a key is bound to, 0 for none.
func (k keyBindings) latest(key uint64) int {
	if all := k[key]; len(all) > 0 {
		return all[len(all)-1].build
	}
	return 0
}

// bind counts an answer of a build.
func (k keyBindings) bind(key uint64, build int) *binding {
	i, ok := slices.BinarySearchFunc(k[key], build, func(b *binding, build int) int { return b.build - build })
	if !ok {
		k[key] = slices.Insert(k[key], i, &binding{build: build})
	}
	b := k[key][i]
	b.answers++
	return b
}

// unbind takes back what one call of bind counted.
func (k keyBindings) unbind(key uint64, b *binding) {
	if b == nil {
		return
	}
	b.answers--
	if b.answers == 0 {
		k.keep(key, func(other *binding) bool { return other != b })
	}
}

// dropFrom drops the bindings to a build and later ones.
func (k keyBindings) dropFrom(build int) {
	for key := range k {
		k.keep(key, func(b *binding) bool { return b.build < build })
	}
}

// dropUpTo drops the bindings to a build and earlier ones.
func (k keyBindings) dropUpTo(build int) {
	for key := range k {
		k.keep(key, func(b *binding) bool { return b.build > build })
	}
}

func (k keyBindings) keep(key uint64, which func(*binding) bool) {
	k[key] = slices.DeleteFunc(k[key], func(b *binding) bool { return !which(b) })
	if len(k[key]) == 0 {
		delete(k, key)
	}
}

// bindKey binds a key to a build from an attempt on: an answer also counts if it never comes or is not read.
func (d *decider) bindKey(req *request, build int) *binding {
	if build < d.rollout.Build || build <= d.minBuild || !d.settings.KeyAffinity || req.key == 0 {
		return nil
	}
	return d.bindings.bind(req.key, build)
}

// minBuildFor is the earliest build that a key may still go to.
func (d *decider) minBuildFor(key uint64) int {
	if key == 0 {
		return 0
	}
	return max(d.minBuild, d.bindings.latest(key))
}

// raiseMinBuild replaces the keys' bindings by one bound for all keys, once a build is released and no host of an earlier
// one is left.
func (d *decider) raiseMinBuild() {
	if d.rollout.State == RollingBack || d.rollout.State == RolledBack {
		d.minBuild = min(d.minBuild, d.rollout.Build-1)
	}
	if d.rollout.State != Released || !d.settings.KeyAffinity || len(d.hosts) == 0 {
		return
	}
	oldest := slices.MinFunc(d.hosts, func(a, b *host) int { return cmp.Compare(a.build, b.build) }).build
	minBuild := max(d.minBuild, min(oldest, d.rollout.Build))
	if d.rollout.Build < minBuild { // builds are numbered anew
		minBuild = 0
	}
	if minBuild != d.minBuild {
		d.minBuild = minBuild
		d.bindings.dropUpTo(minBuild) // bindKey adds none up to it
	}
}
