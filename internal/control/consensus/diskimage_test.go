package consensus

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// restoreImage plays a core of three: the first and second decide number 2, which the third never hears of, and the first
// answers its caller. Then the first starts with an image of its disk of before, or with the disk itself, and the third is asked
// for a rival at once. The second is up, or cut off; it has applied the number, or only voted on it. It tells what stands at each.
func restoreImage(c *qt.C, image, cut, applied bool) map[string]string {
	p := newTestCluster(3, 0, 3)
	for _, ip := range p.ips {
		p.start(ip, "")
	}
	p.connectAll()
	p.run(2 * second)
	disk, items := p.members["1"].diskImage()
	p.allowed = func(from, to string, m Message) bool {
		return from != "3" && to != "3" && (applied || m.Kind != Commit)
	}
	for _, ip := range []string{"1", "2"} {
		p.setHeard(ip, "3", false)
		p.setHeard("3", ip, false)
	}
	tag := p.submit("1", serviceOperation("gate", 1, "one"))
	p.run(200 * ms)
	c.Assert(p.isConfirmed(tag), qt.IsTrue)
	c.Assert(p.members["2"].node.Applied(), qt.Equals, map[bool]uint64{true: 2, false: 1}[applied])
	p.stop("1")
	if image {
		p.members["1"].hardState, p.members["1"].items = disk, items
	}
	p.setHeard("2", "1", false)
	began := p.now
	p.allowed = func(from, to string, m Message) bool {
		return from != "2" && to != "2" || !cut && p.now >= began+150*ms
	}
	p.start("1", "")
	p.setHeard("1", "3", true) // the second is heard 150 ms later
	p.setHeard("3", "1", true)
	p.submit("3", serviceOperation("gate", 1, "two"))
	p.run(150 * ms)
	p.connectAll()
	p.run(4 * second)
	p.allowed = nil
	p.connectAll()
	p.run(4 * second)
	at := map[string]string{}
	for _, ip := range p.ips {
		at[ip] = p.serviceBody(ip, "gate")
	}
	return at
}

// A member that starts counts for nothing until it has asked the others, so that an image of its disk which was put back is
// found as long as one is heard that knows better. Its own disk is no image: nothing is lost whoever is cut off.
func TestImagePutBack(t *testing.T) {
	for name, x := range map[string]struct{ image, cut, applied bool }{
		"its own disk":                        {false, false, true},
		"its own disk, the second cut off":    {false, true, true},
		"its own disk, the second only voted": {false, false, false},
		"an image, the second has applied":    {true, false, true},
		"an image, the second has only voted": {true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			at := restoreImage(qt.New(t), x.image, x.cut, x.applied)
			for ip, body := range at {
				qt.Check(t, body, qt.Contains, "one", qt.Commentf("at %s", ip))
			}
		})
	}
}

// What nothing can tell: an image and a member that is behind are more than half, and who knows better is cut off. It is why
// operators never put one back (docs/operate/core.md).
func TestImagePutBackUnseen(t *testing.T) {
	at := restoreImage(qt.New(t), true, true, true)
	qt.Check(t, at["1"], qt.Contains, "two")
}
