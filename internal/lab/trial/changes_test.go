package trial

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func route(version uint64, fields string) Item {
	return Item{Key: Key{"routes", "r"}, Version: version, Fields: fields}
}

func TestChangesReadBack(t *testing.T) {
	one, two, other := route(1, `{"a":1}`), route(2, `{"a":2}`), route(2, `{"a":3}`)
	dropped := Item{Key: one.Key, Version: 3, Dropped: true}
	for _, x := range []struct {
		name                           string
		acknowledged, refused, pending []Item
		read                           []Item
		wrong                          int
		wrongOnAck                     int // violations returned by Acknowledged
	}{
		{name: "nothing sent, nothing read"},
		{name: "read back", acknowledged: []Item{one, two}, read: []Item{two}},
		{name: "an older version is read", acknowledged: []Item{one, two}, read: []Item{one}, wrong: 1},
		{name: "nothing is read", acknowledged: []Item{one}, wrong: 1},
		{name: "dropped", acknowledged: []Item{one, dropped}},
		{name: "dropped, but read", acknowledged: []Item{one, dropped}, read: []Item{one}, wrong: 1},
		{name: "an older version sent again", acknowledged: []Item{one, two, one}, read: []Item{two}},
		{name: "the same version sent again", acknowledged: []Item{one, one}, read: []Item{one}},
		{name: "pending, and applied", acknowledged: []Item{one}, pending: []Item{two}, read: []Item{two}},
		{name: "pending, and not applied", acknowledged: []Item{one}, pending: []Item{two}, read: []Item{one}},
		{name: "pending, older, and applied", acknowledged: []Item{two}, pending: []Item{one}, read: []Item{one}, wrong: 1},
		{name: "a pending drop", acknowledged: []Item{one}, pending: []Item{dropped}},
		{name: "rejected, but applied", acknowledged: []Item{one}, refused: []Item{two}, read: []Item{two}, wrong: 1},
		{name: "rejected, and not read", refused: []Item{one}},
		{name: "a race's winner", acknowledged: []Item{two}, refused: []Item{other}, read: []Item{two}},
		{name: "a race's loser", acknowledged: []Item{two}, refused: []Item{other}, read: []Item{other}, wrong: 1},
		{name: "a race with two winners", acknowledged: []Item{two, other}, read: []Item{two}, wrongOnAck: 1},
		{name: "never sent", read: []Item{one}, wrong: 1},
	} {
		c := qt.New(t)
		changes, onAck := NewChanges(), 0
		changes.Sent(x.pending)
		for _, i := range x.acknowledged {
			changes.Sent([]Item{i})
			onAck += len(changes.Acknowledged([]Item{i}))
		}
		changes.Sent(x.refused)
		changes.Refused(x.refused)
		current := map[Key]Item{}
		for _, i := range x.read {
			current[i.Key] = i
		}
		c.Check(changes.Check("control-1", current), qt.HasLen, x.wrong, qt.Commentf("%s", x.name))
		c.Check(onAck, qt.Equals, x.wrongOnAck, qt.Commentf("%s", x.name))
	}
}

func TestEncodeChangeRoundTrip(t *testing.T) {
	c := qt.New(t)
	items := []Item{
		{Key: Key{"routes", "one"}, Version: 10, Fields: canonical(map[string]any{"name": "one", "timeout-s": 2.0, "service": "s"})},
		{Key: Key{"routes", "two"}, Version: 11, Fields: canonical(map[string]any{"name": "two", "timeout-s": 0.5, "home-regions": nil})},
		{Key: Key{"services", "s"}, Version: 12, Fields: canonical(map[string]any{"name": "s", "health-path": "/health"})},
		{Key: Key{"limits", "limits"}, Version: 13, Fields: canonical(map[string]any{"body-bytes": 5})},
	}
	raw := encodeChange(items)
	c.Assert(string(raw), qt.Contains, `"0000000a"`)
	current, err := ParseConfiguration([]byte(string(raw)[len(`{"drop-names":{},"set-items":`) : len(raw)-1]))
	c.Assert(err, qt.IsNil)
	c.Assert(current, qt.HasLen, len(items))
	for _, i := range items {
		c.Check(current[i.Key], qt.Equals, i)
	}
	for _, wrong := range []string{`{`, `{"routes":{"table-columns":["name","version"],"table-rows":[["r","none"]]}}`} {
		_, err := ParseConfiguration([]byte(wrong))
		c.Check(err, qt.IsNotNil)
	}
}
