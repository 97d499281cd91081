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

// randomOperation returns an operation on one of few names, so that many concern the same.
func randomOperation(draw *rand.Rand, set *config.Set, now int64) Operation {
	rolloutItem, _ := set.Lookup(config.Key{Kind: config.KindRollouts, Name: "desk"})
	newest := rollout.FromItem(rolloutItem)
	at := func() membership.Member {
		ip := draw.IntN(6)
		return membership.Member{IP: fmt.Sprint("10.0.0.", ip), ID: fmt.Sprint("d", draw.IntN(3)), Name: fmt.Sprint("n", ip), Zone: fmt.Sprint("z", ip%3)}
	}
	switch draw.IntN(12) {
	case 0, 1, 2, 3:
		o := Operation{Kind: ModifyConfig}
		for range 1 + draw.IntN(3) {
			version := set.HighestVersion() + uint64(draw.IntN(3))
			name := fmt.Sprint("r", draw.IntN(5))
			switch draw.IntN(6) {
			case 0:
				o.Items = append(o.Items, service([]string{"desk", "bags"}[draw.IntN(2)], version))
			case 1:
				o.Items = append(o.Items, dropped(config.KindRoutes, name, version))
			default:
				o.Items = append(o.Items, route(name, version, []string{"desk", "bags", "nowhere"}[draw.IntN(3)], fmt.Sprint("c", draw.IntN(3))))
			}
		}
		return o
	case 4:
		return Operation{Kind: Evacuate, Name: fmt.Sprint("z", draw.IntN(2)), Active: draw.IntN(2) == 0}
	case 5, 6:
		return Operation{Kind: BeginRollout, Name: "desk", TargetVersion: fmt.Sprint("v", draw.IntN(3)), Duration: 10 * second, RetryWindow: 5 * second, SubmittedAt: now,
			ClockAgreed: draw.IntN(2) == 0, KnownRollout: newest.Number - uint64(min(draw.IntN(4), 1)), KnownRolloutAge: draw.Int64N(20 * second)}
	case 7:
		return Operation{Kind: EndRollout, Name: "desk", Expected: newest.Number, Outcome: rollout.State(1 + draw.IntN(3)), SubmittedAt: now}
	case 8:
		return Operation{Kind: CompleteSwitch, Name: "desk", Expected: newest.Number}
	case 9:
		return Operation{Kind: SetInitialVersion, Name: []string{"desk", "bags"}[draw.IntN(2)], Version: fmt.Sprint("v", draw.IntN(2))}
	case 10:
		o := Operation{Kind: ChangeMembers, Add: []membership.Member{at(), at()}, Remove: []string{at().IP}, Expected: membership.FromSet(set).Epoch * uint64(draw.IntN(2))}
		if draw.IntN(4) == 0 {
			o.Exclude = []membership.Member{at()}
		}
		return o
	}
	return Operation{Kind: RestoreSnapshot, Version: fmt.Sprint("snapshot", draw.IntN(4)), Expected: membership.FromSet(set).Epoch,
		Items: []config.Item{service("desk", 1), route("r0", 2, "desk", "a")}}
}

// What random operations make of a set, also when they are conditional and repeated, is what it was. The order of the fields of items and
// the numbers of kinds of errors count; names don't, but the texts of errors do.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"642c1648d149b2cf", "4ba78587696ac7b8", "2bb1ef900fdfafad", "a223a450d5ca658f"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		set := config.NewSet()
		set.Apply([]config.Item{service("desk", 1), service("bags", 1)})
		now := 100 * second
		var sent []Operation
		for range 60 {
			now += draw.Int64N(3 * second)
			o := randomOperation(draw, set, now)
			if draw.IntN(4) == 0 {
				o = Bind(set, o)
			}
			if len(sent) > 0 && draw.IntN(5) == 0 {
				o = sent[draw.IntN(len(sent))]
			}
			sent = append(sent, o)
			items, err := Apply(set, o)
			d.Add(o, items, err, apierror.KindOf(err), o.DependsOnState(), ReplacesAll(items))
			if err != nil {
				continue
			}
			if ReplacesAll(items) {
				changed, gone := set.ReplaceAll(items[1:])
				d.Add(changed, gone)
			} else {
				d.Add(set.Apply(items))
			}
			d.Add(set.Checksum())
		}
		a, b := route("r", 1, "desk", "a"), route("r", 1, "bags", fmt.Sprint(seed%2))
		d.Add(DifferingField(a, b), DifferingField(a, a))
	})
}
