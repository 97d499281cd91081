package instance

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestParseHeartbeat(t *testing.T) {
	c := qt.New(t)
	validHeartbeat := func() map[string]any {
		return map[string]any{"address": "10.0.0.1:1", "information": map[string]any{"service": "s", "version": "v1", "zone-name": "z",
			"slot-count": 3.0}, "current-status": map[string]any{"server-state": "ready", "sequence": 4.0, "cold-remaining-s": 1.5}}
	}
	h, err := ParseHeartbeat("i", validHeartbeat(), second)
	c.Assert(err, qt.IsNil)
	c.Check(h, qt.Equals, Instance{ID: "i", Service: "s", Address: "10.0.0.1:1", Zone: "z", Version: "v1", Slots: 3, Sequence: 4, WarmUpUntil: second + 3*second/2})
	for path, corrupt := range map[string]func(map[string]any){
		"information.service":         func(t map[string]any) { delete(t["information"].(map[string]any), "service") },
		"current-status.server-state": func(t map[string]any) { t["current-status"].(map[string]any)["server-state"] = "well" },
		"current-status.sequence":     func(t map[string]any) { t["current-status"].(map[string]any)["sequence"] = -1.0 },
		"address":                     func(t map[string]any) { t["address"] = 7.0 },
		"information.slot-count":      func(t map[string]any) { t["information"].(map[string]any)["slot-count"] = 0.5 },
	} {
		tree := validHeartbeat()
		corrupt(tree)
		_, err := ParseHeartbeat("i", tree, second)
		c.Check(err, qt.ErrorMatches, "(?s).*"+path+": .*", qt.Commentf(path))
	}
}
