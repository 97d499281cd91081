package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// restartMember runs a cluster of three members. Members 1 and 2 decide index 2 without member 3, and member 1 confirms the operation to
// its client. Member 1 then restarts, from an earlier image of its disk if fromImage is true, and a conflicting operation is submitted to
// member 3. Member 2 has either applied index 2 (secondApplied) or only voted there; it reconnects after 150 ms, or after several seconds
// if secondCut is true. restartMember returns the final content of the service at each member, by IP address.
func restartMember(c *qt.C, fromImage, secondCut, secondApplied bool) map[string]string {
	tc := newTestCluster(3, 0, 3)
	for _, ip := range tc.ips {
		tc.start(ip, "")
	}
	tc.connectAll()
	tc.run(2 * second)
	disk, items := tc.members["1"].diskImage()
	tc.deliverable = func(from, to string, m Message) bool {
		return from != "3" && to != "3" && (secondApplied || m.Kind != Commit)
	}
	for _, ip := range []string{"1", "2"} {
		tc.setConnected(ip, "3", false)
		tc.setConnected("3", ip, false)
	}
	tag := tc.submit("1", serviceOperation("gate", 1, "one"))
	tc.run(200 * ms)
	c.Assert(tc.isConfirmed(tag), qt.IsTrue)
	c.Assert(tc.members["2"].node.Applied(), qt.Equals, map[bool]uint64{true: 2, false: 1}[secondApplied])
	tc.stop("1")
	if fromImage {
		tc.members["1"].hardState, tc.members["1"].items = disk, items
	}
	tc.setConnected("2", "1", false)
	restartedAt := tc.now
	tc.deliverable = func(from, to string, m Message) bool {
		return from != "2" && to != "2" || !secondCut && tc.now >= restartedAt+150*ms
	}
	tc.start("1", "")
	tc.setConnected("1", "3", true) // member 2 reconnects later
	tc.setConnected("3", "1", true)
	tc.submit("3", serviceOperation("gate", 1, "two"))
	tc.run(150 * ms)
	tc.connectAll()
	tc.run(4 * second)
	tc.deliverable = nil
	tc.connectAll()
	tc.run(4 * second)
	bodies := map[string]string{}
	for _, ip := range tc.ips {
		bodies[ip] = tc.serviceBody(ip, "gate")
	}
	return bodies
}

// A restarted member must not vote before it has queried the others: a member that runs on an old disk image could otherwise help to
// decide an index twice. If it restarts from its current disk, nothing may be lost, whichever member is cut off.
func TestRestoredDiskImage(t *testing.T) {
	for name, test := range map[string]struct{ fromImage, secondCut, secondApplied bool }{
		"current disk":                       {false, false, true},
		"current disk, member 2 cut off":     {false, true, true},
		"current disk, member 2 only voted":  {false, false, false},
		"old image, member 2 has applied":    {true, false, true},
		"old image, member 2 has only voted": {true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			bodies := restartMember(qt.New(t), test.fromImage, test.secondCut, test.secondApplied)
			for ip, body := range bodies {
				qt.Check(t, body, qt.Contains, "one", qt.Commentf("at member %s", ip))
			}
		})
	}
}

// A known limitation: the loss of a decided value goes undetected if a member on an old disk image and a member that is behind form a
// majority while the only up-to-date member is cut off. Operators must therefore never restore a disk image (docs/operate/core.md).
func TestRestoredDiskImageUndetected(t *testing.T) {
	bodies := restartMember(qt.New(t), true, true, true)
	qt.Check(t, bodies["1"], qt.Contains, "two")
}
