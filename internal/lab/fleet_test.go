package lab

import "testing"

// A complete fleet starts at once, and later seven in ten of it again, before a discovery service that can just serve one call of
// each router in 8 s, or only in 14, and a platform that can just accept the votes that it needs. Routers that repeated their calls
// after a second on average never had their list (80 of them: 2,795 calls, all answered too late); those that withdrew votes for a
// stage that had passed spent half of their calls on that.
func TestFleetStart(t *testing.T) {
	for _, x := range []FleetExperiment{
		{Routers: 3, Hosts: 10, ListSeconds: 8, PlatformCallsPerSecond: 16, RequiredVotes: 2, KilledFraction: 0.7},
		{Routers: 80, Hosts: 60, ListSeconds: 8, PlatformCallsPerSecond: 16, RequiredVotes: 32, KilledFraction: 0.7},
		{Routers: 300, Hosts: 150, ListSeconds: 8, PlatformCallsPerSecond: 48, RequiredVotes: 120, KilledFraction: 0.7},
		{Routers: 80, Hosts: 60, ListSeconds: 14, PlatformCallsPerSecond: 16, RequiredVotes: 32},
		{Routers: 300, Hosts: 150, ListSeconds: 14, PlatformCallsPerSecond: 48, RequiredVotes: 120},
	} {
		for x.Seed = 1; x.Seed <= 2 && (x.Seed == 1 || x.Routers < 300); x.Seed++ { // hundreds take seconds
			r := EmulateFleet(x)
			if r.ListedSeconds < 0 || r.ListedSeconds > 6*x.ListSeconds || x.KilledFraction > 0 && (r.RelistedSeconds < 0 || r.RelistedSeconds > 20) || r.ListCalls > 6*x.Routers {
				t.Errorf("%d routers, seed %d: lists after %.1f and %.1f s, %d calls, %d late, %d refused", x.Routers, x.Seed,
					r.ListedSeconds, r.RelistedSeconds, r.ListCalls, r.LateCalls, r.RejectedCalls)
			}
			if r.WithdrawnVotes > 0 || len(r.Stages) < 2 || r.Stages[0] > 12 {
				t.Errorf("%d routers, seed %d: stages %v, %d votes, %d turned away, %d taken back", x.Routers, x.Seed,
					r.Stages, r.VoteCalls, r.RejectedVotes, r.WithdrawnVotes)
			}
		}
	}
}
