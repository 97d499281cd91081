package lab

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against granting a caller much more or less than its quota, for several cluster sizes and faults. With -v, it also runs the
// baseline methods, without checks, and logs all results.
func TestQuotaMethods(t *testing.T) {
	sizes, methods := []int{13, 92}, []string{"dealt"}
	if testing.Verbose() {
		sizes, methods = []int{13, 92, 300}, []string{"dealt", "count", "usage", "sketch"}
	}
	for _, routers := range sizes {
		for _, fault := range []string{"calm", "none", "one", "moves", "cut", "killed", "joined"} {
			for _, method := range methods {
				c := qt.New(t)
				exp := QuotaExperiment{Routers: routers, Zones: 6, Method: method, Fault: fault, QuotaPerSecond: 40, LoadFactor: 10, SmallCallers: 50, Duration: 30e9, Seed: 3}
				if fault == "calm" { // stays within its quota
					exp.LoadFactor = 0.7
				}
				r, err := RunQuotaExperiment(exp)
				c.Assert(err, qt.IsNil)
				r.GrantsByRouter = nil
				t.Logf("%3d routers, %-7s %-7s %+v", routers, fault, method, r)
				if method != "dealt" {
					continue
				}
				comment := qt.Commentf("%d routers, %s: %+v", routers, fault, r)
				// Two requests per router, and half a second's quota until the allocators see the demand.
				maxOvershoot := 2*float64(routers)/exp.QuotaPerSecond + 0.5
				c.Check(r.Overshoot1s < maxOvershoot, qt.IsTrue, comment)
				c.Check(r.Overshoot10s < maxOvershoot, qt.IsTrue, comment)
				c.Check(r.Granted > 0.8*min(1, exp.LoadFactor) && r.Granted < 1.1, qt.IsTrue, comment)
				c.Check(r.OthersGranted > 0.75, qt.IsTrue, comment)
				c.Check(r.MaxDisagreement < 0.2, qt.IsTrue, comment)
				c.Check(r.RecoverySeconds < 4, qt.IsTrue, comment)
			}
		}
	}
	_, err := RunQuotaExperiment(QuotaExperiment{Method: "none"})
	qt.Check(t, err, qt.ErrorMatches, "way: .*")
}
