package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
)

// A member of an earlier release has evicted a tombstone that the others have, and takes an older change for a new one. The members' live
// items came to differ when each compared the versions of a decided value for itself. All must apply a decided value alike.
func TestMembersAgreeDespiteEvictedTombstone(t *testing.T) {
	c := qt.New(t)
	tc := newTestCluster(3, 0, 3)
	dropped := config.Item{Kind: config.KindServices, Name: "bags", Version: 5, Deleted: true}
	for _, ip := range []string{"2", "3"} {
		tc.members[ip].items[dropped.Key()] = dropped
	}
	for _, ip := range tc.ips {
		tc.start(ip, "")
	}
	tc.connectAll()
	tc.run(2 * second)
	older := tc.submit("1", serviceOperation("bags", 4, "old"))
	tc.run(3 * second)
	c.Assert(tc.isConfirmed(older), qt.IsTrue)
	for _, ip := range tc.ips {
		c.Check(tc.serviceBody(ip, "bags"), qt.Equals, `{"health-path":"/old","name":"bags"}`, qt.Commentf("member %s", ip))
	}
	newer := tc.submit("2", serviceOperation("bags", 6, "new"))
	tc.run(3 * second)
	c.Assert(tc.isConfirmed(newer), qt.IsTrue)
	drop := tc.submit("3", operation.Operation{Kind: operation.ModifyConfig, Items: []config.Item{{Kind: config.KindServices, Name: "bags", Version: 7, Deleted: true}}})
	tc.run(3 * second)
	c.Assert(tc.isConfirmed(drop), qt.IsTrue)
	want := tc.members["1"].node.Set.Checksum()
	for _, ip := range tc.ips {
		c.Check(tc.members[ip].node.Set.Checksum(), qt.Equals, want, qt.Commentf("member %s", ip))
	}
}
