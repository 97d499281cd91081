package simulation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The proposer is partitioned, and the others reverse the state of an evacuation. Before the proposer has detected the partition, it
// must not confirm a call just because its own, stale state already agrees with it.
func TestEvacuationNotConfirmedByStaleProposer(t *testing.T) {
	for _, call := range []string{"evacuation.begin", "evacuation.finish"} {
		withControls(t, 6, 98, func(c *qt.C, cluster *Cluster) {
			other := map[string]string{"evacuation.begin": "evacuation.finish", "evacuation.finish": "evacuation.begin"}[call]
			for _, x := range []string{other, call} {
				status, _, _ := cluster.Call(x, "z0", nil, 5*time.Second, 0)
				c.Assert(status, qt.Equals, 200)
			}
			for _, node := range cluster.Controls[1:] {
				cluster.Network.SetPartition(cluster.Controls[0].Settings.IP, node.Settings.IP, true)
			}
			status, _, raw := cluster.Call(other, "z0", nil, 5*time.Second, 3)
			c.Assert(status, qt.Equals, 200, qt.Commentf("%s", raw))
			client := cluster.httpClient(cluster.Network.Process("10.200.0.31"), time.Second)
			defer client.CloseIdleConnections()
			requests := 0
			for ; cluster.Controls[0].Status() == "in touch"; requests++ {
				status, raw, _ := callRPC(cluster.ctx, client, cluster.controlAddress(0), call, "z0", nil)
				c.Check(status, qt.Not(qt.Equals), 200, qt.Commentf("%s: %s", call, raw))
			}
			c.Check(requests > 0, qt.IsTrue)
		})
	}
}
