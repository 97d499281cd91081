package server

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"portflow/internal/cluster/update"
)

// A proxy is sent every status change immediately. A control process is sent urgent changes immediately and a new position after
// statusChangeInterval. Both are sent an unchanged status after statusInterval.
func TestStatusDue(t *testing.T) {
	sent := update.Status{Complete: true, Member: true, HasQuorum: true, Number: 5}
	moved, lost, leaving := sent, sent, sent
	moved.Number = 6
	lost.HasQuorum = false
	leaving.Leaving = true
	for name, test := range map[string]struct {
		control bool
		status  update.Status
		age     time.Duration
		want    bool
	}{
		"unchanged, to a proxy":                              {false, sent, statusInterval - 1, false},
		"unchanged for statusInterval, to a proxy":           {false, sent, statusInterval, true},
		"changed, to a proxy":                                {false, lost, 0, true},
		"unchanged, to a control process":                    {true, sent, statusInterval - 1, false},
		"unchanged for statusInterval, to a control process": {true, sent, statusInterval, true},
		"new position, to a control process":                 {true, moved, statusChangeInterval, false},
		"new position for a while, to a control process":     {true, moved, statusChangeInterval + 1, true},
		"quorum lost, to a control process":                  {true, lost, 0, true},
		"about to leave, to another control process":         {true, leaving, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			u := updateSender{identity: update.Hello{Control: test.control}, sentStatus: sent, statusSentAt: now.Add(-test.age)}
			qt.Check(t, u.statusDue(test.status, now), qt.Equals, test.want)
		})
	}
}
