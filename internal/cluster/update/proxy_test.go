package update

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSupersedesAndReadyProxies(t *testing.T) {
	c := qt.New(t)
	for _, x := range []struct {
		a, b Proxy
		want bool
	}{
		{Proxy{RegisteredAt: 2}, Proxy{RegisteredAt: 1, Revision: 9}, true},
		{Proxy{RegisteredAt: 1, Revision: 2}, Proxy{RegisteredAt: 1, Revision: 1, Gone: true}, true},
		{Proxy{RegisteredAt: 1, Gone: true}, Proxy{RegisteredAt: 1}, true},
		{Proxy{RegisteredAt: 1}, Proxy{RegisteredAt: 1, Gone: true}, false},
		{Proxy{RegisteredAt: 1}, Proxy{RegisteredAt: 1}, false},
	} {
		c.Check(x.a.Supersedes(x.b), qt.Equals, x.want)
	}
	ready := ReadyProxies(map[string]Proxy{"c": {Name: "c", Ready: true}, "a": {Name: "a", Ready: true}, "b": {Name: "b"},
		"d": {Name: "d", Ready: true, Gone: true}})
	c.Check(fmt.Sprint(ready[0].Name, ready[1].Name, len(ready)), qt.Equals, "ac2")
}
