package instance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"portflow/internal/testing/digest"
)

// Pins by digests the results of random heartbeats, deregistrations, merges and disconnections of other processes. The digests depend on
// the order of fields in Instance and the numbers of states, but not on names.
func TestTrace(t *testing.T) {
	digest.Pin(t, 50, []string{"2ecdcc2bba52136a", "500c292b872144bc", "d80b6a70827c98b5", "e4b0dbcdd036d847"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		r := NewTable("a", 1300e6)
		now := 1000 * second
		host := func() Instance {
			id := draw.IntN(10)
			return Instance{ID: fmt.Sprint("h", id), Service: fmt.Sprint("s", id%2), Address: fmt.Sprint("10.0.0.", id, ":1"), Zone: "z", Version: "v1",
				Slots: 3, State: State(min(draw.IntN(12), 11) / 5), WarmUpUntil: now + draw.Int64N(second), Sequence: uint64(now/second) - uint64(draw.IntN(3)),
				Unresponsive: draw.IntN(6) == 0, Owner: []string{"a", "b", "c"}[draw.IntN(3)]}
		}
		for range 150 {
			now += draw.Int64N(second / 2)
			h := host()
			switch draw.IntN(10) {
			case 0, 1, 2:
				known, changed := r.Heartbeat(now, h)
				d.Add(known, changed)
			case 3, 4, 5:
				changed, reannounce := r.Merge(now, h)
				d.Add(changed, reannounce)
			case 6:
				if draw.IntN(4) == 0 {
					known, changed := r.Deregister(now, h.ID)
					d.Add(known, changed)
				}
			case 7:
				r.Adopt(now, h.Owner)
				if draw.IntN(2) == 0 {
					r.Release(h.Owner)
					r.Reconcile(now, h.Owner, map[string]bool{h.ID: true, "h1": true})
				}
			case 8:
				r.EvictUnresponsive(now)
			default:
				if draw.IntN(8) == 0 {
					now += 20 * second
				}
				d.Add(r.CheckHeartbeats(now, draw.IntN(3) > 0))
			}
			d.Add(r.All(), r.Owned(), r.Lookup("h1"), Supersedes(h, r.Lookup(h.ID)))
		}
	})
}

// Pins by digests the results of parsing heartbeats, including error texts.
func TestParseHeartbeatTrace(t *testing.T) {
	digest.Pin(t, 100, []string{"b1fc86ee760bbd9e"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		heartbeat := map[string]any{"service": "desk", "address": "10.0.0.1:80", "zone": "z", "version": "v1", "slots": 3.0, "state": "ready",
			"sequence": 4.0, "cold-start-s": 1.5}
		for _, name := range []string{"service", "address", "zone", "version", "slots", "state", "sequence"} {
			switch draw.IntN(12) {
			case 0:
				delete(heartbeat, name)
			case 1:
				heartbeat[name] = []any{-1.0, "", nil, true, "draining", 1e9}[draw.IntN(6)]
			}
		}
		h, err := ParseHeartbeat("h", heartbeat, 1000*second)
		d.Add(h, err)
	})
}
