package config

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestLongestPrefix(t *testing.T) {
	c := qt.New(t)
	table := NewRoutingTable(parseSet(c, changeJSON("r1 a.example / desk 00000002", "r2 a.example /one/ desk 00000002", "r3 a.example /one/two/ desk 00000002")))
	for path, want := range map[string]string{"/": "r1", "/one": "r1", "/one/": "r2", "/one/tw": "r2", "/one/two/x": "r3"} {
		c.Check(table.Match("a.example", path).Name, qt.Equals, want, qt.Commentf(path))
	}
	c.Check(table.Match("b.example", "/"), qt.IsNil)
}
