package simulation

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Of three one is gone for good, and the machine that came in its place loses its disk as soon as it is a member: whenever that
// is, the two that were well all the time go on, as they were more than half before it came.
func TestCoreSuccessorWiped(t *testing.T) {
	for _, after := range []time.Duration{0, 800 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second, 2400 * time.Millisecond, 4 * time.Second} {
		withControls(t, 3, 97, func(c *qt.C, cluster *Cluster) {
			node := cluster.Controls[2]
			node.Replace()
			time.Sleep(after)
			node.mustStart()
			waitUntil(c, 10*time.Second, "its successor is a member", func() bool {
				return slices.Contains(memberNames(cluster.coreStatus(0).Members), node.Settings.Name)
			})
			node.Kill()
			node.Disk.Wipe()
			time.Sleep(5 * time.Second)
			status, _, raw := cluster.Call("configuration.modify", "", cluster.ChangeBody(false, unsafeRoute), 5*time.Second, 0)
			c.Check(status, qt.Equals, 200, qt.Commentf("started after %v: %s", after, raw))
			node.mustStart()
			waitUntil(c, 10*time.Second, "one core", func() bool { return cluster.converged(3) })
		})
	}
}
