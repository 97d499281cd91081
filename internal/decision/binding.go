package decision

import (
	"cmp"
	"slices"
)

// Key affinity: once a build has answered a request with a key, or may have answered it, further requests with that key must
// not go to an earlier build.

// affinity holds the bindings of keys to builds.
type affinity struct {
	bindings  keyBindings      // bindings to builds after minBuild
	minBuild  int              // requests with any key go to this build or a later one
	keySeenAt map[uint64]int64 // when the last request of a key was received; kept for keyMemory
}

// binding binds a key to a build. answers counts the attempts for the key that this build has answered or may still answer.
type binding struct{ build, answers int }

// keyBindings holds the bindings of each key, sorted by build. The last one of a key applies.
type keyBindings map[uint64][]*binding

// latest returns the latest build that a key is bound to, or 0 if there is none.
func (k keyBindings) latest(key uint64) int {
	if all := k[key]; len(all) > 0 {
		return all[len(all)-1].build
	}
	return 0
}

// bind counts an answer of a build to a key, and binds the key to the build if it was not bound before.
func (k keyBindings) bind(key uint64, build int) *binding {
	i, ok := slices.BinarySearchFunc(k[key], build, func(b *binding, build int) int { return b.build - build })
	if !ok {
		k[key] = slices.Insert(k[key], i, &binding{build: build})
	}
	b := k[key][i]
	b.answers++
	return b
}

// unbind reverts one call of bind that returned b. It does nothing if b is nil.
func (k keyBindings) unbind(key uint64, b *binding) {
	if b == nil {
		return
	}
	b.answers--
	if b.answers == 0 {
		k.keep(key, func(other *binding) bool { return other != b })
	}
}

// dropFrom removes the bindings to a build and to later ones.
func (k keyBindings) dropFrom(build int) {
	for key := range k {
		k.keep(key, func(b *binding) bool { return b.build < build })
	}
}

// dropUpTo removes the bindings to a build and to earlier ones.
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

// bindKey binds a request's key to a build when an attempt starts, as the build may run the request even if its answer never
// arrives. It returns nil if the key needs no binding.
func (d *decider) bindKey(req *request, build int) *binding {
	if build < d.rollout.Build || build <= d.minBuild || !d.settings.KeyAffinity || req.key == 0 {
		return nil
	}
	return d.bindings.bind(req.key, build)
}

// minBuildFor returns the earliest build that requests with a key may go to.
func (d *decider) minBuildFor(key uint64) int {
	if key == 0 {
		return 0
	}
	return max(d.minBuild, d.bindings.latest(key))
}

// raiseMinBuild raises minBuild, which applies to all keys, to the oldest build that still has hosts once the newest build is
// released, and drops the bindings that minBuild makes redundant. During and after a rollback it lowers minBuild below the
// build that is rolled back.
func (d *decider) raiseMinBuild() {
	if d.rollout.State == RollingBack || d.rollout.State == RolledBack {
		d.minBuild = min(d.minBuild, d.rollout.Build-1)
	}
	if d.rollout.State != Released || !d.settings.KeyAffinity || len(d.hosts) == 0 {
		return
	}
	oldest := slices.MinFunc(d.hosts, func(a, b *host) int { return cmp.Compare(a.build, b.build) }).build
	minBuild := max(d.minBuild, min(oldest, d.rollout.Build))
	if d.rollout.Build < minBuild { // the numbering of builds has restarted
		minBuild = 0
	}
	if minBuild != d.minBuild {
		d.minBuild = minBuild
		d.bindings.dropUpTo(minBuild) // bindKey adds no bindings up to minBuild
	}
}
