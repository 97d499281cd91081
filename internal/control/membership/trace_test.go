package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/cluster/config"
	"portflow/internal/testing/digest"
)

// Pins the behaviour of lists and of Tolerance under random changes. The digests depend on the order of the struct fields, not on names.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"2211adb74ac4631a", "12fe61352c20af2b", "62de7e76daff1ee3"}, func(seed uint64, d *digest.Digest) {
		rng := rand.New(rand.NewPCG(seed, 1))
		randomMember := func() Member {
			ip := rng.IntN(9)
			return Member{IP: fmt.Sprint("10.0.0.", ip), ID: fmt.Sprint("d", rng.IntN(3)), Name: fmt.Sprint("n", ip), Zone: fmt.Sprint("z", ip%3)}
		}
		var l List
		var tolerance Tolerance
		now := int64(1)
		for n := range 80 {
			var joining, removed []Member
			for range rng.IntN(3) {
				joining = append(joining, randomMember())
			}
			for range rng.IntN(2) {
				removed = append(removed, randomMember())
			}
			var leaving, down []string
			for _, m := range removed {
				leaving = append(leaving, m.IP)
			}
			for range rng.IntN(3) {
				down = append(down, randomMember().IP)
			}
			switch rng.IntN(6) {
			case 0:
				l = l.Exclude(removed)
			case 1:
				l = l.WithRestored(fmt.Sprint("snapshot", n%12))
			default:
				l = l.Change(joining, leaving)
			}
			acks := map[string]string{}
			for range rng.IntN(9) {
				m := randomMember()
				acks[m.IP] = m.ID
			}
			members, zones := l.Tolerates(down)
			now += rng.Int64N(5e9)
			began, restored := tolerance.Observe(now, l, down)
			d.Add(l, l.Item(), members, zones, l.Majority(), l.QuorumMargin(acks), l.HasQuorum(acks), l.Removable(down, 1), began, restored,
				tolerance.Baseline, tolerance.Current, tolerance.LostAt, tolerance.Lost, tolerance.LastOutage, l.Excludes("d1"))
			found, exists := l.ByIP("10.0.0.1")
			d.Add(found, exists, l.Contains(found.IP, found.ID))
			set := config.NewSet()
			set.Merge(l.Item())
			d.Add(FromSet(set), FromItem(l.Item()), set.Members())
		}
	})
}
