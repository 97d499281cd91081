package registry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"portflow/internal/cluster/config"
	"portflow/internal/cluster/instance"
	"portflow/internal/cluster/outlier"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
	"portflow/internal/testing/digest"
)

const (
	traceMs     = int64(1e6)
	traceSecond = int64(1e9)
)

// sortedDigests returns the digests of changes in sorted order, as some changes are in the random order of a map.
func sortedDigests(changes []update.Change) (all []string) {
	for _, change := range changes {
		d := digest.New()
		d.Add(change)
		all = append(all, d.String())
	}
	slices.Sort(all)
	return all
}

// randomChange returns a random change of one of a few hosts or proxies.
func randomChange(draw *rand.Rand, now int64) update.Change {
	owner := []string{"b0", "b1", "b2"}[draw.IntN(3)]
	proxyName := fmt.Sprint("r", draw.IntN(5))
	switch draw.IntN(5) {
	case 0, 1:
		id := fmt.Sprint("h", draw.IntN(8))
		return update.Change{Instance: &instance.Instance{ID: id, Service: "desk", Address: id + ":1", Zone: "z0", Slots: 2, State: instance.State(draw.IntN(9) / 4),
			Sequence: uint64(now/traceSecond) - uint64(draw.IntN(3)), Unresponsive: draw.IntN(6) == 0, Owner: owner}}
	case 2:
		return update.Change{Proxy: &update.Proxy{Name: proxyName, Zone: "z0", IP: "10.0.2.1", Address: "10.0.2.1:1", Ready: draw.IntN(4) > 0, Gone: draw.IntN(9) == 0,
			RegisteredAt: now - draw.Int64N(5)*traceSecond, Revision: draw.IntN(4), Owner: owner}}
	case 3:
		return update.Change{Vote: &update.Vote{Proxy: proxyName, Service: "desk", Number: uint64(draw.IntN(2)), Verdict: uint8(draw.IntN(3)), ReceivedAt: now, ReportOnly: draw.IntN(3) == 0}}
	}
	return update.Change{Ejection: &outlier.Ejection{ID: fmt.Sprint("h", draw.IntN(8)), Service: "desk", EjectedUntil: now + draw.Int64N(3*traceSecond), ProbationUntil: now + 4*traceSecond, Count: 1}}
}

// Digests pin the state, updates, snapshots and addresses under random changes, proxy claims, disconnects and reconnects of peers, and
// published items. The order of the changes of one step is not recorded.
func TestTrace(t *testing.T) {
	digest.Pin(t, 25, []string{"5111b26ac0a2f6bd", "847a1f32e80b0c15", "9b758c34dd57dcd9", "0191bda9f45df380"}, func(seed uint64, d *digest.Digest) {
		draw := rand.New(rand.NewPCG(seed, 1))
		s := newState(3+draw.IntN(3), draw.IntN(4) > 0)
		now, seen := 1000*traceSecond, uint64(0)
		for n := range 100 {
			now += draw.Int64N(400 * traceMs)
			change := randomChange(draw, now)
			peer := 1 + draw.IntN(2)
			ip, name := fmt.Sprint("10.0.1.", peer), fmt.Sprint("b", peer)
			switch draw.IntN(14) {
			case 0, 1, 2, 3:
				s.Merge(now, change)
			case 4:
				if change.Proxy != nil {
					d.Add(s.ClaimProxy(now, *change.Proxy))
				}
			case 5:
				if change.Instance != nil {
					host, changed := s.Instances.Heartbeat(now, *change.Instance)
					if d.Add(host, changed); changed {
						s.PublishInstance(host, true)
					}
				}
				if change.Vote != nil {
					s.PublishVote(*change.Vote, true)
				}
				if change.Ejection != nil {
					s.PublishEjection(now, *change.Ejection, true)
				}
			case 6:
				s.UpdatePeer(ip, update.Status{Member: draw.IntN(3) > 0, Complete: true})
				s.PeerFound(name)
				s.Node.Step(consensus.Event{Now: now, From: ip, Peer: &consensus.Peer{Applied: 1}})
			case 7:
				s.PeerLost(now, ip, name)
				s.Node.Step(consensus.Event{Now: now, From: ip, PeerLost: true})
			case 8:
				s.ReconcilePeer(now, name, []update.Change{change, randomChange(draw, now)})
			case 9:
				item := config.Item{Kind: config.KindServices, Name: fmt.Sprint("s", draw.IntN(3)), Version: uint64(n + 1), Body: []byte(`{"health-path":"/","name":"s"}`)}
				s.Set.Apply([]config.Item{item})
				s.Publish(now, []config.Item{item}, draw.IntN(2) == 0)
			case 10:
				s.Expire(now)
			case 11:
				s.ReannounceProxies()
			default:
				d.Add(s.Tick(now), s.Instances.CheckHeartbeats(now, draw.IntN(2) == 0))
			}
			changes, ok := s.Updates.After(seen)
			seen = s.Updates.Last()
			d.Add(ok, len(changes), sortedDigests(changes), sortedDigests(Filter(changes, draw.IntN(2) == 0)))
			d.Add(s.ReadyProxies(), s.Status(), s.PeerStatus(), s.VotingPeers(), slices.Sorted(slices.Values(s.MemberIPs())), s.Proxies, s.Votes, s.LastEvidence, s.Ejections, s.Instances.All(),
				sortedDigests(s.Snapshot(now, true)), sortedDigests(s.Snapshot(now, false)))
			d.Add(s.Addresses("z0", "r0", map[string]string{"z0": "r0", "z1": "r0"}))
		}
	})
}
