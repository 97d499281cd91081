package quorum

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// imagePutBack plays a core of three: the first and second decide number 2, which the third never hears of, and the first
// answers its caller. Then the first starts with an image of its disk of before, or with the disk itself, and the third is asked
// for a rival at once. The second is up, or cut off; it has applied the number, or only voted on it. It tells what stands at each.
func imagePutBack(c *qt.C, image, cut, applied bool) map[string]string {
	p := newPool(3, 0, 3)
	for _, ip := range p.ips {
		p.on(ip, "")
	}
	p.meet()
	p.run(2 * second)
	disk, items := p.at["1"].image()
	p.may = func(from, to string, m Message) bool {
		return from != "3" && to != "3" && (applied || m.Kind != Commit)
	}
	for _, ip := range []string{"1", "2"} {
		p.hears(ip, "3", false)
		p.hears("3", ip, false)
	}
	tag := p.order("1", gate("gate", 1, "one"))
	p.run(200 * ms)
	c.Assert(p.confirmed(tag), qt.IsTrue)
	c.Assert(p.at["2"].node.Applied(), qt.Equals, map[bool]uint64{true: 2, false: 1}[applied])
	p.off("1")
	if image {
		p.at["1"].disk, p.at["1"].items = disk, items
	}
	p.hears("2", "1", false)
	began := p.now
	p.may = func(from, to string, m Message) bool {
		return from != "2" && to != "2" || !cut && p.now >= began+150*ms
	}
	p.on("1", "")
	p.hears("1", "3", true) // the second is heard 150 ms later
	p.hears("3", "1", true)
	tag = p.order("3", gate("gate", 1, "two"))
	p.run(150 * ms)
	p.meet()
	p.run(4 * second)
	p.may = nil
	p.meet()
	p.run(4 * second)
	at := map[string]string{}
	for _, ip := range p.ips {
		at[ip] = p.body(ip, "gate")
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
			at := imagePutBack(qt.New(t), x.image, x.cut, x.applied)
			for ip, body := range at {
				qt.Check(t, body, qt.Contains, "one", qt.Commentf("at %s", ip))
			}
		})
	}
}

// What nothing can tell: an image and a member that is behind are more than half, and who knows better is cut off. It is why
// operators never put one back (docs/operate/core.md).
func TestImagePutBackUnseen(t *testing.T) {
	at := imagePutBack(qt.New(t), true, true, true)
	qt.Check(t, at["1"], qt.Contains, "two")
}
