package lab

import "testing"

// Guards against retries that overload a slow discovery service when many routers start at once, so that no router gets its host list
// in time, and against withdrawing votes for past stages, which uses up the platform's rate limit.
func TestFleetStart(t *testing.T) {
	for _, x := range []FleetExperiment{
		{Routers: 3, Hosts: 10, ListSeconds: 8, PlatformCallsPerSecond: 16, RequiredVotes: 2, KilledFraction: 0.7},
		{Routers: 80, Hosts: 60, ListSeconds: 8, PlatformCallsPerSecond: 16, RequiredVotes: 32, KilledFraction: 0.7},
		{Routers: 300, Hosts: 150, ListSeconds: 8, PlatformCallsPerSecond: 48, RequiredVotes: 120, KilledFraction: 0.7},
		{Routers: 80, Hosts: 60, ListSeconds: 14, PlatformCallsPerSecond: 16, RequiredVotes: 32},
		{Routers: 300, Hosts: 150, ListSeconds: 14, PlatformCallsPerSecond: 48, RequiredVotes: 120},
	} {
		for x.Seed = 1; x.Seed <= 2 && (x.Seed == 1 || x.Routers < 300); x.Seed++ { // large fleets run with one seed only, to save time
			r := EmulateFleet(x)
			if r.ListedSeconds < 0 || r.ListedSeconds > 6*x.ListSeconds || x.KilledFraction > 0 && (r.RelistedSeconds < 0 || r.RelistedSeconds > 20) || r.ListCalls > 6*x.Routers {
				t.Errorf("%d routers, seed %d: host lists after %.1f and %.1f s, %d calls, %d late, %d rejected", x.Routers, x.Seed,
					r.ListedSeconds, r.RelistedSeconds, r.ListCalls, r.LateCalls, r.RejectedCalls)
			}
			if r.WithdrawnVotes > 0 || len(r.Stages) < 2 || r.Stages[0] > 12 {
				t.Errorf("%d routers, seed %d: stages at %v s, %d vote calls, %d rejected, %d withdrawn", x.Routers, x.Seed,
					r.Stages, r.VoteCalls, r.RejectedVotes, r.WithdrawnVotes)
			}
		}
	}
}
