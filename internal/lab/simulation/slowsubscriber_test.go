package simulation

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
)

// slowApply is how long the subscriber of TestSlowSubscriberStaysCurrent takes for a batch: ten times the interval between two batches.
const slowApply = 400 * time.Millisecond

// Guards against a proxy that applies updates more slowly than they arise falling behind without bound, so that it learns of departures
// long after they were acknowledged: it must learn of one within the drain limit.
func TestSlowSubscriberStaysCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cluster := startWithRoutes(c, 10)
		departing := cluster.Hosts[0]
		var learnedAt atomic.Int64 // Unix nanoseconds; 0 for never
		subscriber := cluster.subscribeSlowly(c, 0, func(batch update.Batch) {
			for _, change := range batch.Changes {
				if i := change.Instance; i != nil && i.ID == departing.ID && i.State != instance.Ready {
					learnedAt.CompareAndSwap(0, time.Now().UnixNano())
				}
			}
		})
		defer subscriber.Close(nil)
		for n := range 200 { // 10 s with more changes than the subscriber can apply one batch after the other
			changeRoute(c, cluster, n)
			time.Sleep(40 * time.Millisecond)
		}
		cluster.depart(c, 0, departing, "instances.leave")
		ackedAt := time.Now()
		limit := time.Duration(cluster.Controls[0].Settings.Terms.DrainLimit)
		time.Sleep(limit)
		c.Assert(learnedAt.Load() > 0, qt.IsTrue, qt.Commentf("not within %v", limit))
		c.Logf("learned %v after the acknowledgement", time.Duration(learnedAt.Load()-ackedAt.UnixNano()))
	})
}

// subscribeSlowly subscribes to a control process as a proxy that takes slowApply for each batch, then calls apply and acknowledges it.
func (cl *Cluster) subscribeSlowly(c *qt.C, at int, apply func(update.Batch)) *stream.Conn[update.Message] {
	const ip = "10.1.0.77"
	address := net.JoinHostPort(cl.Controls[at].Settings.IP, fmt.Sprint(firstInternalPort))
	conn, err := cl.Network.Process(ip).Dial(context.Background(), "tcp", address)
	c.Assert(err, qt.IsNil)
	subscription := stream.Open[update.Message](conn, stream.ProxyKeepalive)
	subscription.Send(update.Message{Hello: &update.Hello{Name: "slow", IP: ip, Zone: zoneName(at)}})
	go func() { // ends when the stream is closed
		_ = subscription.Run(func(message update.Message) {
			if message.Batch == nil {
				return
			}
			time.Sleep(slowApply)
			apply(*message.Batch)
			subscription.Send(update.Message{Ack: message.Batch.To})
		})
	}()
	return subscription
}
