package decay

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Decay must depend on the elapsed time, not on the number of calls, and must ignore an earlier time.
func TestSum(t *testing.T) {
	c := qt.New(t)
	var once, often Sum
	once.Add(100, 50, 3)
	often.Add(100, 50, 3)
	for now := int64(100); now <= 200; now += 10 {
		often.Decay(now, 50)
	}
	once.Decay(200, 50)
	c.Check(math.Abs(once.Count-math.Exp(-2)) < 1e-12 && math.Abs(once.Total-3*math.Exp(-2)) < 1e-12, qt.IsTrue)
	c.Check(math.Abs(once.Count-often.Count) < 1e-12, qt.IsTrue)
	before := once
	once.Decay(150, 50)
	c.Check(once, qt.Equals, before)
}
