package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// restartMember plays a core of three: the first and second decide index 2, of which the third learns nothing, and the first answers its
// client. Then the first starts with an earlier image of its disk, or with the disk itself, and a rival operation is submitted to the third
// at once. The second is up, or cut off; it has applied the index, or only voted on it. It returns what each has in the end.
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
	tc.setConnected("1", "3", true) // the second is connected 150 ms later
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

// A member that starts does not vote until it has asked the others, so that a restored image of its disk does no harm as long as one is
// connected that knows better. Its own disk is no image: nothing is lost whoever is cut off.
func TestRestoredDiskImage(t *testing.T) {
	for name, test := range map[string]struct{ fromImage, secondCut, secondApplied bool }{
		"its own disk":                        {false, false, true},
		"its own disk, the second cut off":    {false, true, true},
		"its own disk, the second only voted": {false, false, false},
		"an image, the second has applied":    {true, false, true},
		"an image, the second has only voted": {true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			bodies := restartMember(qt.New(t), test.fromImage, test.secondCut, test.secondApplied)
			for ip, body := range bodies {
				qt.Check(t, body, qt.Contains, "one", qt.Commentf("at %s", ip))
			}
		})
	}
}

// What can't be noticed: an image and a member that is behind are a majority, and the one that knows better is cut off. It is why operators
// never restore an image (docs/operate/core.md).
func TestRestoredDiskImageUndetected(t *testing.T) {
	bodies := restartMember(qt.New(t), true, true, true)
	qt.Check(t, bodies["1"], qt.Contains, "two")
}
