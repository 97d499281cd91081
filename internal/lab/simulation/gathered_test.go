package simulation

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/stream"
)

// Hosts end one after the other, a hundred a second: each of them is news to all, and goes to each router with what came close to it,
// not by itself. A single change goes at once.
func TestNewsIsGathered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := small
		l.Zones, l.Routers, l.Hosts, l.Rate = 6, 4, 10, 1
		h := opened(c, l)
		time.Sleep(4 * time.Second)
		said := stream.FramesWritten.Load()
		for _, q := range h.Quays[:50] {
			q.Drain()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		frames := stream.FramesWritten.Load() - said
		c.Logf("%d frames for 50 hosts, 24 routers and 6 control processes", frames)
		c.Check(frames < 490, qt.IsTrue, qt.Commentf("%d", frames))
		for _, f := range h.Fairways {
			c.Check(f.Running.UsableHosts("desk"), qt.Equals, 10)
		}

		changed := look
		changed.Version = "0000000a"
		configure(c, h, h.Configure(false, changed), 0)
		time.Sleep(40 * time.Millisecond) // one way between regions
		for _, f := range h.Fairways {
			c.Check(f.Running.RouteVersions()[look.Name], qt.Equals, uint64(10), qt.Commentf(f.Boot.Name))
		}
	})
}
