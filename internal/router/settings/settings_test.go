package settings

import (
	"strings"
	"testing"

	"portflow/internal/decision"
)

func TestRead(t *testing.T) {
	validSettings := `{"classes":[{"aimNs":1,"effect":"by_key","group":"cell","dedupWindowNs":5,"new":[1]}],"unknown":{},
		"familyInfo":{"gateMode":"clocked","exposureCaps":[0.1]},"rank":1,"replicasOfMe":3,"tickNs":5,
		"limits":{"maxAttempts":3},"report":{"fields":["depth","later"]}}`
	s, err := Read([]byte(validSettings))
	if err != nil || s.Gate != decision.Timed || s.Settings.Classes[0].DedupScope != decision.SameCell || s.Settings.Classes[0].DedupWindow != 5 ||
		s.LoadFields[0] != decision.QueueLength || s.LoadFields[1] != decision.UnknownField || s.FirstStageCap != 0.1 {
		t.Fatal(s, err)
	}
	for from, to := range map[string]string{`"tickNs":5,`: ``, `"by_key"`: `"no"`, `"clocked"`: `""`, `"rank":1`: `"rank":3`} {
		if _, err := Read([]byte(strings.Replace(validSettings, from, to, 1))); err == nil {
			t.Errorf("no error with %s in place of %s", to, from)
		}
	}
}
