package golden

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"portflow/internal/harbour/manifest"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/pilotage"
)

func mustJSON(t testing.TB, v any) []byte {
	t.Helper()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// lines lays values out as JSON, a line each.
func jsonLines[T any](t testing.TB, all []T) (raw []byte) {
	t.Helper()
	for _, v := range all {
		raw = append(append(raw, mustJSON(t, v)...), '\n')
	}
	return raw
}

// configuration is a set with an item of each kind that operators set, from the change in testdata.
func configuration(t testing.TB) *manifest.Set {
	t.Helper()
	raw, err := os.ReadFile("testdata/input/change.json")
	if err != nil {
		t.Fatal(err)
	}
	items, err := manifest.Read(raw)
	if err != nil {
		t.Fatal(err)
	}
	set := manifest.NewSet()
	apply(t, set, orders.Order{Kind: orders.Modify, Items: items})
	return set
}

func apply(t testing.TB, set *manifest.Set, o orders.Order) []manifest.Item {
	t.Helper()
	items, err := orders.Apply(set, o)
	if err != nil || len(items) == 0 {
		t.Fatalf("%v: %d items, %v", o, len(items), err)
	}
	for _, i := range items {
		set.Merge(i)
	}
	return items
}

// everything is a set with an item of each kind, as control processes store it: configuration, members, an evacuation that
// was withdrawn, a service's first version, a rollout that ended and one that runs, and items with earlier versions.
func everything(t testing.TB) (set *manifest.Set, changes [][]manifest.Item) {
	t.Helper()
	set = configuration(t)
	member := func(n string) muster.Member {
		return muster.Member{IP: "10.0.0." + n, ID: "disk-" + n, Name: "control-" + n, Zone: "z" + n}
	}
	changed := manifest.Item{Kind: manifest.Services, Name: "bags", Version: 0x11, Body: json.RawMessage(`{"health-path":"/up","name":"bags"}`)}
	for _, o := range []orders.Order{
		{Kind: orders.Join, In: []muster.Member{member("1"), member("2"), member("3")}},
		{Kind: orders.Join, In: []muster.Member{member("4")}, Out: []string{"10.0.0.2"}, Hold: []muster.Member{member("2")}, Number: 1},
		{Kind: orders.Settle, Of: "desk", Version: "v1"},
		{Kind: orders.Evacuate, Of: "z1", Begun: true},
		{Kind: orders.Evacuate, Of: "z1", Begun: false},
		{Kind: orders.Evacuate, Of: "z2", Begun: true},
		{Kind: orders.Begin, Of: "desk", Target: "v2", Term: 60e9, Now: 1700000000e9, Dated: true, Again: 5e9},
		{Kind: orders.End, Of: "desk", Number: 1, State: pilotage.Completed, Now: 1700000050e9},
		{Kind: orders.Tell, Of: "desk", Number: 1},
		{Kind: orders.Begin, Of: "desk", Target: "v3", Term: 30e9, Now: 1700000100e9, Known: 1, Age: 100e9},
		{Kind: orders.Begin, Of: "bags", Target: "v9", Term: 30e9, Now: 1700000100e9},
		{Kind: orders.End, Of: "bags", Number: 1, State: pilotage.RolledBack, Now: 1700000110e9},
		{Kind: orders.Modify, Items: []manifest.Item{changed}},
	} {
		changes = append(changes, apply(t, set, o))
	}
	return set, changes
}

// A configuration as operators send it becomes the same items, and is read back as the same bytes.
func TestConfiguration(t *testing.T) {
	set := configuration(t)
	Equal(t, "configuration/items.jsonl", jsonLines(t, set.All()))
	raw, err := set.Write()
	if err != nil {
		t.Fatal(err)
	}
	read := Equal(t, "configuration/read.json", raw)
	items, err := manifest.Read([]byte(`{"set-items":` + string(read) + `}`))
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range items {
		if stands, _ := set.Get(i.Key()); !stands.Same(i) {
			t.Errorf("%s: read back as %s", mustJSON(t, stands), mustJSON(t, i))
		}
	}
}

// What the core decides becomes the same items, whichever release decides it, and what they say is read from them.
func TestDecidedItems(t *testing.T) {
	set, changes := everything(t)
	Equal(t, "configuration/decided.jsonl", jsonLines(t, changes))
	members := muster.Of(set)
	if members.Epoch != 2 || len(members.Members) != 3 || len(members.Held) != 1 || set.Members()["10.0.0.4"] != "z4" {
		t.Errorf("the members are read as %+v, %v", members, set.Members())
	}
	if !reflect.DeepEqual(muster.Read(members.Item()), members) {
		t.Errorf("the members are written as %+v", members.Item())
	}
	desk, _ := set.Get(manifest.Key{Kind: manifest.Rollouts, Name: "desk"})
	want := pilotage.Rollout{Service: "desk", Order: 2, From: "v2", Base: 1, Target: "v3", Began: 1700000100e9, Term: 30e9,
		State: pilotage.Running, Past: [pilotage.MostPast]uint64{pilotage.Asked("v2", 60e9)}}
	if got := pilotage.Read(desk); got != want {
		t.Errorf("the rollout is read as %+v, not %+v", got, want)
	}
	if !want.Item().Same(desk) {
		t.Errorf("the rollout is written as %s, not %s", want.Item().Body, desk.Body)
	}
	settled, _ := set.Get(manifest.Key{Kind: manifest.Settled, Name: "desk"})
	if got := pilotage.Settled(settled, pilotage.Rollout{}); got != "v1" {
		t.Errorf("the first version is read as %q", got)
	}
	Equal(t, "configuration/everything.jsonl", jsonLines(t, set.All()))
	restored, err := orders.Apply(set, orders.Order{Kind: orders.Restore, Items: configuration(t).All(), Version: "snapshot-1", Number: 2})
	if err != nil || !orders.IsWhole(restored) {
		t.Fatal(err, restored)
	}
	Equal(t, "configuration/restored.jsonl", jsonLines(t, restored))
}
