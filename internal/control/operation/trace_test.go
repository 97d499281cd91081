package operation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
	"portflow/internal/control/membership"
	"portflow/internal/testing/digest"
)

// randomOperation returns an operation on one of a few names, so that many operations affect the same item.
func randomOperation(rng *rand.Rand, set *config.Set, now int64) Operation {
	rolloutItem, _ := set.Lookup(config.Key{Kind: config.KindRollouts, Name: "desk"})
	newest := rollout.FromItem(rolloutItem)
	randomMember := func() membership.Member {
		ip := rng.IntN(6)
		return membership.Member{IP: fmt.Sprint("10.0.0.", ip), ID: fmt.Sprint("d", rng.IntN(3)), Name: fmt.Sprint("n", ip), Zone: fmt.Sprint("z", ip%3)}
	}
	switch rng.IntN(12) {
	case 0, 1, 2, 3:
		o := Operation{Kind: ModifyConfig}
		for range 1 + rng.IntN(3) {
			version := set.HighestVersion() + uint64(rng.IntN(3))
			name := fmt.Sprint("r", rng.IntN(5))
			switch rng.IntN(6) {
			case 0:
				o.Items = append(o.Items, service([]string{"desk", "bags"}[rng.IntN(2)], version))
			case 1:
				o.Items = append(o.Items, tombstone(config.KindRoutes, name, version))
			default:
				o.Items = append(o.Items, route(name, version, []string{"desk", "bags", "nowhere"}[rng.IntN(3)], fmt.Sprint("c", rng.IntN(3))))
			}
		}
		return o
	case 4:
		return Operation{Kind: Evacuate, Name: fmt.Sprint("z", rng.IntN(2)), Active: rng.IntN(2) == 0}
	case 5, 6:
		return Operation{Kind: BeginRollout, Name: "desk", TargetVersion: fmt.Sprint("v", rng.IntN(3)), Duration: 10 * second, RetryWindow: 5 * second, SubmittedAt: now,
			ClockAgreed: rng.IntN(2) == 0, KnownRollout: newest.Number - uint64(min(rng.IntN(4), 1)), KnownRolloutAge: rng.Int64N(20 * second)}
	case 7:
		return Operation{Kind: EndRollout, Name: "desk", Expected: newest.Number, Outcome: rollout.State(1 + rng.IntN(3)), SubmittedAt: now}
	case 8:
		return Operation{Kind: CompleteSwitch, Name: "desk", Expected: newest.Number}
	case 9:
		return Operation{Kind: SetInitialVersion, Name: []string{"desk", "bags"}[rng.IntN(2)], Version: fmt.Sprint("v", rng.IntN(2))}
	case 10:
		o := Operation{Kind: ChangeMembers, Add: []membership.Member{randomMember(), randomMember()}, Remove: []string{randomMember().IP}, Expected: membership.FromSet(set).Epoch * uint64(rng.IntN(2))}
		if rng.IntN(4) == 0 {
			o.Exclude = []membership.Member{randomMember()}
		}
		return o
	}
	return Operation{Kind: RestoreSnapshot, Version: fmt.Sprint("snapshot", rng.IntN(4)), Expected: membership.FromSet(set).Epoch,
		Items: []config.Item{service("desk", 1), route("r0", 2, "desk", "a")}}
}

// Pins the effect of random operations on a set, some of them conditional or repeated. The digests depend on the order of the struct fields,
// the numeric error kinds and the error texts, not on identifiers.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"642c1648d149b2cf", "4ba78587696ac7b8", "2bb1ef900fdfafad", "a223a450d5ca658f"}, func(seed uint64, d *digest.Digest) {
		rng := rand.New(rand.NewPCG(seed, 1))
		set := config.NewSet()
		set.Apply([]config.Item{service("desk", 1), service("bags", 1)})
		now := 100 * second
		var submitted []Operation
		for range 60 {
			now += rng.Int64N(3 * second)
			o := randomOperation(rng, set, now)
			if rng.IntN(4) == 0 {
				o = Bind(set, o)
			}
			if len(submitted) > 0 && rng.IntN(5) == 0 {
				o = submitted[rng.IntN(len(submitted))]
			}
			submitted = append(submitted, o)
			items, err := Apply(set, o)
			d.Add(o, items, err, apierror.KindOf(err), o.DependsOnState(), ReplacesAll(items))
			if err != nil {
				continue
			}
			if ReplacesAll(items) {
				changed, removed := set.ReplaceAll(RestoredItems(set, items))
				d.Add(changed, removed)
			} else {
				set.Apply(items)
				d.Add([]config.Key(nil)) // the digests date from when Apply returned evicted keys, none in this test
			}
			d.Add(set.Checksum())
		}
		a, b := route("r", 1, "desk", "a"), route("r", 1, "bags", fmt.Sprint(seed%2))
		d.Add(DifferingField(a, b), DifferingField(a, a))
	})
}
