package muster

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/harbour/manifest"
	"portflow/internal/testing/digest"
)

// Lists of members under drawn changes, what they say of drawn losses, and the margin that is followed over time, are what they
// were. The order of the fields of lists counts; names don't.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"2211adb74ac4631a", "12fe61352c20af2b", "62de7e76daff1ee3"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		drawn := func() Member {
			ip := draw.IntN(9)
			return Member{IP: fmt.Sprint("10.0.0.", ip), ID: fmt.Sprint("d", draw.IntN(3)), Name: fmt.Sprint("n", ip), Zone: fmt.Sprint("z", ip%3)}
		}
		var l List
		var margin Margin
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
				l = l.Hold(out)
			case 1:
				l = l.Restore(fmt.Sprint("snapshot", n%12))
			default:
				l = l.Join(in, gone)
			}
			yes := map[string]string{}
			for range draw.IntN(9) {
				m := drawn()
				yes[m.IP] = m.ID
			}
			members, zones := l.Bears(down)
			now += draw.Int64N(5e9)
			began, over := margin.See(now, l, down)
			d.Add(l, l.Item(), members, zones, l.Majority(), l.Margin(yes), l.Quorum(yes), l.Surplus(down, 1), began, over,
				margin.Level, margin.Now, margin.Since, margin.Lost, margin.Last, l.Holds("d1"))
			at, there := l.At("10.0.0.1")
			d.Add(at, there, l.Has(at.IP, at.ID))
			set := manifest.NewSet()
			set.Merge(l.Item())
			d.Add(Of(set), Read(l.Item()), set.Members())
		}
	})
}
