package simulation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The process that proposes is cut off, and the others end an evacuation. Until it knows that it is cut off it may not confirm
// that the evacuation stands: that it does here says nothing.
func TestEvacuationWhereItStoodBefore(t *testing.T) {
	for _, call := range []string{"evacuation.begin", "evacuation.finish"} {
		cored(t, 6, 98, func(c *qt.C, h *Harbour) {
			other := map[string]string{"evacuation.begin": "evacuation.finish", "evacuation.finish": "evacuation.begin"}[call]
			for _, x := range []string{other, call} {
				status, _, _ := h.Order(x, "z0", nil, 5*time.Second, 0)
				c.Assert(status, qt.Equals, 200)
			}
			for _, m := range h.Masters[1:] {
				h.Sea.Cut(h.Masters[0].Boot.IP, m.Boot.IP, true)
			}
			status, _, raw := h.Order(other, "z0", nil, 5*time.Second, 3)
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
			client := h.client(h.Sea.Process("10.200.0.31"), time.Second)
			defer client.CloseIdleConnections()
			asked := 0
			for ; h.Masters[0].Standing() == "in touch"; asked++ {
				status, raw, _ := post(h.ctx, client, h.control(0), call, "z0", nil)
				c.Check(status, qt.Not(qt.Equals), 200, qt.Commentf("%s: %s", call, raw))
			}
			c.Check(asked > 0, qt.IsTrue)
		})
	}
}
