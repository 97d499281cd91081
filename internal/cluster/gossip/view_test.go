package gossip

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/random"
)

// Processes that start from the same three seeds must end up in one connected graph of bounded views, with each process in at least one
// view and in not too many, and terminated members must disappear from the views.
func TestShuffles(t *testing.T) {
	for _, n := range []int{19, 98, 300} {
		c := qt.New(t)
		ip := func(i int) string { return fmt.Sprintf("10.0.%d.%d", i/250, i%250+1) }
		views := map[string]*PartialView{}
		for i := range n {
			views[ip(i)] = NewPartialView(Member{IP: ip(i), Kind: Proxy}, &random.Source{Seed: uint64(i)})
			for seed := range 3 {
				views[ip(i)].Add(Member{IP: ip(seed), Kind: Proxy})
			}
		}
		dead := map[string]bool{}
		round := func() {
			for i := range n {
				v := views[ip(i)]
				if dead[ip(i)] {
					continue
				}
				if to, sample, ok := v.BeginShuffle(); ok && !dead[to.IP] {
					v.EndShuffle(to, views[to.IP].AnswerShuffle(v.self, sample))
				}
			}
		}
		for range 40 {
			round()
		}
		reached, queue := map[string]bool{ip(0): true}, []string{ip(0)}
		known := map[string]int{}
		for len(queue) > 0 {
			addr := queue[0]
			queue = queue[1:]
			for _, m := range views[addr].Members() {
				if known[m.IP]++; !reached[m.IP] {
					reached[m.IP] = true
					queue = append(queue, m.IP)
				}
			}
			c.Check(len(views[addr].Members()) <= MaxViewSize, qt.IsTrue)
		}
		c.Check(reached, qt.HasLen, n)
		for i := range n {
			c.Check(known[ip(i)] >= 1 && known[ip(i)] <= 6*MaxViewSize, qt.IsTrue, qt.Commentf("%s in %d views", ip(i), known[ip(i)]))
		}
		for i := 0; i < n; i += 4 {
			dead[ip(i)] = true
		}
		for range 60 {
			round()
		}
		stale, total := 0, 0
		for i := range n {
			for _, m := range views[ip(i)].Members() {
				if !dead[ip(i)] {
					total++
					if dead[m.IP] {
						stale++
					}
				}
			}
		}
		c.Check(stale*20 < total, qt.IsTrue, qt.Commentf("%d of %d view entries are terminated members", stale, total))
	}
}
