package settings

import (
	"strings"
	"testing"

	"portflow/internal/decision"
)

func TestSettings(t *testing.T) {
	good := `{"classes":[{"aimNs":1,"effect":"by_key","group":"cell","dedupWindowNs":5,"new":[1]}],"unknown":{},
		"familyInfo":{"gateMode":"clocked","exposureCaps":[0.1]},"rank":1,"replicasOfMe":3,"tickNs":5,
		"limits":{"maxAttempts":3},"report":{"fields":["depth","later"]}}`
	s, err := Read([]byte(good))
	if err != nil || s.Gate != decision.Clock || s.Settings.Bands[0].Group != decision.SameCell || s.Settings.Bands[0].Memory != 5 ||
		s.Reports[0] != decision.Waiting || s.Reports[1] != decision.Unknown || s.FirstCap != 0.1 {
		t.Fatal(s, err)
	}
	for from, to := range map[string]string{`"tickNs":5,`: ``, `"by_key"`: `"no"`, `"clocked"`: `""`, `"rank":1`: `"rank":3`} {
		if _, err := Read([]byte(strings.Replace(good, from, to, 1))); err == nil {
			t.Errorf("taken with %s for %s", to, from)
		}
	}
}
