package config

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Members is called for each heartbeat of an instance in another zone. It must not decode the item on each call or scan the set, and must
// reflect each change of the members immediately.
func TestMembersCost(t *testing.T) {
	c := qt.New(t)
	s := NewSet()
	list := func(epoch uint64, zones ...string) Item {
		body := `{"e":` + fmt.Sprint(epoch) + `,"m":[`
		for n, z := range zones {
			if n > 0 {
				body += ","
			}
			body += fmt.Sprintf(`{"p":"10.0.0.%d","z":"%s"}`, n, z)
		}
		return Item{Kind: KindCore, Name: "members", Version: epoch, Body: []byte(body + "]}")}
	}
	s.Merge(list(1, "a", "a", "a", "a", "a", "a", "a"))
	for n := range 4000 {
		s.Merge(Item{Kind: KindRoutes, Name: fmt.Sprint("route-", n), Version: 1, Body: []byte(`{"name":"r"}`)})
	}
	c.Assert(s.Members(), qt.HasLen, 7)
	c.Check(testing.AllocsPerRun(100, func() { s.Members() }) <= 4, qt.IsTrue) // decoding the body takes about 30
	s.Members()["10.0.0.0"] = "spoilt"
	c.Check(s.Members()["10.0.0.0"], qt.Equals, "a")
	s.Merge(list(2, "b", "a", "a", "a", "a", "a", "a"))
	c.Check(s.Members()["10.0.0.0"], qt.Equals, "b")
	clone := s.Clone()
	clone.Merge(list(3, "b", "a", "a", "a", "a", "a", "a", "c"))
	c.Check(clone.Members(), qt.HasLen, 8)
	c.Check(s.Members(), qt.HasLen, 7)
	s.Merge(list(4, "b", "a", "a", "a", "a", "a"))
	c.Check(s.Members(), qt.HasLen, 6)
	s.ReplaceAll([]Item{list(5, "b", "a")}) // also if the whole set is replaced
	c.Check(s.Members(), qt.HasLen, 2)
	s.ReplacePartitions([]int{Key{KindCore, "members"}.partition()}, []Item{list(6, "b")})
	c.Check(s.Members(), qt.HasLen, 1)
}
