package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/cluster/config"
	"portflow/internal/testing/digest"
)

// Lists of members under random changes, what they tolerate, and the tolerance over time, are what they were. The order of the fields of
// lists counts; names don't.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"2211adb74ac4631a", "12fe61352c20af2b", "62de7e76daff1ee3"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		drawn := func() Member {
			ip := draw.IntN(9)
			return Member{IP: fmt.Sprint("10.0.0.", ip), ID: fmt.Sprint("d", draw.IntN(3)), Name: fmt.Sprint("n", ip), Zone: fmt.Sprint("z", ip%3)}
		}
		var l List
		var margin Tolerance
		now := int64(1)
		for n := range 80 {
			var in, out []Member
			for range draw.IntN(3) {
				in = append(in, drawn())
			}
			for range draw.IntN(2) {
				out = append(out, drawn())
			}
			var gone, down []string
			for _, m := range out {
				gone = append(gone, m.IP)
			}
			for range draw.IntN(3) {
				down = append(down, drawn().IP)
			}
			switch draw.IntN(6) {
			case 0:
				l = l.Exclude(out)
			case 1:
				l = l.WithRestored(fmt.Sprint("snapshot", n%12))
			default:
				l = l.Change(in, gone)
			}
			yes := map[string]string{}
			for range draw.IntN(9) {
				m := drawn()
				yes[m.IP] = m.ID
			}
			members, zones := l.Tolerates(down)
			now += draw.Int64N(5e9)
			began, over := margin.Observe(now, l, down)
			d.Add(l, l.Item(), members, zones, l.Majority(), l.QuorumMargin(yes), l.HasQuorum(yes), l.Removable(down, 1), began, over,
				margin.Baseline, margin.Current, margin.LostAt, margin.Lost, margin.LastOutage, l.Excludes("d1"))
			at, there := l.ByIP("10.0.0.1")
			d.Add(at, there, l.Contains(at.IP, at.ID))
			set := config.NewSet()
			set.Merge(l.Item())
			d.Add(FromSet(set), FromItem(l.Item()), set.Members())
		}
	})
}
